"""One slot of the execution ledger, at the node that owns it."""

import asyncio
from collections.abc import Callable, Container, Sequence
from typing import Final, NamedTuple

from merlintrail.coordination._restore_record import RestoreRecord
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

#: Attempts to acquire a slot before its requests are refused; an attempt
#: fails, for example, when another node writes the slot at the same time.
MAX_ACQUISITION_ATTEMPTS: Final = 5
#: Seconds allowed to find out whether a write with a lost answer took effect.
RESOLVE_TIMEOUT_S: Final = 1.5
#: Seconds between reads of the store until the outcome of a write is known.
RESOLVE_INTERVAL_S: Final = 0.05
#: Seconds beyond the retention for which keys are kept, to allow for
#: differences between the nodes' clocks.
TRIM_MARGIN_S: Final = 60.0
#: Capacity of the token bucket that limits the rate of writes, in writes.
WRITE_BURST: Final = 4.0


#: Keys that a node keeps by default: a tenth of 200 MB, 512 bytes each.
DEFAULT_MAX_KEYS: Final = 39062


class SlotDependencies(NamedTuple):
    """Dependencies of a ledger slot."""

    store: Store
    #: Identifier of this node.
    owner: str
    #: Returns seconds since the epoch.
    wall_clock: Callable[[], float]
    #: Returns a new unique string to identify a write.
    create_nonce: Callable[[], str]
    #: Keys that the slots of a node keep together. Those that a slot has when
    #: it is acquired are kept in any case.
    max_keys: int = DEFAULT_MAX_KEYS


class PendingKey(NamedTuple):
    """A record that waits for the next batch to be written."""

    record: KeyRecord
    #: Resolves to ``None`` once the record is in the store, or to a refusal.
    completion: asyncio.Future[Refusal | None]


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, reason, detail)


