"""Routing of calls to backend servers, with retries and redirects."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from merlintrail.node._calls import CallResult, GatewayResult, OutgoingCall
from merlintrail.node._suspect_quarantine import SuspectQuarantine
from merlintrail.node.calling._answers import read_peer_answer
from merlintrail.node.calling._exchange import PeerExchange
from merlintrail.node.calling._progress import Progress, has_failed
from merlintrail.node.calling._repeat_grants import RepeatGrants
from merlintrail.node.calling._retry_policy import (
    RetryDecision,
    RetryPolicy,
    has_failed_in_backend,
)
from merlintrail.node.calling._startup import StartupWait
from merlintrail.observability import NodeMetrics, log_decision
from merlintrail.protocol import (
    CallHeader,
    CallReport,
    Outcome,
    Reason,
    Refusal,
    Repeat,
    create_id,
)
from merlintrail.state import (
    BackendNotices,
    Choice,
    ConfigurationHolder,
    LevelReportFilter,
    MessageSizes,
    NoTarget,
    RoutingRequest,
    RoutingTable,
    Target,
    Tier,
    build_level_key,
    merge_levels,
)
from merlintrail.state.repeats import SpentShares
from merlintrail.transport import HttpResponse

#: Refusal reasons that show that a backend server accepts no calls now.
_UNAVAILABLE_REASONS: Final = frozenset(
    (
        Reason.DRAINING,
        Reason.PLANNED_STOP,
        Reason.NO_BACKEND_SERVER,
        Reason.BACKEND_LOST,
        Reason.STALE_INCARNATION,
    )
)
#: Refusal reasons that count as failures towards an ejection.
_EJECTION_REASONS: Final = frozenset((Reason.PEER_LOST, Reason.BACKEND_LOST))
#: Estimated bytes of the headers of a call and its answer between nodes.
ESTIMATED_HEADER_BYTES: Final = 900
_MS_PER_S: Final = 1000


def _get_size_class(call: OutgoingCall) -> str:
    """Return the class by which message sizes are averaged."""
    return call.kind if call.depth == 1 else call.service


def _log_retry(
    call: OutgoingCall, decision: RetryDecision, progress: Progress
) -> None:
    log_decision(
        'retry',
        request_id=call.request_id,
        service=call.service,
        outcome='sent again' if decision.is_allowed else 'given up',
        decision=decision.value,
        permit=progress.repeat.name.lower(),
        handed=progress.attempts.delivered,
        redirects=progress.attempts.redirects,
        retries_left=call.account.balance,
    )


class LocalGateway(Protocol):
    """Gateway to the backend servers beside this node."""

    async def handle_call(
        self, header: CallHeader, call: OutgoingCall
    ) -> GatewayResult:
        """Run a call in a backend server beside this node."""


class DispatcherDependencies(NamedTuple):
    """Dependencies of :class:`Dispatcher`."""

    #: Identifier of this node.
    node_id: str
    holder: ConfigurationHolder
    routing: RoutingTable
    exchange: PeerExchange
    gateway: LocalGateway
    metrics: NodeMetrics
    suspect_quarantine: SuspectQuarantine
    startup: StartupWait
    #: Obtains repeats that are permitted regardless of the traffic.
    repeat_grants: RepeatGrants
    clock: Callable[[], float]
    rng: random.Random


class Dispatcher:
    """Sends calls to backend servers of their service and retries them."""

    def __init__(self, deps: DispatcherDependencies) -> None:
        self._deps = deps
        self._routing = deps.routing
        self._clock = deps.clock
        self._retries = RetryPolicy(deps.suspect_quarantine, deps.clock)
        self._spent_shares = SpentShares()
        self._level_filter = LevelReportFilter()
        self._sizes = MessageSizes()
        self.notices = BackendNotices()
        self.startup = deps.startup

    async def dispatch(self, call: OutgoingCall) -> CallResult:
        """Send a call until it is answered or may not be sent again."""
        await self.startup.wait_for_service(call)
        progress = Progress(Repeat.SHARE if call.is_repeat else Repeat.FIRST)
        while True:
            choice = await self._find_permitted_target(call, progress)
            if isinstance(choice, Refusal):
                progress.record_refusal(choice, is_sent=False)
                break
            progress.tried.append(choice.target.member.node_id)
            gateway_result = await self._attempt(call, choice, progress.repeat)
            downstream_levels = self._list_downstream_levels(
                choice.target, gateway_result.report
            )
            progress.downstream_levels = merge_levels(
                progress.downstream_levels, downstream_levels
            )
            if call.depth == 1:
                self._record_outcome(call, choice.target, gateway_result)
            progress.record_attempt(
                gateway_result, choice.target.member.data_centre
            )
            if progress.answer is not None:
                break
            if not await self._prepare_retry(call, gateway_result, progress):
                break
        return CallResult(
            progress.choose_answer(),
            progress.downstream_levels,
            progress.calls,
            progress.failed_data_centre,
        )

    async def _prepare_retry(
        self,
        call: OutgoingCall,
        gateway_result: GatewayResult,
        progress: Progress,
    ) -> bool:
        """Decide whether a call is sent again, and what permits that.

        A repeat goes against the share first, and against the base when the
        share is used up where it was sent.
        """
        decision = self._retries.decide(call, gateway_result, progress.attempts)
        if decision == RetryDecision.RETRY or progress.repeat == Repeat.BASE:
            progress.repeat = Repeat.SHARE
        answer = gateway_result.answer
        is_share_spent = (
            isinstance(answer, Refusal)
            and answer.reason == Reason.REPEAT_SHARE_SPENT
        )
        if decision.is_allowed and is_share_spent:
            progress.tried.pop()
            if await self._deps.repeat_grants.obtain(call.service):
                progress.repeat = Repeat.BASE
        _log_retry(call, decision, progress)
        if decision.is_allowed:
            self._deps.metrics.record_retry(call.service)
        return decision.is_allowed

    def _record_outcome(
        self,
        call: OutgoingCall,
        target: Target,
        gateway_result: GatewayResult,
    ) -> None:
        """Record levels and outcome of a request by target data centre.

        The level of the target itself is not among them: other backend servers
        of its data centre may have room.
        """
        now = self._clock()
        data_centre = target.member.data_centre
        self._routing.downstream_levels.record(
            call.kind,
            data_centre,
            gateway_result.report.downstream_levels,
            now,
        )
        answer = gateway_result.answer
        if isinstance(answer, Refusal) and answer.outcome == Outcome.NOT_RUN:
            return
        self._routing.outcomes.record(
            call.kind,
            data_centre,
            has_failed=has_failed(gateway_result),
            now=now,
        )

    def _list_downstream_levels(
        self, target: Target, report: CallReport
    ) -> dict[str, int]:
        """Return the shedding levels that an attempt reported.

        The level of the target itself is included while it sheds and for a
        short time after.
        """
        data_centre = target.member.data_centre
        level_key = build_level_key(target.offer.service, data_centre)
        downstream_levels = dict(report.downstream_levels)
        if self._level_filter.should_report(
            level_key, report.level, self._clock()
        ):
            downstream_levels[level_key] = report.level
        return downstream_levels

    async def _find_permitted_target(
        self, call: OutgoingCall, progress: Progress
    ) -> Choice | Refusal:
        """Choose a target, for a repeat one whose share is not used up.

        If there is none, the repeat goes against the base.
        """
        choice = self._find_target(call, progress)
        if isinstance(choice, Choice) or progress.repeat != Repeat.SHARE:
            return choice
        spent = self._spent_shares.list_nodes(call.service, self._clock())
        if not spent or not await self._deps.repeat_grants.obtain(call.service):
            return choice
        progress.repeat = Repeat.BASE
        return self._find_target(call, progress)

    def _find_target(
        self, call: OutgoingCall, progress: Progress
    ) -> Choice | Refusal:
        now = self._clock()
        if call.deadline <= now:
            return Refusal(Outcome.NOT_RUN, Reason.DEADLINE_UNREACHABLE)
        excluded = progress.tried
        if progress.repeat == Repeat.SHARE:
            spent = self._spent_shares.list_nodes(call.service, now)
            excluded = [*excluded, *spent]
        choice = self._choose(call, excluded, len(progress.tried) + 1)
        if isinstance(choice, NoTarget):
            return self._refuse(call, choice)
        return choice

    def _choose(
        self, call: OutgoingCall, excluded: list[str], attempt: int
    ) -> Choice | NoTarget:
        configuration = self._deps.holder.current
        service = configuration and configuration.services.get(call.service)
        warmup_s = service.warmup_s if service else 0.0
        routing_request = RoutingRequest(
            call.service,
            call.priority,
            warmup_s,
            is_nested=call.depth > 1,
            kind=call.kind,
            size=self._sizes.read(_get_size_class(call)),
            failed_data_centre=call.failed_data_centre,
        )
        choice = self._routing.choose(routing_request, excluded)
        if isinstance(choice, Choice):
            log_decision(
                'route',
                request_id=call.request_id,
                parent_id=call.parent_id,
                service=call.service,
                instance=choice.target.member.node_id,
                tier=choice.tier.name.lower(),
                load=round(choice.load, 3),
                attempt=attempt,
                priority=call.priority,
            )
        return choice

    def _refuse(self, call: OutgoingCall, no_target: NoTarget) -> Refusal:
        reason = Reason.NO_BACKEND_SERVER
        if no_target.is_shedding:
            reason = Reason.SHED_EARLY
        self._deps.metrics.record_refusal(call.service, reason.value)
        log_decision(
            'refuse',
            request_id=call.request_id,
            parent_id=call.parent_id,
            service=call.service,
            reason=reason.value,
            detail=no_target.reason,
            shed_level=no_target.level,
            priority=call.priority,
        )
        return Refusal(Outcome.NOT_RUN, reason, no_target.reason)

    async def _attempt(
        self, call: OutgoingCall, choice: Choice, repeat: Repeat
    ) -> GatewayResult:
        target = choice.target
        reserved_retries = call.account.reserve_share()
        header = self._build_header(call, target, reserved_retries)
        header = header._replace(repeat=int(repeat))
        started_at = self._clock()
        target.in_flight += 1
        try:
            gateway_result = await self._send(call, header, choice)
        finally:
            target.in_flight -= 1
        now = self._clock()
        report = gateway_result.report
        if isinstance(gateway_result.answer, HttpResponse):
            size = len(call.body) + len(gateway_result.answer.body)
            self._sizes.record(
                _get_size_class(call), size + ESTIMATED_HEADER_BYTES
            )
        call.account.refund(reserved_retries, report.retries)
        if report.call_id:
            target.record_report(report, now - started_at, now)
            if repeat == Repeat.SHARE:
                self._spent_shares.record(
                    call.service,
                    target.member.node_id,
                    now,
                    is_spent=report.is_share_spent,
                )
            self.notices.record(target.member, call.service, report)
        self._deps.suspect_quarantine.merge_record(report.suspicion)
        self._record_failure(target, gateway_result.answer)
        has_failed = has_failed_in_backend(gateway_result)
        if has_failed is not None:
            target.record_health(has_failed=has_failed, now=now)
        return gateway_result

    async def _send(
        self, call: OutgoingCall, header: CallHeader, choice: Choice
    ) -> GatewayResult:
        if choice.target.member.node_id == self._deps.node_id:
            return await self._deps.gateway.handle_call(header, call)
        target = choice.target
        answer = await self._deps.exchange.send(
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
        """Charge the bodies of a call to the link between the regions."""
        sent = len(call.body)
        if isinstance(answer, HttpResponse):
            sent += len(answer.body)
        pair = self._routing.find_region_pair(target.member)
        self._routing.links.spend(pair, self._clock(), sent)

    def _record_failure(
        self, target: Target, answer: HttpResponse | Refusal
    ) -> None:
        """Suspend a target that accepts no calls; eject a failing one.

        A single lost answer causes neither, because the backend server may
        still work. It only counts towards the target's share of failed calls.
        """
        if isinstance(answer, HttpResponse):
            return
        is_lost_answer = (
            answer.reason == Reason.BACKEND_LOST
            and answer.outcome != Outcome.NOT_RUN
        )
        if is_lost_answer:
            return
        if answer.reason in _UNAVAILABLE_REASONS:
            target.suspend(self._clock())
        if answer.reason not in _EJECTION_REASONS:
            return
        ejection_s = self._routing.record_failure(target)
        if ejection_s:
            log_decision(
                'eject',
                instance=target.member.node_id,
                service=target.offer.service,
                seconds=ejection_s,
                reason=answer.reason.value,
            )

    def _build_header(
        self, call: OutgoingCall, target: Target, reserved_retries: int
    ) -> CallHeader:
        return CallHeader(
            call.request_id,
            create_id(self._deps.rng),
            call.kind,
            call.priority,
            call.is_idempotent,
            round((call.deadline - self._clock()) * _MS_PER_S, 1),
            reserved_retries,
            call.depth,
            target.member.incarnation,
            self._deps.node_id,
            call.service,
            suspicion=self._deps.suspect_quarantine.find(call),
            caller_service=call.caller_service,
            objective_ms=call.objective_ms,
            is_routed=call.is_routed,
            notice=self.notices.find_lost(target.member, call.service),
            customer=call.customer,
        )
