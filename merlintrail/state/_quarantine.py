"""Quarantine of requests that crash backend servers."""

from collections.abc import Collection, Sequence
from typing import Any, Final, NamedTuple

import xxhash

#: Largest number of suspicions recorded at a time; the oldest are evicted.
MAX_SUSPICIONS: Final = 4096


def compute_digest(service: str, method: str, target: str, body: bytes) -> str:
    """Return a digest that is the same for equal requests."""
    head = f'{service}\n{method}\n{target}\n'.encode()
    digest: str = xxhash.xxh3_128_hexdigest(head + body)
    return digest


class Suspicion(NamedTuple):
    """The crashes of backend servers in which a request was running."""

    digest: str
    #: Identifiers of the crashes, empty to clear the request.
    deaths: tuple[str, ...]
    #: Whether the request is quarantined, that is refused by every node.
    is_convicted: bool
    #: Seconds since the epoch.
    expires_at: float


def read_suspicion(record: Sequence[Any]) -> Suspicion | None:
    """Read a suspicion from a JSON array in the order of the fields.

    :returns: ``None`` if the array has another length.
    """
    if len(record) != len(Suspicion._fields):
        return None
    digest, deaths, is_convicted, expires_at = record
    return Suspicion(digest, tuple(deaths), bool(is_convicted), expires_at)


class Quarantine:
    """Suspected and quarantined requests, replicated to every node.

    When a backend server crashes, all requests that run in it become
    suspects. A backend server runs only one suspect at a time, so that a
    further crash identifies the cause: the only suspect among the running
    requests is quarantined. A suspect that completes is cleared.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no suspicion is recorded."""
        return not self._suspicions

    def record_death(
        self, crash_id: str, digests: Collection[str], expires_at: float
    ) -> list[Suspicion]:
        """Record the crash of a backend server.

        :param crash_id: identifier of the crash. It counts once for a request
            however often it is recorded.
        :param digests: requests that were running.
        :returns: the changed suspicions, to be sent to the other nodes.
        """
        distinct = sorted(set(digests))
        earlier_deaths = {
            digest: self._list_deaths(digest, crash_id) for digest in distinct
        }
        suspects = [digest for digest in distinct if earlier_deaths[digest]]
        changed = []
        for digest, deaths in earlier_deaths.items():
            suspicion = Suspicion(
                digest,
                (*deaths, crash_id),
                is_convicted=suspects == [digest],
                expires_at=expires_at,
            )
            self._put(suspicion)
            changed.append(suspicion)
        return changed

    def clear_suspect(self, digest: str, now: float) -> Suspicion | None:
        """Remove the suspicion against a request that completed.

        :returns: the suspicion without crashes, which clears the request at
            the other nodes, or ``None`` if the request is not a suspect or
            is quarantined.
        """
        current = self.find(digest, now)
        if current is None or current.is_convicted:
            return None
        del self._suspicions[digest]
        return current._replace(deaths=())

    def find(self, digest: str, now: float) -> Suspicion | None:
        """Return the suspicion against a request unless it has expired."""
        current = self._suspicions.get(digest)
        if current is not None and current.expires_at <= now:
            del self._suspicions[digest]
            return None
        return current

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Return whether a request is refused by every node."""
        current = self.find(digest, now)
        return current is not None and current.is_convicted

    def merge(self, received: Suspicion, now: float) -> bool:
        """Merge a suspicion from another node.

        The result holds the crashes of both, is a quarantine if either is,
        and has the later expiry. A received suspicion without crashes clears
        a suspect but not a quarantined request.

        :returns: whether anything changed.
        """
        current = self.find(received.digest, now)
        if received.expires_at <= now:
            return False
        if not received.deaths:
            if current is None or current.is_convicted:
                return False
            del self._suspicions[received.digest]
            return True
        if current is None:
            self._put(received)
            return True
        merged = current._replace(
            deaths=tuple(sorted({*current.deaths, *received.deaths})),
            is_convicted=current.is_convicted or received.is_convicted,
            expires_at=max(current.expires_at, received.expires_at),
        )
        if merged == current._replace(deaths=tuple(sorted(current.deaths))):
            return False
        self._put(merged)
        return True

    def list_suspicions(self, now: float) -> list[Suspicion]:
        """Return the suspicions that have not expired."""
        return [
            suspicion
            for suspicion in self._suspicions.values()
            if suspicion.expires_at > now
        ]

    def count_suspects(self) -> int:
        """Return the number of recorded suspicions."""
        return len(self._suspicions)

    def count_quarantined(self) -> int:
        """Return the number of quarantined requests."""
        return sum(
            1
            for suspicion in self._suspicions.values()
            if suspicion.is_convicted
        )

    def _list_deaths(self, digest: str, crash_id: str) -> tuple[str, ...]:
        """Return the crashes of a request except the given one."""
        suspicion = self._suspicions.get(digest)
        if suspicion is None:
            return ()
        return tuple(death for death in suspicion.deaths if death != crash_id)

    def _put(self, suspicion: Suspicion) -> None:
        is_new = suspicion.digest not in self._suspicions
        if is_new and len(self._suspicions) >= MAX_SUSPICIONS:
            del self._suspicions[next(iter(self._suspicions))]
        self._suspicions[suspicion.digest] = suspicion
