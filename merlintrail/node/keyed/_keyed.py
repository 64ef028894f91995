"""Non-idempotent calls with an idempotency key, run at most once."""

import asyncio
import base64
import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import xxhash

from merlintrail.coordination import (
    KeyedRequest,
    Ledger,
    PeerClient,
    check_key_age,
    find_slot,
    find_slot_owner,
)
from merlintrail.node._calls import (
    CallResult,
    GatewayResult,
    OutgoingCall,
    compute_call_digest,
)
from merlintrail.node.calling import Dispatcher, PeerExchange, read_peer_answer
from merlintrail.observability import log_decision
from merlintrail.protocol import (
    CallHeader,
    CallReport,
    DecodeFailure,
    Outcome,
    Reason,
    Refusal,
    create_id,
    decode_answer,
    read_refusal,
)
from merlintrail.state import (
    Configuration,
    ConfigurationHolder,
    KeyRecord,
    Member,
    MemberTable,
    RetryAccount,
)
from merlintrail.transport import (
    REQUEST_BYTES,
    HttpResponse,
    MemoryBudget,
    TransportFailure,
)

#: Maximum attempts to reach the owner of a slot, while ownership changes.
MAX_OWNER_ATTEMPTS: Final = 3
#: Seconds before the second attempt; each later delay grows by as much.
OWNER_RETRY_DELAY_S: Final = 0.05
#: Timeout in seconds of a query to the previous owner of a slot.
RECALL_TIMEOUT_S: Final = 0.5
#: Typical latency in seconds of a call to the owner of a slot.
TYPICAL_LATENCY_S: Final = 0.25
_MS_PER_S: Final = 1000
#: Refusal reasons after which the owner of a slot is looked up again.
_OWNER_CHANGED_REASONS: Final = frozenset(
    (Reason.LEDGER_MOVED, Reason.PEER_LOST)
)


class KeyedCallsDependencies(NamedTuple):
    """Dependencies of :class:`KeyedCalls`."""

    node_id: str
    holder: ConfigurationHolder
    table: MemberTable
    dispatcher: Dispatcher
    exchange: PeerExchange
    peers: PeerClient
    #: Memory of the requests that run on.
    budget: MemoryBudget
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    rng: random.Random


