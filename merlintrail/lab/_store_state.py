"""State of the store stand-in: keys, versions, leases, faults, counts."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, NamedTuple

#: Bytes of the largest value.
MAX_VALUE_BYTES: Final = 1048576


class StoredKey(NamedTuple):
    """A key with its version."""

    document: Any
    version: int
    lease: str | None


class Faults(NamedTuple):
    """Faults that a script has switched on."""

    #: Every call is refused before it does anything.
    is_down: bool = False
    #: Writes take effect and their answers are lost.
    loses_write_answers: bool = False
    #: Share of calls to which the loss applies.
    share: float = 1.0
    #: Seconds added to each call.
    delay_s: float = 0.0
    #: Reads of a key return the document of an earlier version.
    is_stale: bool = False


class StoreState:
    """Keys with compare-and-swap, and leases that expire."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._keys: dict[str, StoredKey] = {}
        self._earlier: dict[str, StoredKey] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._version = 0
        self._changed = asyncio.Condition()
        self.faults = Faults()
        #: Calls by kind.
        self.counts: Counter[str] = Counter()

    def read(self, key: str) -> StoredKey | None:
        """Return a key, or an earlier form of it when reads are stale."""
        self._expire_leases()
        if self.faults.is_stale and key in self._earlier:
            return self._earlier[key]
        return self._keys.get(key)

    async def write(
        self, key: str, document: object, expected: int, lease: str | None
    ) -> int | None:
        """Write if the version is the expected one; return the new one."""
        self._expire_leases()
        known = self._keys.get(key)
        known_version = 0 if known is None else known.version
        if known_version != expected:
            return None
        if known is not None:
            self._earlier[key] = known
        self._version += 1
        self._keys[key] = StoredKey(document, self._version, lease)
        await self._tell_watches()
        return self._version

    async def remove(self, key: str, expected: int) -> bool:
        """Remove a key if its version is the expected one."""
        known = self._keys.get(key)
        if known is None or known.version != expected:
            return False
        del self._keys[key]
        await self._tell_watches()
        return True

    async def wait(
        self, key: str, known_version: int, timeout_s: float
    ) -> StoredKey | None:
        """Wait until a key has another version than the known one."""

        def is_changed() -> bool:
            known = self._keys.get(key)
            return known is not None and known.version != known_version

        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(is_changed)
        except TimeoutError:
            return None
        return self.read(key)

    def grant_lease(self, duration_s: float) -> str:
        """Create a lease."""
        self._version += 1
        lease = f'lease-{self._version}'
        self._leases[lease] = (duration_s, self._clock() + duration_s)
        return lease

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False when it has expired."""
        self._expire_leases()
        known = self._leases.get(lease)
        if known is None:
            return False
        self._leases[lease] = (known[0], self._clock() + known[0])
        return True

    def has_lease(self, lease: str) -> bool:
        """Tell whether a lease has not expired."""
        self._expire_leases()
        return lease in self._leases

    def revoke_lease(self, lease: str) -> None:
        """End a lease and remove its keys."""
        self._leases.pop(lease, None)
        for key, known in tuple(self._keys.items()):
            if known.lease == lease:
                del self._keys[key]

    def _expire_leases(self) -> None:
        now = self._clock()
        for lease, (_, expires_at) in tuple(self._leases.items()):
            if expires_at <= now:
                self.revoke_lease(lease)

    async def _tell_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()
