"""At-most-once execution of non-idempotent requests.

Each request carries an idempotency key. Keys are hashed onto slots, and each
slot has one owner among the nodes. The owner writes the key to the store
before it runs the request, so that a resend finds the key and does not run
the request again.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, NamedTuple, TypeAlias

import xxhash

from merlintrail.coordination._ledger_slot import LedgerSlot, SlotDependencies
from merlintrail.protocol import (
    Outcome,
    Reason,
    Refusal,
    read_key_age_s,
)
from merlintrail.state import (
    Configuration,
    KeyRecord,
    KeyState,
    LedgerSettings,
    Member,
    MemberStatus,
    MemberTable,
)
from merlintrail.transport import HttpResponse

#: Bytes of answers that are cached for resent requests; beyond that the
#: oldest answers are evicted.
MAX_CACHED_ANSWER_BYTES: Final = 16777216
#: Bytes counted for each cached answer besides its body.
ANSWER_OVERHEAD_BYTES: Final = 1024
#: Seconds by which the timestamp of a key may be ahead of the local clock.
MAX_CLOCK_SKEW_S: Final = 60.0

#: Seconds to wait for the store before a request is refused.
STORE_TIMEOUT_S: Final = 1.0
#: Seconds after a store failure during which requests are refused without
#: another call to the store.
STORE_BACKOFF_S: Final = 0.2

RequestRunner: TypeAlias = Callable[[], Awaitable[HttpResponse | Refusal]]
PreviousOwnerQuery: TypeAlias = Callable[
    [KeyRecord], Awaitable[HttpResponse | Refusal | None]
]


class KeyedRequest(NamedTuple):
    """A non-idempotent request and its idempotency key."""

    #: Service name and key; a key is unique within its service.
    key: str
    #: Digest of the request, which detects a key that is reused for another
    #: request.
    digest: str
    #: Runs the request; called at most once.
    run: RequestRunner


def find_slot(key: str, slots: int) -> int:
    """Return the number of the slot that a key hashes to."""
    slot: int = xxhash.xxh3_64_intdigest(key.encode()) % slots
    return slot


def find_slot_owner(
    table: MemberTable, configuration: Configuration, slot: int
) -> Member | None:
    """Return the owner of a slot, chosen by rendezvous hashing.

    Only nodes that are alive own slots. Nodes of the region that the ledger
    is configured for are preferred; others are used when it has none alive.
    """
    alive = [member for member in table if member.status == MemberStatus.ALIVE]
    region = configuration.ledger.region
    in_region = [
        member
        for member in alive
        if configuration.regions.get(member.data_centre) == region
    ]
    return max(
        in_region or alive,
        key=lambda member: xxhash.xxh3_64_intdigest(
            f'{slot} {member.node_id}'.encode()
        ),
        default=None,
    )


def check_key_age(
    key: str, settings: LedgerSettings, wall_time_s: float
) -> Refusal | None:
    """Return a refusal for a key whose age is out of range.

    The record of a key that is older than the retention may have been
    removed, so that a resent request could not be recognised. A key that
    carries no timestamp is accepted.
    """
    age_s = read_key_age_s(key, wall_time_s)
    if age_s is None:
        return None
    if age_s > settings.retention_s:
        return Refusal(
            Outcome.MAY_HAVE_RUN,
            Reason.KEY_TOO_OLD,
            f'the key is {age_s:.0f} s old, keys are remembered for '
            f'{settings.retention_s:.0f} s',
        )
    if age_s < -MAX_CLOCK_SKEW_S:
        return Refusal(
            Outcome.NOT_RUN,
            Reason.KEY_FROM_FUTURE,
            f'the key is dated {-age_s:.0f} s ahead',
        )
    return None


class _RunningRequest(NamedTuple):
    """A request in progress, which resent ones share."""

    digest: str
    task: 'asyncio.Task[HttpResponse | Refusal]'


class Ledger:
    """Runs keyed requests at most once, in the slots that this node owns."""

    def __init__(
        self, deps: SlotDependencies, query_previous_owner: PreviousOwnerQuery
    ) -> None:
        """Create a ledger without slots.

        :param query_previous_owner: asks the node that recorded a key for
            the answer; returns ``None`` when the answer cannot be obtained.
        """
        self._deps = deps
        self._query_previous_owner = query_previous_owner
        self._settings = LedgerSettings()
        self._slots: dict[int, LedgerSlot] = {}
        self._running: dict[str, _RunningRequest] = {}
        self._answers: OrderedDict[str, HttpResponse] = OrderedDict()
        self._answer_bytes = 0
        self._backoff_until = 0.0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._running)

    def count_keys(self) -> int:
        """Count the keys that the slots of this node keep."""
        return sum(len(slot.index) for slot in self._slots.values())

    def update_settings(self, settings: LedgerSettings) -> None:
        """Apply the ledger settings of a new configuration.

        Changed settings may map keys to other slots, so that all slots are
        relinquished and acquired again on demand.
        """
        if settings != self._settings:
            self._settings = settings
            for slot in self._slots.values():
                slot.relinquish()
            self._slots.clear()

    async def execute(self, request: KeyedRequest) -> HttpResponse | Refusal:
        """Run a request unless its key is recorded; return its answer.

        Resent requests share the run in progress or get the cached answer.
        """
        running = self._running.get(request.key)
        if running is not None and running.digest != request.digest:
            return _refuse_reused_key()
        if running is None:
            answer = self._answers.get(request.key)
            if answer is not None:
                return self._check_reuse(request) or answer
            running = self._start(request)
        return await asyncio.shield(running.task)

    def find_running(
        self, key: str
    ) -> 'asyncio.Task[HttpResponse | Refusal] | None':
        """Return the run in progress of a key, ``None`` if there is none."""
        running = self._running.get(key)
        return running and running.task

    def find_answer(self, key: str) -> HttpResponse | Refusal | None:
        """Return the cached answer for a key.

        :returns: a refusal while the request is still running, ``None`` when
            no answer is cached.
        """
        if key in self._running:
            return Refusal(Outcome.MAY_HAVE_RUN, Reason.KEY_IN_USE)
        return self._answers.get(key)

    def _start(self, request: KeyedRequest) -> '_RunningRequest':
        task = asyncio.create_task(self._execute_new(request))
        running = _RunningRequest(request.digest, task)
        self._running[request.key] = running
        task.add_done_callback(lambda _: self._running.pop(request.key, None))
        return running

    async def _execute_new(
        self, request: KeyedRequest
    ) -> HttpResponse | Refusal:
        slot = self._get_slot(request.key)
        refusal = await self._acquire(slot)
        if refusal is not None:
            return refusal
        existing = slot.index.find(request.key)
        if existing is not None and existing.state != KeyState.RELEASED:
            return await self._answer_existing(request, existing)
        refusal = self._check_restore(request.key, slot)
        refusal = refusal or self._check_room(existing)
        if refusal is not None:
            return refusal
        record = KeyRecord(
            request.key,
            request.digest,
            self._deps.wall_clock(),
            KeyState.EXECUTED,
            self._deps.owner,
        )
        slot.index.put(record)
        refusal = await self._append(slot, record)
        if refusal is not None:
            slot.release(record)
            return refusal
        return await self._run(request, slot, record)

    def _check_restore(self, key: str, slot: LedgerSlot) -> Refusal | None:
        """Refuse a key whose record a restored store may have lost.

        Only a key that is dated after the restore, by any clock that keys may
        be dated by, was certainly not recorded before.
        """
        now = self._deps.wall_clock()
        if now - slot.restored_at > slot.retention_s:
            return None
        age_s = read_key_age_s(_get_caller_key(key), now)
        if age_s is not None:
            created_at = now - age_s
            if created_at > slot.restored_at + MAX_CLOCK_SKEW_S:
                return None
        return Refusal(
            Outcome.MAY_HAVE_RUN,
            Reason.STORE_RESTORED,
            'the key may have been recorded before the store was restored',
        )

    def _check_room(self, existing: KeyRecord | None) -> Refusal | None:
        """Refuse a new key if no more can be kept."""
        if existing is not None or self.count_keys() < self._deps.max_keys:
            return None
        for slot in self._slots.values():
            slot.forget_expired()
        if self.count_keys() < self._deps.max_keys:
            return None
        return Refusal(
            Outcome.NOT_RUN,
            Reason.NO_ROOM,
            f'{self._deps.max_keys} keys are kept already',
        )

    async def _acquire(self, slot: LedgerSlot) -> Refusal | None:
        now = asyncio.get_running_loop().time()
        if now < self._backoff_until:
            return _refuse_unavailable('the store failed a moment ago')
        return await self._wait_for_store(slot.acquire())

    async def _append(
        self, slot: LedgerSlot, record: KeyRecord
    ) -> Refusal | None:
        return await self._wait_for_store(slot.append(record))

    async def _wait_for_store(
        self, operation: Coroutine[Any, Any, Refusal | None]
    ) -> Refusal | None:
        """Wait for an operation on the store, for a limited time.

        A record may still reach the store after the timeout; its request is
        refused all the same and does not run.
        """
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                refusal = await operation
        except TimeoutError:
            refusal = _refuse_unavailable(
                f'the store did not answer within {STORE_TIMEOUT_S} s'
            )
        if refusal and refusal.reason == Reason.LEDGER_UNAVAILABLE:
            now = asyncio.get_running_loop().time()
            self._backoff_until = now + STORE_BACKOFF_S
        return refusal

    async def _run(
        self, request: KeyedRequest, slot: LedgerSlot, record: KeyRecord
    ) -> HttpResponse | Refusal:
        answer = await request.run()
        if isinstance(answer, HttpResponse):
            self._cache_answer(request.key, answer)
        elif answer.outcome == Outcome.NOT_RUN:
            slot.release(record)
        return answer

    async def _answer_existing(
        self, request: KeyedRequest, existing: KeyRecord
    ) -> HttpResponse | Refusal:
        if existing.digest != request.digest:
            return _refuse_reused_key()
        if existing.owner != self._deps.owner:
            previous_answer = await self._query_previous_owner(existing)
            if previous_answer is not None:
                return previous_answer
        return Refusal(
            Outcome.MAY_HAVE_RUN,
            Reason.KEY_EXECUTED,
            'the request was started once and is not run again',
        )

    def _check_reuse(self, request: KeyedRequest) -> Refusal | None:
        existing = self._get_slot(request.key).index.find(request.key)
        if existing is not None and existing.digest != request.digest:
            return _refuse_reused_key()
        return None

    def _get_slot(self, key: str) -> LedgerSlot:
        number = find_slot(key, self._settings.slots)
        slot = self._slots.get(number)
        if slot is None:
            slot = LedgerSlot(self._deps, number, self._settings)
            self._slots[number] = slot
        return slot

    def _cache_answer(self, key: str, answer: HttpResponse) -> None:
        # What is kept has a limit of its own.
        self._answers[key] = answer._replace(hold=None)
        self._answer_bytes += answer.estimate_bytes() + ANSWER_OVERHEAD_BYTES
        while self._answer_bytes > MAX_CACHED_ANSWER_BYTES:
            _, evicted = self._answers.popitem(last=False)
            evicted_bytes = evicted.estimate_bytes() + ANSWER_OVERHEAD_BYTES
            self._answer_bytes -= evicted_bytes


def _refuse_reused_key() -> Refusal:
    return Refusal(
        Outcome.NOT_RUN,
        Reason.KEY_REUSED,
        'the key belongs to another request',
    )


def _get_caller_key(key: str) -> str:
    """Return the key that the caller sent, without the service name."""
    return key.rpartition('\n')[2]


def _refuse_unavailable(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.LEDGER_UNAVAILABLE, detail)


def create_ledger(
    deps: SlotDependencies, query_previous_owner: PreviousOwnerQuery
) -> Ledger:
    """Create a ledger that has no slots yet."""
    return Ledger(deps, query_previous_owner)
