"""What nodes know about a request that ran in crashed backend servers."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

#: Crashes without a completed run in between after which a request is
#: quarantined, whatever else ran in the same backend servers.
QUARANTINE_CRASHES: Final = 3
#: Latest crashes of one request that are remembered.
MAX_REMEMBERED_CRASHES: Final = 8


class Suspicion(NamedTuple):
    """The crashes of backend servers in which a request was running.

    Records of one request are merged by taking the union of their crashes, so
    that all nodes reach the same result in whatever order they learn of them.
    """

    digest: str
    #: Identifiers of the crashes in ascending order, the latest
    #: :data:`MAX_REMEMBERED_CRASHES`.
    crashes: tuple[str, ...]
    #: Seconds since the epoch until which the crashes are remembered.
    expires_at: float
    #: Those of the crashes after which the request completed somewhere, so
    #: that it was not their cause.
    cleared: tuple[str, ...] = ()
    #: Those of the crashes in which no other request had run in an earlier
    #: crash.
    decisive: tuple[str, ...] = ()
    #: Seconds since the epoch until which a likely cause is refused. A run
    #: after that which crashes another backend server counts on.
    refused_until: float = 0.0

    @property
    def open_crashes(self) -> tuple[str, ...]:
        """The crashes of which the request may be the cause."""
        return tuple(
            crash for crash in self.crashes if crash not in self.cleared
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the request may be the cause of a crash."""
        return bool(self.open_crashes)

    @property
    def is_proven(self) -> bool:
        """Whether the number of crashes alone shows that it causes them."""
        return len(self.open_crashes) >= QUARANTINE_CRASHES

    @property
    def is_probable(self) -> bool:
        """Whether it was the only repeated request of a crash."""
        return not set(self.decisive).isdisjoint(self.open_crashes)

    @property
    def is_likely_cause(self) -> bool:
        """Whether it is the proven or the probable cause of its crashes."""
        return self.is_proven or self.is_probable

    def add_crash(
        self, crash_id: str, now: float, term_s: float
    ) -> 'Suspicion':
        """Return the record with one more crash.

        The request is refused for twice as long with each crash after the
        third, and remembered for as long again.

        :param now: seconds since the epoch.
        :param term_s: seconds for which it is refused after the third crash.
        """
        added = merge_suspicions(self, Suspicion(self.digest, (crash_id,), now))
        repeats = max(0, len(added.open_crashes) - QUARANTINE_CRASHES)
        refused_s = term_s * 2**repeats
        return added._replace(
            expires_at=max(self.expires_at, now + 2 * refused_s),
            refused_until=max(self.refused_until, now + refused_s),
        )

    def clear(self) -> 'Suspicion':
        """Return the record of a request that completed."""
        return self._replace(cleared=self.crashes)


def merge_suspicions(one: Suspicion, other: Suspicion) -> Suspicion:
    """Merge two records of the same request."""
    crashes = _unite(one.crashes, other.crashes)[-MAX_REMEMBERED_CRASHES:]
    return Suspicion(
        one.digest,
        crashes,
        max(one.expires_at, other.expires_at),
        _keep(_unite(one.cleared, other.cleared), crashes),
        _keep(_unite(one.decisive, other.decisive), crashes),
        max(one.refused_until, other.refused_until),
    )


def read_suspicion(record: object) -> Suspicion | None:
    """Read a record from a JSON array in the order of the fields.

    Elements after the known ones, as a later version may send, are ignored.

    :returns: ``None`` if the array does not have that shape.
    """
    if not isinstance(record, list | tuple):
        return None
    fields: list[Any] = list(record[: len(Suspicion._fields)])
    if len(fields) < len(Suspicion._fields):
        return None
    received = Suspicion(*fields)
    lists = (received.crashes, received.cleared, received.decisive)
    times = (received.expires_at, received.refused_until)
    is_readable = (
        isinstance(received.digest, str)
        and all(isinstance(time, int | float) for time in times)
        and all(map(_is_list_of_names, lists))
    )
    if not is_readable:
        return None
    crashes, cleared, decisive = map(tuple, lists)
    return received._replace(
        crashes=crashes, cleared=cleared, decisive=decisive
    )


def _is_list_of_names(names: object) -> bool:
    return isinstance(names, list | tuple) and all(
        isinstance(name, str) for name in names
    )


def _unite(one: Iterable[str], other: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other}))


def _keep(names: Iterable[str], allowed: Iterable[str]) -> tuple[str, ...]:
    return tuple(name for name in names if name in allowed)
