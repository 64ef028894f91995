"""In-memory store whose writes can be held back and made to fail."""

import asyncio
import enum
from collections import Counter

from merlintrail.coordination import (
    Store,
    StoreFailure,
    StoreFault,
    StoreItem,
    StoreItems,
    StoreValue,
    Transaction,
)


class WriteFault(enum.Enum):
    """What happens to a write."""

    NONE = 'none'
    #: The write is refused and has no effect.
    REFUSED = 'refused'
    #: The write is lost; the writer gets an unknown outcome.
    LOST = 'lost'
    #: The write takes effect; the writer gets an unknown outcome.
    ANSWER_LOST = 'answer lost'
    #: The writer gets an unknown outcome, and the write takes effect later.
    LATE = 'late'


class FakeStore(Store):
    """Store with compare-and-swap in memory and faults set by a test."""

    def __init__(self) -> None:
        self.documents: dict[str, StoreValue] = {}
        #: Number of calls made, by kind.
        self.counts: Counter[str] = Counter()
        #: Fault of the next writes, unless they are held.
        self.fault = WriteFault.NONE
        #: Whether each write waits for the test to set its fault.
        self.is_held = False
        #: Writes that wait, as futures that take their faults.
        self.held: list[asyncio.Future[WriteFault]] = []
        #: Writes that have yet to take effect, as arguments of :meth:`swap`.
        self.late: list[tuple[str, object, int]] = []
        #: Whether every call fails, except :meth:`transact` and those that
        #: renew or end a lease.
        self.is_down = False
        self._version = 0
        self._leases = 0

    async def read(self, key: str) -> StoreValue | StoreFailure:
        """Read a key."""
        self.counts['read'] += 1
        if self.is_down:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        found = self.documents.get(key)
        return found or StoreFailure(StoreFault.NOT_FOUND, key)

    async def write(
        self,
        key: str,
        document: object,
        expected_version: int,
        lease: str | None = None,
    ) -> int | StoreFailure:
        """Write a key, with the fault that the test has set."""
        self.counts['write'] += 1
        fault = self.fault
        if self.is_held:
            decision = asyncio.get_running_loop().create_future()
            self.held.append(decision)
            fault = await decision
        if self.is_down or fault == WriteFault.REFUSED:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        if fault == WriteFault.LATE:
            self.late.append((key, document, expected_version))
        elif fault != WriteFault.LOST:
            written = self.swap(key, document, expected_version)
            if fault == WriteFault.NONE:
                return written
        return StoreFailure(StoreFault.UNKNOWN, 'answer lost')

    def swap(
        self, key: str, document: object, expected_version: int
    ) -> int | StoreFailure:
        """Write a key without a fault if it has the expected version."""
        current = self.documents.get(key)
        current_version = 0 if current is None else current.version
        if current_version != expected_version:
            return StoreFailure(StoreFault.CONFLICT, key)
        self._version += 1
        self.documents[key] = StoreValue(document, self._version)
        return self._version

    async def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Remove keys; writes are made by :meth:`write` alone."""
        for key in transaction.removals:
            self.documents.pop(key, None)
        return self._version

    async def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix."""
        self.counts['read'] += 1
        if self.is_down:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        return self._list_changes(prefix, 0)

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreItems | StoreFailure:
        """Wait for a twentieth of the timeout, then return the changes."""
        self.counts['watch'] += 1
        await asyncio.sleep(timeout_s / 20)
        if self.is_down:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        return self._list_changes(prefix, position)

    async def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Grant a lease that never expires."""
        if self.is_down:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        self._leases += 1
        return f'lease-{self._leases}'

    async def renew_lease(self, lease: str) -> None | StoreFailure:
        """Renew a lease."""
        return None

    async def revoke_lease(self, lease: str) -> None | StoreFailure:
        """End a lease."""
        return None

    def _list_changes(self, prefix: str, position: int) -> StoreItems:
        changed = [
            StoreItem(key, found.document, found.version)
            for key, found in sorted(self.documents.items())
            if key.startswith(prefix) and found.version > position
        ]
        return StoreItems(tuple(changed), max(self._version, 1))
