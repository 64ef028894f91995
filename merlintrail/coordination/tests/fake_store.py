"""In-memory store whose writes can be held back and made to fail."""

import asyncio
import enum
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from merlintrail.coordination import (
    Store,
    StoreFailure,
    StoreFault,
    StoreItem,
    StoreItems,
    StoreValue,
    Transaction,
)
from merlintrail.coordination._store_era import (
    qualify_version,
    split_version,
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


class StoreCopy(NamedTuple):
    """What a fake store held at some time."""

    documents: Mapping[str, StoreValue]
    version: int


class FakeStore(Store):
    """Store with compare-and-swap in memory and faults set by a test.

    Versions in ``documents`` are those of the store, without their era.
    """

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
        #: Whether calls that renew or end a lease get no answer.
        self.is_silent = False
        #: Lease of each key that was written with one.
        self.leases: dict[str, str] = {}
        #: Leases that have ended unnoticed: renewals get no answer.
        self.unanswered_leases: set[str] = set()
        self._version = 0
        self._leases = 0
        self._era = 0

    @property
    def era(self) -> int:
        """The current era."""
        return self._era

    def copy(self) -> StoreCopy:
        """Return a copy of the documents, to be restored later."""
        return StoreCopy(dict(self.documents), self._version)

    def restore(self, copy: StoreCopy) -> None:
        """Begin a new era with the documents of a copy."""
        self.documents = dict(copy.documents)
        self._version = copy.version
        self._era += 1

    async def read(
        self, key: str, *, is_fresh: bool = False
    ) -> StoreValue | StoreFailure:
        """Read a key."""
        self.counts['read'] += 1
        if self.is_down:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        found = self.documents.get(key)
        if found is None:
            return StoreFailure(StoreFault.NOT_FOUND, key)
        return found._replace(version=self._qualify(found.version))

    async def write(
        self,
        key: str,
        document: object,
        expected_version: int,
        lease: str | None = None,
    ) -> int | StoreFailure:
        """Write a key, with the fault that the test has set."""
        self.counts['write'] += 1
        era = self.era
        if not self._is_current(expected_version):
            return StoreFailure(StoreFault.CONFLICT, 'of an earlier era')
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
            self._attach(key, lease, written)
            if fault == WriteFault.NONE:
                if era != self.era and expected_version:
                    return StoreFailure(StoreFault.RESTORED, key)
                return written
        return StoreFailure(StoreFault.UNKNOWN, 'answer lost')

    def swap(
        self, key: str, document: object, expected_version: int
    ) -> int | StoreFailure:
        """Write a key without a fault if it has the expected version.

        The store knows no eras: a call that was sent in an earlier one takes
        effect if the number matches.
        """
        current = self.documents.get(key)
        current_version = 0 if current is None else current.version
        if current_version != split_version(expected_version).version:
            return StoreFailure(StoreFault.CONFLICT, key)
        self._version += 1
        self.documents[key] = StoreValue(document, self._version)
        return self._qualify(self._version)

    async def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Remove keys; writes are made by :meth:`write` alone."""
        for key in transaction.removals:
            self.documents.pop(key, None)
        return self._qualify(self._version)

    async def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix."""
        self.counts['stale read' if may_be_stale else 'read'] += 1
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
        if not self._is_current(position):
            return StoreFailure(StoreFault.HISTORY_LOST, 'of an earlier era')
        return self._list_changes(prefix, split_version(position).version)

    async def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Grant a lease that never expires."""
        self.counts['lease'] += 1
        if self.is_down:
            return StoreFailure(StoreFault.UNAVAILABLE, 'down')
        self._leases += 1
        return f'lease-{self._leases}'

    async def renew_lease(self, lease: str) -> None | StoreFailure:
        """Renew a lease."""
        await self._wait_while_silent()
        if lease in self.unanswered_leases:
            return StoreFailure(StoreFault.UNKNOWN, 'answer lost')
        return None

    def lose_lease(self, key: str) -> None:
        """End the lease of a key; its holder gets no more answers to it."""
        self.unanswered_leases.add(self.leases.pop(key))
        del self.documents[key]

    async def revoke_lease(self, lease: str) -> None | StoreFailure:
        """End a lease."""
        await self._wait_while_silent()
        return None

    def _attach(
        self, key: str, lease: str | None, written: int | StoreFailure
    ) -> None:
        if lease is not None and isinstance(written, int):
            self.leases[key] = lease

    async def _wait_while_silent(self) -> None:
        while self.is_silent:
            await asyncio.sleep(1)

    def _list_changes(self, prefix: str, position: int) -> StoreItems:
        changed = [
            StoreItem(key, found.document, self._qualify(found.version))
            for key, found in sorted(self.documents.items())
            if key.startswith(prefix) and found.version > position
        ]
        position = self._qualify(max(self._version, 1))
        return StoreItems(tuple(changed), position)

    def _qualify(self, version: int) -> int:
        return qualify_version(self._era, version)

    def _is_current(self, version: int) -> bool:
        return not version or split_version(version).era == self._era
