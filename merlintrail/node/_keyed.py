"""Non-idempotent requests with a key: sent to the owner of their slot."""

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
from merlintrail.node._answers import read_peer_answer
from merlintrail.node._calls import (
    CallResult,
    GateResult,
    OutgoingCall,
    compute_call_digest,
)
from merlintrail.node._dispatch import Dispatcher
from merlintrail.node._exchange import PeerExchange
from merlintrail.observability import log_decision
from merlintrail.protocol import (
    CallHeader,
    CallReport,
    Outcome,
    Reason,
    Refusal,
    create_id,
)
from merlintrail.state import (
    Configuration,
    ConfigurationHolder,
    KeyRecord,
    Member,
    MemberTable,
    RetryAccount,
)
from merlintrail.transport import HttpResponse, TransportFailure

#: Owners of a slot that are tried one after the other.
MAX_OWNERS: Final = 3
#: Seconds between tries while a slot moves.
MOVE_PAUSE_S: Final = 0.05
#: Seconds to wait for an earlier owner's word.
RECALL_TIMEOUT_S: Final = 0.5
#: Seconds that a call to the owner of a slot usually takes.
USUAL_S: Final = 0.25
_MS_PER_S: Final = 1000
_MOVED: Final = frozenset((Reason.LEDGER_MOVED, Reason.PEER_LOST))


class KeyedParts(NamedTuple):
    """What keyed calls are made with."""

    node_id: str
    holder: ConfigurationHolder
    table: MemberTable
    dispatcher: Dispatcher
    exchange: PeerExchange
    peers: PeerClient
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    source: random.Random


