"""State of the fake store: keys, versions, leases, faults and counts."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

#: Size limit of a value in bytes.
MAX_VALUE_BYTES: Final = 1048576
#: Number of changes that are kept for watches.
MAX_HISTORY: Final = 1024


class StoredEntry(NamedTuple):
    """A stored document with its version and its lease."""

    document: Any
    version: int
    #: Lease with which the key is removed, ``None`` for a permanent key.
    lease: str | None


class StoredChange(NamedTuple):
    """A change of a key; the document of a removed key is ``None``."""

    key: str
    document: Any
    version: int


class Faults(NamedTuple):
    """Faults of the store that are switched on."""

    #: Every request is refused with status 503 and has no effect.
    is_down: bool = False
    #: Every request is refused with status 429, as when a rate limit is
    #: exceeded, and has no effect.
    is_busy: bool = False
    #: Writes take effect, but the connection is closed without an answer.
    loses_write_answers: bool = False
    #: Share of writes whose answers are lost.
    share: float = 1.0
    #: Seconds after which a write whose answer is lost takes effect.
    late_s: float = 0.0
    #: Seconds by which each request is delayed.
    delay_s: float = 0.0
    #: Reads of a key return the value that was replaced last, where there is
    #: one. Ranges and watches are not affected.
    is_stale: bool = False


class StateCopy(NamedTuple):
    """What a store held at some time."""

    keys: Mapping[str, StoredEntry]
    leases: Mapping[str, tuple[float, float]]
    version: int


class StoreState:
    """Key-value store with compare-and-swap, leases and a change history."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._keys: dict[str, StoredEntry] = {}
        #: Value of each key that was replaced last, for stale reads.
        self._previous: dict[str, StoredEntry] = {}
        #: Duration and expiry time of each lease in seconds.
        self._leases: dict[str, tuple[float, float]] = {}
        self._history: deque[StoredChange] = deque(maxlen=MAX_HISTORY)
        #: Every change with a version above this one is in the history.
        self._history_start = 1
        self._changed = asyncio.Condition()
        #: Running notifications, kept referenced until they are done.
        self._notify_tasks: set[asyncio.Task[None]] = set()
        #: Version of the store, raised by each transaction, each removal of a
        #: key with its lease, each new lease and each clearing of the history.
        #: The first raise makes it 2.
        self.version = 1
        #: Number of times that the store was restored from a copy.
        self.era = 0
        self.faults = Faults()
        #: Number of requests by kind.
        self.counts: Counter[str] = Counter()

    def read(self, key: str) -> StoredEntry | None:
        """Return the value of a key, the previous one when reads are stale."""
        self._expire_leases()
        if self.faults.is_stale and key in self._previous:
            return self._previous[key]
        return self._keys.get(key)

    def list_keys(self, prefix: str, after: str) -> Mapping[str, StoredEntry]:
        """Return the keys with a prefix that sort after a key, in order."""
        self._expire_leases()
        return {
            key: self._keys[key]
            for key in sorted(self._keys)
            if key.startswith(prefix) and key > after
        }

    def transact(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, Any],
        removals: tuple[str, ...],
        lease: str | None,
    ) -> int | None:
        """Change keys if all of them have the expected versions.

        :param expected: version of each key; 0 for a key that must not
            exist.
        :returns: the new version, ``None`` when a version differs and
            nothing was changed.
        """
        self._expire_leases()
        for key, version in expected.items():
            if self._read_version(key) != version:
                return None
        self.version += 1
        for key, document in puts.items():
            if key in self._keys:
                self._previous[key] = self._keys[key]
            self._keys[key] = StoredEntry(document, self.version, lease)
            self._record(key, document)
        for key in removals:
            self._remove(key)
        self._notify_watches()
        return self.version

    async def wait(
        self, prefix: str, position: int, timeout_s: float
    ) -> list[StoredChange] | None:
        """Wait for changes of keys with a prefix after a version.

        :param position: the version after which changes are returned.
        :returns: the changes, empty after the timeout; ``None`` when the
            history does not reach back to the position.
        """

        def find_changes() -> list[StoredChange]:
            return [
                change
                for change in self._history
                if change.version > position and change.key.startswith(prefix)
            ]

        if not self._has_history_since(position):
            return None
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        find_changes() or not self._has_history_since(position)
                    )
                )
        except TimeoutError:
            return []
        return find_changes() if self._has_history_since(position) else None

    def drop_history(self) -> None:
        """Clear the history; watches from earlier positions fail after that."""
        self._history.clear()
        self.version += 1
        self._history_start = self.version
        self._notify_watches()

    def copy(self) -> StateCopy:
        """Return a copy of the keys and leases."""
        return StateCopy(dict(self._keys), dict(self._leases), self.version)

    def restore(self, copy: StateCopy) -> None:
        """Return to a copy and begin a new era.

        Later changes and leases are gone, and their versions are given out
        again. The history begins anew.
        """
        self._keys = dict(copy.keys)
        self._leases = dict(copy.leases)
        self._previous.clear()
        self._history.clear()
        self.version = copy.version
        self._history_start = copy.version
        self.era += 1
        self._notify_watches()

    def grant_lease(self, duration_s: float) -> str:
        """Create a lease and return its identifier."""
        self.version += 1
        lease = f'lease-{self.version}'
        self._leases[lease] = (duration_s, self._clock() + duration_s)
        return lease

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return ``False`` when it has expired or is unknown."""
        self._expire_leases()
        entry = self._leases.get(lease)
        if entry is None:
            return False
        self._leases[lease] = (entry[0], self._clock() + entry[0])
        return True

    def has_lease(self, lease: str) -> bool:
        """Return whether a lease exists and has not expired."""
        self._expire_leases()
        return lease in self._leases

    def revoke_lease(self, lease: str) -> None:
        """Remove a lease and the keys that are bound to it."""
        self._leases.pop(lease, None)
        for key, entry in tuple(self._keys.items()):
            if entry.lease == lease:
                self.version += 1
                self._remove(key)
        self._notify_watches()

    def _has_history_since(self, position: int) -> bool:
        return self._history_start <= position <= self.version

    def _read_version(self, key: str) -> int:
        entry = self._keys.get(key)
        return 0 if entry is None else entry.version

    def _remove(self, key: str) -> None:
        if self._keys.pop(key, None) is not None:
            self._record(key, None)

    def _record(self, key: str, document: Any) -> None:
        if len(self._history) == MAX_HISTORY:
            self._history_start = self._history[0].version
        self._history.append(StoredChange(key, document, self.version))

    def _expire_leases(self) -> None:
        now = self._clock()
        for lease, (_, expires_at) in tuple(self._leases.items()):
            if expires_at <= now:
                self.revoke_lease(lease)

    def _notify_watches(self) -> None:
        task = asyncio.ensure_future(self._notify())
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()