class LedgerSlot:
    """Write-ahead log of keys, kept in the store by compare-and-swap.

    The log is a sequence of segments, of which only the last one, the tail,
    is appended to. Acquiring the slot rewrites the tail, which changes its
    version: the next write of a previous owner conflicts, so that an owner
    that was paused cannot start a request after it resumes. Records that
    arrive during a write are gathered and written as the next batch.
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
        #: Era of the store in which the slot was acquired.
        self._era = 0
        self._restore_record = RestoreRecord(deps.store, deps.wall_clock)
        self._sealed: list[Segment] = []
        self._first_sequence = 0
        self._head_version = 0
        self._pending: list[PendingKey] = []
        self._pending_releases: dict[str, KeyRecord] = {}
        self._lock = asyncio.Lock()
        self._writer: asyncio.Task[None] | None = None
        #: Records of the keys in the log.
        self.index = LedgerIndex()
        #: Seconds for which keys are kept.
        self.retention_s = settings.retention_s

    @property
    def is_owned(self) -> bool:
        """Whether this node acquired the slot and no write has failed since.

        Another node may have acquired it in the meantime.
        """
        return self._tail is not None

    @property
    def restored_at(self) -> float:
        """When the store was last restored, in seconds since the epoch.

        Keys recorded before may be missing in the log. 0 if it never was.
        """
        return self._restore_record.restored_at

    async def acquire(self) -> Refusal | None:
        """Acquire the slot unless this node owns it already.

        What was acquired before the store was restored is not owned.
        """
        async with self._lock:
            if self._tail is not None and self._is_current_era():
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
        """Append a key to the log before its request runs.

        :returns: ``None`` once the record is in the store. Otherwise a
            refusal, and the request must not run.
        """
        completion: asyncio.Future[Refusal | None]
        completion = asyncio.get_running_loop().create_future()
        self._pending.append(PendingKey(record, completion))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_batches())
        return await asyncio.shield(completion)

    def release(self, record: KeyRecord) -> None:
        """Record that a request was proved not to have run.

        The release is written to the store with the next batch. If another
        owner has recorded the key meanwhile, its record holds.
        """
        existing = self.index.find(record.key)
        if existing is not None and existing.owner != record.owner:
            return
        released = record._replace(state=KeyState.RELEASED)
        self.index.put(released)
        self._pending_releases[record.key] = released

    def forget_expired(self) -> None:
        """Forget the keys that are past retention."""
        oldest = self._deps.wall_clock() - self.retention_s - TRIM_MARGIN_S
        self.index.remove_older(oldest)

    def relinquish(self) -> None:
        """Give up ownership without a write to the store."""
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
        """Write a segment and, if the answer is lost, find out the outcome."""
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
        """Find out whether a write with a lost answer took effect.

        Reads the segment back, and repeats the write as long as the stored
        version is still the one before it. The repeated write expects the
        same version, so that only one of the two can take effect: once it
        succeeds, the first one can no longer take effect late.
        """
        while True:
            await asyncio.sleep(RESOLVE_INTERVAL_S)
            stored = await self._read_segment(segment.sequence)
            if isinstance(stored, StoreFailure):
                continue
            if not self._is_current_era():
                return StoreFailure(StoreFault.RESTORED, 'outcome is lost')
            if stored.nonce == segment.nonce:
                self._advance(segment._replace(version=stored.version))
                return None
            if stored.version != segment.version:
                return StoreFailure(StoreFault.CONFLICT, 'another writer')
            written = await self._write_once(segment)
            if isinstance(written, int):
                self._advance(segment._replace(version=written))
                return None

    async def _write_once(self, segment: Segment) -> int | StoreFailure:
        """Write a segment, in the era in which the slot was acquired.

        A restored store may hold another log, in which even a new segment has
        no place.
        """
        restored = StoreFailure(StoreFault.RESTORED, 'the store was restored')
        if not self._is_current_era():
            return restored
        written = await self._deps.store.write(
            self._build_key(segment.sequence),
            segment.encode(self._deps.owner),
            segment.version,
        )
        return written if self._is_current_era() else restored

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
        self._era = self._deps.store.era
        failure = await self._restore_record.refresh()
        if failure is not None:
            return failure
        self._sealed = []
        sequence = self._first_sequence
        found: set[str] = set()
        while True:
            segment = await self._read_segment(sequence)
            if isinstance(segment, StoreFailure):
                return segment
            found.update(record.key for record in segment.records)
            self._index_segment(segment)
            if not segment.is_sealed:
                break
            self._sealed.append(segment)
            sequence += 1
        return await self._write_segment(
            segment._replace(
                nonce=self._deps.create_nonce(),
                records=(*segment.records, *self._list_lost_records(found)),
            )
        )

    def _list_lost_records(self, found: Container[str]) -> Sequence[KeyRecord]:
        """Return this node's records of started requests that the log lacks.

        A restored store has lost its latest records.

        :param found: keys in the log.
        """
        return [
            record
            for record in self.index
            if record.owner == self._deps.owner
            and record.state == KeyState.EXECUTED
            and record.key not in found
        ]

    async def _read_head(self) -> StoreFailure | None:
        head = await self._deps.store.read(f'ledger/{self._number}')
        if isinstance(head, StoreFailure):
            if head.fault != StoreFault.NOT_FOUND:
                return head
            self._first_sequence = 0
            self._head_version = 0
            return None
        self._first_sequence = head.document['first']
        self._head_version = head.version
        return None

    async def _read_segment(self, sequence: int) -> Segment | StoreFailure:
        stored = await self._deps.store.read(self._build_key(sequence))
        if isinstance(stored, StoreFailure):
            if stored.fault == StoreFault.NOT_FOUND:
                return Segment(sequence, version=0)
            return stored
        try:
            return read_segment(sequence, stored.version, stored.document)
        except (LookupError, TypeError, ValueError) as error:
            return StoreFailure(
                StoreFault.UNKNOWN, f'unreadable segment: {error!r}'
            )

    def _index_segment(self, segment: Segment) -> None:
        """Add the records of a segment to the index.

        The index takes precedence over the log for this node's own records,
        because a release may not have been written yet. A release replaces
        only a record of the same owner.
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
        """Remove the oldest segment if all its keys are past retention."""
        oldest = self._deps.wall_clock() - self.retention_s - TRIM_MARGIN_S
        self.forget_expired()
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

    def _is_current_era(self) -> bool:
        return self._deps.store.era == self._era

    def _build_refusal(self, failure: StoreFailure) -> Refusal:
        if failure.fault == StoreFault.CONFLICT:
            return _refuse(Reason.LEDGER_MOVED, 'another node took the slot')
        return _refuse(Reason.LEDGER_UNAVAILABLE, failure.reason)

    def _build_key(self, sequence: int) -> str:
        return f'ledger/{self._number}/{sequence}'