class KeyedCalls:
    """Runs keyed calls through the ledger."""

    def __init__(self, parts: KeyedParts) -> None:
        self._parts = parts
        self._ledger: Ledger | None = None
        self._owners: dict[int, Member | None] = {}
        self._owners_basis = (0, 0)

    @property
    def ledger(self) -> Ledger:
        """The ledger slots of this node."""
        assert self._ledger is not None
        return self._ledger

    def attach(self, ledger: Ledger) -> None:
        """Set the ledger that recalls through this object."""
        self._ledger = ledger

    async def execute(self, call: OutgoingCall) -> CallResult:
        """Run a keyed call at the owner of its slot."""
        configuration = self._parts.holder.current
        assert configuration is not None
        refusal = self._check_key(call, configuration)
        if refusal is not None:
            return CallResult(refusal, {})
        for attempt in range(MAX_OWNERS):
            call_result = await self._execute_once(call, configuration)
            if not self._may_try_next(call, call_result, attempt):
                break
            await asyncio.sleep(MOVE_PAUSE_S * (attempt + 1))
        return call_result

    async def execute_here(self, call: OutgoingCall) -> CallResult:
        """Run a keyed call as the owner of its slot.

        The request goes on after its caller's deadline, until that of its
        kind, so that a resend gets the answer.
        """
        levels: dict[str, int] = {}

        async def run() -> HttpResponse | Refusal:
            call_result = await self._parts.dispatcher.dispatch(
                self._extend_deadline(call)
            )
            levels.update(call_result.path_levels)
            return call_result.answer

        request = KeyedRequest(
            _scope_key(call),
            compute_call_digest(call),
            run,
        )
        remaining_s = call.deadline - self._parts.clock()
        try:
            async with asyncio.timeout(remaining_s):
                answer = await self.ledger.execute(request)
        except TimeoutError:
            answer = Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        return CallResult(answer, levels)

    async def handle_peer_call(
        self, header: CallHeader, call: OutgoingCall
    ) -> GateResult:
        """Run a keyed call for another node."""
        call_result = await self.execute_here(call)
        answer = call_result.answer
        refusal = answer if isinstance(answer, Refusal) else None
        report = CallReport(
            header.call_id,
            Outcome.COMPLETED if refusal is None else refusal.outcome.value,
            '' if refusal is None else refusal.reason.value,
            call.account.balance,
            level=0,
            path_levels=call_result.path_levels,
            in_flight=self.ledger.running,
            service_ms=0.0,
            is_draining=False,
        )
        return GateResult(answer, report)

    async def recall(self, record: KeyRecord) -> HttpResponse | Refusal | None:
        """Ask an earlier owner for the answer to a key."""
        member = self._parts.table.find(record.owner)
        if member is None or member.is_gone:
            return None
        answer = await self._parts.peers.send_request(
            member.peer_address,
            'recall',
            {'key': record.key},
            timeout_s=RECALL_TIMEOUT_S,
        )
        if isinstance(answer, TransportFailure) or not answer:
            return None
        return _read_recalled(answer)

    def handle_recall(self, document: dict[str, Any]) -> object:
        """Tell another owner the answer to a key, if it is known here."""
        known = self.ledger.find_answer(str(document.get('key')))
        if known is None:
            return None
        if isinstance(known, Refusal):
            return {'outcome': known.outcome, 'reason': known.reason}
        return {
            'status': known.status,
            'headers': known.headers,
            'body': base64.b64encode(known.body).decode(),
        }

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
        if owner.node_id == self._parts.node_id:
            return await self.execute_here(call)
        return await self._send_to_owner(call, owner)

    def _find_owner(
        self, configuration: Configuration, slot: int
    ) -> Member | None:
        """Find the owner of a slot, anew only when something changed."""
        basis = (self._parts.table.digest, configuration.generation)
        if basis != self._owners_basis:
            self._owners_basis = basis
            self._owners.clear()
        if slot not in self._owners:
            self._owners[slot] = find_slot_owner(
                self._parts.table, configuration, slot
            )
        return self._owners[slot]

    async def _send_to_owner(
        self, call: OutgoingCall, owner: Member
    ) -> CallResult:
        share = call.account.lend_all()
        remaining_s = call.deadline - self._parts.clock()
        header = CallHeader(
            call.request_id,
            create_id(self._parts.source),
            call.kind,
            call.priority,
            call.is_idempotent,
            remaining_s * _MS_PER_S,
            share,
            call.depth,
            owner.incarnation,
            self._parts.node_id,
            call.service,
            call.key,
        )
        answer = await self._parts.exchange.send(owner, header, call, USUAL_S)
        gate_result = read_peer_answer(header, answer)
        call.account.restore(share, gate_result.report.retries)
        return CallResult(gate_result.answer, gate_result.report.path_levels)

    def _may_try_next(
        self, call: OutgoingCall, call_result: CallResult, attempt: int
    ) -> bool:
        answer = call_result.answer
        if isinstance(answer, HttpResponse) or attempt + 1 >= MAX_OWNERS:
            return False
        is_moved = answer.reason in _MOVED
        if not is_moved or answer.outcome != Outcome.NOT_RUN:
            return False
        return call.account.spend()

    def _check_key(
        self, call: OutgoingCall, configuration: Configuration
    ) -> Refusal | None:
        assert call.key is not None
        return check_key_age(
            call.key, configuration.ledger, self._parts.wall_clock()
        )

    def _extend_deadline(self, call: OutgoingCall) -> OutgoingCall:
        configuration = self._parts.holder.current
        service = configuration and configuration.services.get(call.service)
        if not service:
            return call
        kind = service.find_kind(call.method, call.target.partition('?')[0])
        latest = self._parts.clock() + kind.deadline_ms / _MS_PER_S
        account = RetryAccount(call.account.lend_all())
        return call._replace(
            deadline=max(call.deadline, latest), account=account
        )


def _scope_key(call: OutgoingCall) -> str:
    """Return the key as the ledger records it."""
    scoped = f'{call.service}\n{call.key}'
    digest: str = xxhash.xxh3_128_hexdigest(scoped.encode())
    return digest


def _read_recalled(answer: dict[str, Any]) -> HttpResponse | Refusal:
    if 'outcome' in answer:
        return Refusal(Outcome(answer['outcome']), Reason(answer['reason']))
    return HttpResponse(
        answer['status'],
        [(name, text) for name, text in answer['headers']],
        base64.b64decode(answer['body']),
    )
