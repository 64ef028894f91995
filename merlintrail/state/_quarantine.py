"""Quarantine of requests that crash backend servers."""

import math
from collections.abc import Callable, Collection
from typing import Final

import xxhash

from merlintrail.protocol import encode_json
from merlintrail.state._suspicion import Suspicion, merge_suspicions

#: Largest number of suspicions recorded at a time.
MAX_SUSPICIONS: Final = 4096
#: Other crashes without a proven cause up to which a probable cause is
#: refused.
MAX_UNEXPLAINED_CRASHES: Final = 1
#: Suspicions that are evicted together when there are too many.
EVICTED_SUSPICIONS: Final = 512

#: Called with each record that changed.
SuspicionListener = Callable[[Suspicion], None]


def compute_digest(scope: str, method: str, target: str, body: bytes) -> str:
    """Return a digest that is the same for equal requests.

    :param scope: service or host that gives the target its meaning.
    """
    head = f'{scope}\n{method}\n{target}\n'.encode()
    digest: str = xxhash.xxh3_128_hexdigest(head + body)
    return digest


class Quarantine:
    """Suspected and quarantined requests, replicated to every node.

    When a backend server crashes, all requests that run in it become
    suspects. A request that ran in several crashes and completed nowhere
    since is quarantined: at the third crash in any case, and from the second
    one on while it is the probable cause.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        self._listeners: list[SuspicionListener] = []
        #: Earliest expiry of a record, in seconds since the epoch.
        self._next_expiry = math.inf
        #: Digest of all records, ``None`` after a change.
        self._digest: int | None = 0
        #: Crashes in which no proven cause was running, ``None`` after a
        #: change.
        self._unproven_crashes: frozenset[str] | None = frozenset()

    @property
    def is_empty(self) -> bool:
        """Whether no suspicion is recorded."""
        return not self._suspicions

    def add_listener(self, listener: SuspicionListener) -> None:
        """Call a listener with each record that changes from now on."""
        self._listeners.append(listener)

    def record_crash(
        self,
        crash_id: str,
        digests: Collection[str],
        now: float,
        term_s: float,
    ) -> list[Suspicion]:
        """Record the crash of a backend server.

        :param crash_id: identifier of the crash. It counts once for a request
            however often it is recorded.
        :param digests: requests that were running.
        :param now: seconds since the epoch.
        :param term_s: seconds for which a likely cause is refused.
        :returns: the changed suspicions, to be sent to the other nodes.
        """
        self.remove_expired(now)
        records = [
            self._suspicions.get(digest, Suspicion(digest, (), now)).add_crash(
                crash_id, now, term_s
            )
            for digest in sorted(set(digests))
        ]
        repeated = [
            record for record in records if len(record.open_crashes) > 1
        ]
        if len(repeated) == 1:
            decisive = repeated[0]._replace(decisive=(crash_id,))
            records[records.index(repeated[0])] = decisive
        return [record for record in records if self._merge(record)]

    def clear_suspect(self, digest: str, now: float) -> Suspicion | None:
        """Clear a request that completed of all its crashes so far.

        :returns: the changed suspicion, to be sent to the other nodes, or
            ``None`` if the request was not a suspect.
        """
        current = self.find(digest, now)
        if current is None or not current.is_suspect:
            return None
        cleared = current.clear()
        self._merge(cleared)
        return cleared

    def find(self, digest: str, now: float) -> Suspicion | None:
        """Return the suspicion against a request unless it has expired."""
        self.remove_expired(now)
        return self._suspicions.get(digest)

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Return whether a request is refused by every node."""
        current = self.find(digest, now)
        return current is not None and self.refuses(current, now)

    def refuses(self, suspicion: Suspicion, now: float) -> bool:
        """Return whether the request of a suspicion is quarantined.

        A request that is only the probable cause of its crashes is refused
        while two of them have no proven cause and hardly any other crash has
        none. A harmless request meets two crashes by chance where backend
        servers crash often, or where crashing requests are sent.
        """
        if suspicion.refused_until <= now:
            return False
        if suspicion.is_proven:
            return True
        if not suspicion.is_probable:
            return False
        unproven = self._list_unproven_crashes()
        own = unproven.intersection(suspicion.open_crashes)
        others = len(unproven) - len(own)
        return len(own) > 1 and others <= MAX_UNEXPLAINED_CRASHES

    def merge(self, received: Suspicion, now: float) -> bool:
        """Merge a suspicion from another node.

        :returns: whether anything changed.
        """
        if received.expires_at <= now:
            return False
        self.remove_expired(now)
        return self._merge(received)

    def list_suspicions(self, now: float) -> list[Suspicion]:
        """Return the suspicions that have not expired."""
        self.remove_expired(now)
        return list(self._suspicions.values())

    def remove_expired(self, now: float) -> None:
        """Remove the suspicions that have expired."""
        if now < self._next_expiry:
            return
        self._suspicions = {
            digest: held
            for digest, held in self._suspicions.items()
            if held.expires_at > now
        }
        self._next_expiry = min(
            (held.expires_at for held in self._suspicions.values()),
            default=math.inf,
        )
        self._digest = None
        self._unproven_crashes = None

    def compute_digest(self, now: float) -> int:
        """Compute a digest that is equal where equal records are held."""
        self.remove_expired(now)
        if self._digest is None:
            digest = 0
            for held in self._suspicions.values():
                digest ^= xxhash.xxh3_64_intdigest(encode_json(held))
            self._digest = digest
        return self._digest

    def count_suspects(self) -> int:
        """Return the number of requests that may crash backend servers."""
        return sum(1 for held in self._suspicions.values() if held.is_suspect)

    def count_quarantined(self, now: float) -> int:
        """Return the number of quarantined requests."""
        return sum(
            1 for held in self._suspicions.values() if self.refuses(held, now)
        )

    def _list_unproven_crashes(self) -> frozenset[str]:
        """Return the crashes in which no proven cause was running."""
        if self._unproven_crashes is None:
            crashes: set[str] = set()
            proven: set[str] = set()
            for held in self._suspicions.values():
                crashes.update(held.crashes)
                if held.is_proven:
                    proven.update(held.open_crashes)
            self._unproven_crashes = frozenset(crashes - proven)
        return self._unproven_crashes

    def _merge(self, received: Suspicion) -> bool:
        current = self._suspicions.get(received.digest)
        merged = received
        if current is None:
            self._make_room()
        else:
            merged = merge_suspicions(current, received)
        if merged == current:
            return False
        self._suspicions[received.digest] = merged
        self._next_expiry = min(self._next_expiry, merged.expires_at)
        self._digest = None
        self._unproven_crashes = None
        for listener in self._listeners:
            listener(merged)
        return True

    def _make_room(self) -> None:
        """Evict suspicions with few crashes, quarantined ones last."""
        if len(self._suspicions) < MAX_SUSPICIONS:
            return
        by_importance = sorted(
            self._suspicions.values(),
            key=lambda held: (held.is_likely_cause, len(held.open_crashes)),
        )
        for held in by_importance[:EVICTED_SUSPICIONS]:
            del self._suspicions[held.digest]