class KeyedCalls:
    """Runs keyed calls at most once, through the ledger.

    A keyed call is a non-idempotent call with an idempotency key. The key
    belongs to a slot of the ledger, and the owner of the slot runs the call.
    """

    def __init__(self, deps: KeyedCallsDependencies) -> None:
        self._deps = deps
        self._ledger: Ledger | None = None
        self._owners: dict[int, Member | None] = {}
        self._owners_version = (0, 0)
        #: Keys whose runs hold memory, as their callers have left.
        self._held_keys: set[str] = set()

    @property
    def ledger(self) -> Ledger:
        """The ledger with the slots of this node."""
        assert self._ledger is not None
        return self._ledger

    def attach(self, ledger: Ledger) -> None:
        """Set the ledger, whose creation needs :meth:`query_previous_owner`."""
        self._ledger = ledger

    async def execute(self, call: OutgoingCall) -> CallResult:
        """Run a keyed call at the owner of its slot, here or elsewhere."""
        configuration = self._deps.holder.current
        assert configuration is not None
        refusal = self._check_key(call, configuration)
        if refusal is not None:
            return CallResult(refusal, {})
        for attempt in range(MAX_OWNER_ATTEMPTS):
            call_result = await self._execute_once(call, configuration)
            if not self._may_retry_owner(call, call_result, attempt):
                break
            await asyncio.sleep(OWNER_RETRY_DELAY_S * (attempt + 1))
        return call_result

    async def execute_here(self, call: OutgoingCall) -> CallResult:
        """Run a keyed call as the owner of its slot.

        The request continues after its caller's deadline, until the deadline
        of its kind, so that a resend can get the answer.
        """
        downstream_levels: dict[str, int] = {}

        async def run() -> HttpResponse | Refusal:
            call_result = await self._deps.dispatcher.dispatch(
                self._extend_deadline(call)
            )
            downstream_levels.update(call_result.downstream_levels)
            return call_result.answer

        request = KeyedRequest(
            _scope_key(call),
            compute_call_digest(call),
            run,
        )
        remaining_s = call.deadline - self._deps.clock()
        try:
            async with asyncio.timeout(remaining_s):
                answer = await self.ledger.execute(request)
        except TimeoutError:
            answer = Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        finally:
            self._hold_until_end(request.key, call)
        return CallResult(answer, downstream_levels)

    async def handle_peer_call(
        self, header: CallHeader, call: OutgoingCall
    ) -> GatewayResult:
        """Run a keyed call for another node.

        The owner of the slot chooses the backend server, so that it has to
        know what the servers stated in answers that other nodes passed on.
        """
        self._deps.dispatcher.notices.adopt(call.service, header.lost_notices)
        call_result = await self.execute_here(call)
        answer = call_result.answer
        refusal = answer if isinstance(answer, Refusal) else None
        report = CallReport(
            header.call_id,
            Outcome.COMPLETED if refusal is None else refusal.outcome.value,
            '' if refusal is None else refusal.reason.value,
            call.account.balance,
            level=0,
            downstream_levels=call_result.downstream_levels,
            in_flight=self.ledger.running,
            service_ms=0.0,
            is_draining=False,
        )
        return GatewayResult(answer, report)

    async def query_previous_owner(
        self, record: KeyRecord
    ) -> HttpResponse | Refusal | None:
        """Ask the node that recorded a key for the answer.

        :returns: ``None`` if that node has departed or does not reply, or
            does not know the answer.
        """
        member = self._deps.table.find(record.owner)
        if member is None or member.has_departed:
            return None
        answer = await self._deps.peers.send_request(
            member.peer_address,
            'recall',
            {'key': record.key},
            timeout_s=RECALL_TIMEOUT_S,
        )
        if isinstance(answer, TransportFailure) or not answer:
            return None
        return _decode_recalled_answer(answer)

    def handle_recall(self, document: dict[str, Any]) -> object:
        """Return the answer recorded for a key to the slot's new owner.

        :returns: ``None`` if this node does not know the answer.
        """
        answer = self.ledger.find_answer(str(document.get('key')))
        if answer is None:
            return None
        if isinstance(answer, Refusal):
            return {'outcome': answer.outcome, 'reason': answer.reason}
        return {
            'status': answer.status,
            'headers': answer.headers,
            'body': base64.b64encode(answer.body).decode(),
        }

    def _hold_until_end(self, key: str, call: OutgoingCall) -> None:
        """Hold the memory of a request that runs on without its caller."""
        running = self.ledger.find_running(key)
        if running is None or key in self._held_keys:
            return
        size = REQUEST_BYTES + len(call.body)
        self._held_keys.add(key)
        self._deps.budget.add(size)
        running.add_done_callback(lambda _: self._end_hold(key, size))

    def _end_hold(self, key: str, size: int) -> None:
        self._held_keys.discard(key)
        self._deps.budget.add(-size)

    async def _execute_once(
        self, call: OutgoingCall, configuration: Configuration
    ) -> CallResult:
        slot = find_slot(_scope_key(call), configuration.ledger.slots)
        owner = self._find_owner(configuration, slot)
        if owner is None:
            refusal = Refusal(
                Outcome.NOT_RUN, Reason.LEDGER_UNAVAILABLE, 'no owner'
            )
            return CallResult(refusal, {})
        log_decision(
            'place',
            request_id=call.request_id,
            service=call.service,
            slot=slot,
            instance=owner.node_id,
        )
        if owner.node_id == self._deps.node_id:
            return await self.execute_here(call)
        return await self._send_to_owner(call, owner)

    def _find_owner(
        self, configuration: Configuration, slot: int
    ) -> Member | None:
        """Return the owner of a slot.

        It is cached until the members or the configuration change.
        """
        version = (self._deps.table.digest, configuration.generation)
        if version != self._owners_version:
            self._owners_version = version
            self._owners.clear()
        if slot not in self._owners:
            self._owners[slot] = find_slot_owner(
                self._deps.table, configuration, slot
            )
        return self._owners[slot]

    async def _send_to_owner(
        self, call: OutgoingCall, owner: Member
    ) -> CallResult:
        reserved_retries = call.account.reserve_all()
        remaining_s = call.deadline - self._deps.clock()
        header = CallHeader(
            call.request_id,
            create_id(self._deps.rng),
            call.kind,
            call.priority,
            call.is_idempotent,
            remaining_s * _MS_PER_S,
            reserved_retries,
            call.depth,
            owner.incarnation,
            self._deps.node_id,
            call.service,
            call.key,
            lost_notices=self._deps.dispatcher.notices.list_lost(
                call.service, self._deps.table
            ),
            customer=call.customer,
        )
        answer = await self._deps.exchange.send(
            owner, header, call, TYPICAL_LATENCY_S
        )
        gateway_result = read_peer_answer(header, answer)
        call.account.refund(reserved_retries, gateway_result.report.retries)
        return CallResult(
            gateway_result.answer, gateway_result.report.downstream_levels
        )

    def _may_retry_owner(
        self, call: OutgoingCall, call_result: CallResult, attempt: int
    ) -> bool:
        answer = call_result.answer
        if (
            isinstance(answer, HttpResponse)
            or attempt + 1 >= MAX_OWNER_ATTEMPTS
        ):
            return False
        is_owner_changed = answer.reason in _OWNER_CHANGED_REASONS
        if not is_owner_changed or answer.outcome != Outcome.NOT_RUN:
            return False
        return call.account.spend()

    def _check_key(
        self, call: OutgoingCall, configuration: Configuration
    ) -> Refusal | None:
        assert call.key is not None
        return check_key_age(
            call.key, configuration.ledger, self._deps.wall_clock()
        )

    def _extend_deadline(self, call: OutgoingCall) -> OutgoingCall:
        configuration = self._deps.holder.current
        service = configuration and configuration.services.get(call.service)
        if not service:
            return call
        kind = service.find_kind(call.method, call.target.partition('?')[0])
        latest_deadline = self._deps.clock() + kind.deadline_ms / _MS_PER_S
        account = RetryAccount(call.account.reserve_all())
        return call._replace(
            deadline=max(call.deadline, latest_deadline), account=account
        )


def _scope_key(call: OutgoingCall) -> str:
    """Return the digest of service and key, which the ledger records."""
    scoped_key = f'{call.service}\n{call.key}'
    digest: str = xxhash.xxh3_128_hexdigest(scoped_key.encode())
    return digest


def _decode_recalled_answer(
    document: dict[str, Any],
) -> HttpResponse | Refusal | None:
    """Decode an answer; ``None`` if it cannot be read."""
    if 'outcome' in document:
        return read_refusal(document['outcome'], document.get('reason'))
    answer = decode_answer(
        document.get('status'), document.get('headers'), document.get('body')
    )
    return None if isinstance(answer, DecodeFailure) else answer
