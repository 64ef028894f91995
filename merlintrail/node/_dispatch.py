"""Routing a call, and trying it again where that is allowed."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from merlintrail.node._answers import combine_refusals, read_peer_answer
from merlintrail.node._calls import (
    CallResult,
    GateResult,
    OutgoingCall,
)
from merlintrail.node._exchange import PeerExchange
from merlintrail.node._suspicions import Suspicions
from merlintrail.observability import NodeMetrics, log_decision
from merlintrail.protocol import (
    SUBLEVELS,
    CallHeader,
    Importance,
    Outcome,
    Reason,
    Refusal,
    create_id,
)
from merlintrail.state import (
    Choice,
    ConfigurationHolder,
    NoTarget,
    RetryBudget,
    RoutingTable,
    SheddingMemory,
    Target,
    Tier,
    merge_levels,
)
from merlintrail.transport import HttpResponse

#: Reasons after which another backend server may do better.
_ELSEWHERE: Final = frozenset(
    (
        Reason.OVERLOAD,
        Reason.DEADLINE,
        Reason.DRAINING,
        Reason.PLANNED_STOP,
        Reason.NO_BACKEND_SERVER,
        Reason.PEER_LOST,
        Reason.BACKEND_LOST,
        Reason.BACKEND_REFUSED,
        Reason.STALE_INCARNATION,
        Reason.TOMBSTONE,
        Reason.NO_CONFIGURATION,
        Reason.SUSPECT_BUSY,
    )
)
#: Reasons that say that a backend server lacks capacity.
_SHEDDING: Final = frozenset(
    (Reason.OVERLOAD, Reason.DEADLINE, Reason.BACKEND_REFUSED)
)
#: Reasons that say that a backend server takes nothing at present.
_CLOSED: Final = frozenset(
    (
        Reason.DRAINING,
        Reason.PLANNED_STOP,
        Reason.NO_BACKEND_SERVER,
        Reason.BACKEND_LOST,
        Reason.STALE_INCARNATION,
    )
)
_FAILURES: Final = frozenset((Reason.PEER_LOST, Reason.BACKEND_LOST))


class LocalGate(Protocol):
    """The way to the backend servers beside this node."""

    async def handle_call(
        self, header: CallHeader, call: OutgoingCall
    ) -> GateResult:
        """Run a call in a backend server of this node."""


class DispatchParts(NamedTuple):
    """What a dispatcher is made with."""

    #: Identifier of this node.
    node_id: str
    holder: ConfigurationHolder
    routing: RoutingTable
    exchange: PeerExchange
    gate: LocalGate
    metrics: NodeMetrics
    suspicions: Suspicions
    clock: Callable[[], float]
    source: random.Random


class Dispatcher:
    """Sends calls to backend servers of their service."""

    def __init__(self, parts: DispatchParts) -> None:
        self._parts = parts
        self._routing = parts.routing
        self._clock = parts.clock
        #: Share of retries that this node may make.
        self.budget = RetryBudget(share=0.1)
        self._shedding = SheddingMemory()

    async def dispatch(self, call: OutgoingCall) -> CallResult:
        """Send a call until it is answered or no try is left."""
        self.budget.record_attempt()
        tried: list[str] = []
        levels: dict[str, int] = {}
        refusal: Refusal | None = None
        while True:
            choice = self._find_target(call, tried)
            if isinstance(choice, Refusal):
                refusal = combine_refusals(refusal, choice, is_sent=False)
                break
            tried.append(choice.target.member.node_id)
            gate_result = await self._attempt(call, choice)
            levels = merge_levels(levels, gate_result.report.path_levels)
            if isinstance(gate_result.answer, HttpResponse):
                return self._build_result(call, gate_result.answer, levels)
            refusal = combine_refusals(refusal, gate_result.answer)
            if not self._may_retry(call, gate_result, refusal):
                break
            if refusal.reason == Reason.TOMBSTONE:
                # The peer is well, only its old connections were not.
                tried.pop()
            self._parts.metrics.record_retry(call.service)
        return self._build_result(call, refusal, levels)

    def _build_result(
        self,
        call: OutgoingCall,
        answer: HttpResponse | Refusal,
        levels: dict[str, int],
    ) -> CallResult:
        now = self._clock()
        level = self._routing.read_service_level(call.service, now)
        if self._shedding.should_tell(call.service, level, now):
            levels = merge_levels(levels, {call.service: level})
        return CallResult(answer, levels)

    def _find_target(
        self, call: OutgoingCall, tried: list[str]
    ) -> Choice | Refusal:
        if call.deadline <= self._clock():
            return Refusal(Outcome.NOT_RUN, Reason.DEADLINE)
        choice = self._choose(call, tried)
        if isinstance(choice, NoTarget):
            return self._refuse(call, choice)
        return choice

    def _choose(
        self, call: OutgoingCall, tried: list[str]
    ) -> Choice | NoTarget:
        configuration = self._parts.holder.current
        service = configuration and configuration.services.get(call.service)
        warmup_s = service.warmup_s if service else 0.0
        choice = self._routing.choose(
            call.service, call.priority, tried, warmup_s
        )
        if isinstance(choice, Choice):
            log_decision(
                'route',
                request_id=call.request_id,
                service=call.service,
                instance=choice.target.member.node_id,
                tier=choice.tier.name.lower(),
                load=round(choice.load, 3),
                attempt=len(tried) + 1,
                priority=call.priority,
            )
        return choice

    def _refuse(self, call: OutgoingCall, absence: NoTarget) -> Refusal:
        reason = Reason.NO_BACKEND_SERVER
        if absence.is_shedding:
            reason = Reason.SHED_EARLY
        log_decision(
            'refuse',
            request_id=call.request_id,
            service=call.service,
            reason=reason.value,
            detail=absence.reason,
            level=absence.level,
            priority=call.priority,
        )
        return Refusal(Outcome.NOT_RUN, reason, absence.reason)

    async def _attempt(self, call: OutgoingCall, choice: Choice) -> GateResult:
        target = choice.target
        share = call.account.lend()
        header = self._build_header(call, target, share)
        started_at = self._clock()
        target.in_flight += 1
        try:
            gate_result = await self._send(call, header, choice)
        finally:
            target.in_flight -= 1
        now = self._clock()
        report = gate_result.report
        call.account.restore(share, report.retries)
        if report.call_id:
            target.record_report(report, now - started_at, now)
        self._parts.suspicions.take(report.suspicion)
        self._count_failure(target, gate_result.answer)
        return gate_result

    async def _send(
        self, call: OutgoingCall, header: CallHeader, choice: Choice
    ) -> GateResult:
        if choice.target.member.node_id == self._parts.node_id:
            return await self._parts.gate.handle_call(header, call)
        target = choice.target
        answer = await self._parts.exchange.send(
            target.member, header, call, target.latency_s
        )
        if choice.tier == Tier.REMOTE:
            self._charge_link(call, target, answer)
        return read_peer_answer(header, answer)

    def _charge_link(
        self,
        call: OutgoingCall,
        target: Target,
        answer: HttpResponse | Refusal,
    ) -> None:
        sent = len(call.body)
        if isinstance(answer, HttpResponse):
            sent += len(answer.body)
        pair = self._routing.find_region_pair(target.member)
        self._routing.links.spend(pair, self._clock(), sent)

    def _count_failure(
        self, target: Target, answer: HttpResponse | Refusal
    ) -> None:
        if isinstance(answer, HttpResponse):
            return
        if answer.reason in _CLOSED:
            target.pass_over(self._clock())
        if answer.reason not in _FAILURES:
            return
        pause_s = self._routing.record_failure(target)
        if pause_s:
            log_decision(
                'eject',
                instance=target.member.node_id,
                service=target.offer.service,
                seconds=pause_s,
                reason=answer.reason.value,
            )

    def _may_retry(
        self, call: OutgoingCall, gate_result: GateResult, refusal: Refusal
    ) -> bool:
        if not gate_result.report.may_retry:
            return False
        if refusal.reason not in _ELSEWHERE:
            return False
        is_unproved = refusal.outcome != Outcome.NOT_RUN
        if is_unproved and not call.is_idempotent:
            return False
        if (
            call.deadline <= self._clock()
            or self._parts.suspicions.is_convicted(call)
        ):
            return False
        return self._has_allowance(call, refusal)

    def _has_allowance(self, call: OutgoingCall, refusal: Refusal) -> bool:
        """Take one retry from the request's account and the node's budget.

        The most important calls are redirected beyond the node's budget, as
        long as the request's own account permits.
        """
        is_critical = call.priority >= Importance.CRITICAL * SUBLEVELS
        is_redirect = is_critical and refusal.outcome == Outcome.NOT_RUN
        if not is_redirect:
            level = self._routing.read_service_level(
                call.service, self._clock()
            )
            if level > 0 and refusal.reason in _SHEDDING:
                return False
            if not self.budget.spend():
                return False
        return call.account.spend()

    def _build_header(
        self, call: OutgoingCall, target: Target, share: int
    ) -> CallHeader:
        return CallHeader(
            call.request_id,
            create_id(self._parts.source),
            call.kind,
            call.priority,
            call.is_idempotent,
            (call.deadline - self._clock()) * 1000,
            share,
            call.depth,
            target.member.incarnation,
            self._parts.node_id,
            call.service,
            suspicion=self._parts.suspicions.find(call),
            caller_service=call.caller_service,
        )
