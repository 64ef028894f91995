"""One slot of the ledger at the node that owns it."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from merlintrail.coordination._segments import Segment, read_segment
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreFault,
)
from merlintrail.protocol import Outcome, Reason, Refusal
from merlintrail.state import (
    KeyRecord,
    KeyState,
    LedgerIndex,
    LedgerSettings,
)

#: Times that taking over a slot is begun anew after a collision.
MAX_ACQUISITION_ATTEMPTS: Final = 5
#: Seconds within which a lost answer of a write must be settled.
RESOLVE_TIMEOUT_S: Final = 1.5
#: Seconds between tries to settle a lost answer.
RESOLVE_INTERVAL_S: Final = 0.05
#: Seconds beyond the retention for which keys stay in the store, so that
#: clocks may differ.
TRIM_MARGIN_S: Final = 60.0
#: Writes that may follow each other at once before the budget counts.
WRITE_BURST: Final = 4.0


class SlotDependencies(NamedTuple):
    """What a slot is made with."""

    store: Store
    #: Identifier of this node.
    owner: str
    wall_clock: Callable[[], float]
    create_nonce: Callable[[], str]


class PendingKey(NamedTuple):
    """A record that waits for the next write."""

    record: KeyRecord
    #: Resolves to ``None`` once the record is in the store.
    completion: asyncio.Future[Refusal | None]


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, reason, detail)


class LedgerSlot:
    """Write-ahead log of keys over compare-and-swap.

    Taking over writes the tail segment anew, so that the next write of an
    earlier owner collides: a paused owner that wakes can start nothing.
    While one write is in flight the next batch gathers.
    """

    def __init__(
        self, deps: SlotDependencies, number: int, settings: LedgerSettings
    ) -> None:
        self._deps = deps
        self._number = number
        self._writes_per_s = settings.writes_per_s / settings.slots
        self._tokens = WRITE_BURST
        self._refilled_at = deps.wall_clock()
        self._tail: Segment | None = None
        self._sealed: list[Segment] = []
        self._first_sequence = 0
        self._head_version = 0
        self._pending: list[PendingKey] = []
        self._pending_releases: dict[str, KeyRecord] = {}
        self._lock = asyncio.Lock()
        self._writer: asyncio.Task[None] | None = None
        #: Keys that the log has recorded.
        self.index = LedgerIndex()
        #: Seconds for which keys are remembered.
        self.retention_s = settings.retention_s

    @property
    def is_owned(self) -> bool:
        """Whether this node believes to own the slot."""
        return self._tail is not None

    async def acquire(self) -> Refusal | None:
        """Take the slot over if it is not owned yet."""
        async with self._lock:
            if self._tail is not None:
                return None
            failure: StoreFailure | None = None
            for _ in range(MAX_ACQUISITION_ATTEMPTS):
                failure = await self._try_acquire()
                if failure is None:
                    return None
                if failure.fault == StoreFault.UNAVAILABLE:
                    break
            return _refuse(
                Reason.LEDGER_UNAVAILABLE, failure.reason if failure else ''
            )

    async def append(self, record: KeyRecord) -> Refusal | None:
        """Record a key before its request runs.

        :returns: ``None`` once the record is in the store, else a refusal;
            the request must not run then.
        """
        completion: asyncio.Future[Refusal | None]
        completion = asyncio.get_running_loop().create_future()
        self._pending.append(PendingKey(record, completion))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_batches())
        return await asyncio.shield(completion)

    def release(self, record: KeyRecord) -> None:
        """Note that a recorded request was proved not to have run."""
        released = record._replace(state=KeyState.RELEASED)
        self.index.put(released)
        self._pending_releases[record.key] = released

    def relinquish(self) -> None:
        """Stop believing to own the slot."""
        self._tail = None

    async def _write_batches(self) -> None:
        while self._pending:
            await self._wait_for_budget()
            async with self._lock:
                batch = tuple(self._pending)
                self._pending.clear()
                refusal = await self._write_batch(
                    [pending.record for pending in batch]
                )
            for pending in batch:
                if not pending.completion.done():
                    pending.completion.set_result(refusal)
            await self._trim()

    async def _write_batch(
        self, records: Sequence[KeyRecord]
    ) -> Refusal | None:
        tail = self._tail
        if tail is None:
            return _refuse(Reason.LEDGER_MOVED, 'the slot is not owned')
        releases = tuple(self._pending_releases.values())
        extended = tail._replace(
            records=(*tail.records, *releases, *records),
            nonce=self._deps.create_nonce(),
        )
        extended = extended._replace(is_sealed=extended.is_full)
        failure = await self._write_segment(extended)
        if failure is not None:
            self._tail = None
            return self._build_refusal(failure)
        for record in releases:
            self._pending_releases.pop(record.key, None)
        return None

    async def _write_segment(self, segment: Segment) -> StoreFailure | None:
        """Write a segment until it is known whether the write took effect."""
        written = await self._write_once(segment)
        if isinstance(written, int):
            self._advance(segment._replace(version=written))
            return None
        if written.fault != StoreFault.UNKNOWN:
            return written
        try:
            async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                return await self._resolve_write(segment)
        except TimeoutError:
            return written

    async def _resolve_write(self, segment: Segment) -> StoreFailure | None:
        """Read back, and write again while nothing has changed.

        A repeated write makes the first one collide or be the only one, so
        that it cannot take effect later unseen.
        """
        while True:
            await asyncio.sleep(RESOLVE_INTERVAL_S)
            found = await self._read_segment(segment.sequence)
            if isinstance(found, StoreFailure):
                continue
            if found.nonce == segment.nonce:
                self._advance(segment._replace(version=found.version))
                return None
            if found.version != segment.version:
                return StoreFailure(StoreFault.CONFLICT, 'another writer')
            written = await self._write_once(segment)
            if isinstance(written, int):
                self._advance(segment._replace(version=written))
                return None

    async def _write_once(self, segment: Segment) -> int | StoreFailure:
        return await self._deps.store.write(
            self._build_key(segment.sequence),
            segment.encode(self._deps.owner),
            segment.version,
        )

    def _advance(self, segment: Segment) -> None:
        if segment.is_sealed:
            self._sealed.append(segment)
            self._tail = Segment(segment.sequence + 1, version=0)
        else:
            self._tail = segment

    async def _try_acquire(self) -> StoreFailure | None:
        failure = await self._read_head()
        if failure is not None:
            return failure
        self._sealed = []
        sequence = self._first_sequence
        while True:
            segment = await self._read_segment(sequence)
            if isinstance(segment, StoreFailure):
                return segment
            self._index_segment(segment)
            if not segment.is_sealed:
                break
            self._sealed.append(segment)
            sequence += 1
        return await self._write_segment(
            segment._replace(nonce=self._deps.create_nonce())
        )

    async def _read_head(self) -> StoreFailure | None:
        found = await self._deps.store.read(f'ledger/{self._number}')
        if isinstance(found, StoreFailure):
            if found.fault != StoreFault.NOT_FOUND:
                return found
            self._first_sequence = 0
            self._head_version = 0
            return None
        self._first_sequence = found.document['first']
        self._head_version = found.version
        return None

    async def _read_segment(self, sequence: int) -> Segment | StoreFailure:
        found = await self._deps.store.read(self._build_key(sequence))
        if isinstance(found, StoreFailure):
            if found.fault == StoreFault.NOT_FOUND:
                return Segment(sequence, version=0)
            return found
        return read_segment(sequence, found.version, found.document)

    def _index_segment(self, segment: Segment) -> None:
        """Take the records of a segment.

        Only about its own records this node may know more than the log: that
        a request was proved not to have run. A release takes back the
        record of the same owner only.
        """
        for record in segment.records:
            existing = self.index.find(record.key)
            if existing is None:
                self.index.put(record)
                continue
            is_same_owner = existing.owner == record.owner
            if is_same_owner and record.owner == self._deps.owner:
                continue
            if is_same_owner or record.state != KeyState.RELEASED:
                self.index.put(record)

    async def _trim(self) -> None:
        """Remove segments whose keys are all past their retention."""
        oldest = self._deps.wall_clock() - self.retention_s - TRIM_MARGIN_S
        self.index.remove_older(oldest)
        if not self._sealed or self._sealed[0].last_recorded_at >= oldest:
            return
        expired = self._sealed[0]
        written = await self._deps.store.write(
            f'ledger/{self._number}',
            {'first': expired.sequence + 1},
            self._head_version,
        )
        if isinstance(written, StoreFailure):
            self._tail = None
            return
        self._head_version = written
        self._first_sequence = expired.sequence + 1
        del self._sealed[0]
        await self._deps.store.remove(
            self._build_key(expired.sequence), expired.version
        )

    async def _wait_for_budget(self) -> None:
        now = self._deps.wall_clock()
        refill = (now - self._refilled_at) * self._writes_per_s
        self._tokens = min(WRITE_BURST, self._tokens + refill) - 1
        self._refilled_at = now
        if self._tokens < 0:
            await asyncio.sleep(-self._tokens / self._writes_per_s)

    def _build_refusal(self, failure: StoreFailure) -> Refusal:
        if failure.fault == StoreFault.CONFLICT:
            return _refuse(Reason.LEDGER_MOVED, 'another node took the slot')
        return _refuse(Reason.LEDGER_UNAVAILABLE, failure.reason)

    def _build_key(self, sequence: int) -> str:
        return f'ledger/{self._number}/{sequence}'
