"""Gateway to the backend servers beside a node."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from merlintrail.node._calls import (
    GatewayResult,
    OutgoingCall,
    build_peer_answer,
)
from merlintrail.node._contexts import ContextTable, ParentCall, get_call_class
from merlintrail.node._suspect_quarantine import SuspectQuarantine
from merlintrail.node.backend._backend_exchange import BackendExchange
from merlintrail.node.backend._backend_registry import BackendRegistry
from merlintrail.node.backend._gate import AdmissionGate
from merlintrail.observability import NodeMetrics, log_decision
from merlintrail.protocol import (
    SUBLEVELS,
    CallHeader,
    CallReport,
    Importance,
    InquiryState,
    Outcome,
    Reason,
    Refusal,
    Repeat,
    read_run_notice,
)
from merlintrail.state import (
    AdmissionRequest,
    CallTable,
    Configuration,
    PlannedStop,
    overlaps_planned_stop,
)
from merlintrail.state.repeats import (
    BASE_VALIDITY_S,
    RepeatAllowance,
    RepeatAllowances,
)
from merlintrail.transport import HttpResponse

#: Share of its remaining time for which a suspected call waits for others.
MAX_SUSPECT_WAIT_SHARE: Final = 0.5
_MS_PER_S: Final = 1000
_FIRST_SERVER_ERROR_STATUS: Final = 500
#: Statuses of requests that a backend server did not take: 408 timeout, 413
#: body too large, 421 misdirected, 425 too early, 429 too many, 431 headers
#: too large.
_NOT_TAKEN_STATUSES: Final = frozenset((408, 413, 421, 425, 429, 431))
#: States of a call that was received before and may have run.
_STARTED_STATES: Final = frozenset(
    (InquiryState.RUNNING, InquiryState.FINISHED)
)


class GatewayDependencies(NamedTuple):
    """Dependencies of :class:`BackendGateway`."""

    node_id: str
    incarnation: int
    exchange: BackendExchange
    calls: CallTable
    contexts: ContextTable
    suspect_quarantine: SuspectQuarantine
    metrics: NodeMetrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    #: Backend servers that announced themselves to this node.
    registry: BackendRegistry
    #: Bounds the repeats that this node hands over.
    repeat_allowances: RepeatAllowances


class BackendGateway:
    """Admits calls to the backend servers beside this node and runs them.

    Each call runs at most once; its answer is kept for inquiries.
    """

    def __init__(self, deps: GatewayDependencies) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._tasks: set[asyncio.Task[Any]] = set()
        self.registry = deps.registry
        #: Backend servers with their admission, by service.
        self.gates = deps.registry.gates
        #: Next planned stop of this instance, if any.
        self.planned_stop: PlannedStop | None = None
        #: Whether this node is draining and refuses new calls.
        self.is_draining = False
        #: Clock time at which this process ends, ``None`` if it goes on.
        self.ends_at: float | None = None

    @property
    def running(self) -> int:
        """Number of calls in the backend servers or queued for them."""
        return sum(
            gate.admission.running + gate.admission.queued
            for gate in self.gates.values()
        )

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._deps.suspect_quarantine.expiry_s = (
            configuration.quarantine_expiry_s
        )
        self.registry.update_configuration(configuration)

    async def refresh_hints(self) -> None:
        """Poll the health and load endpoints of every backend server."""
        for gate in tuple(self.gates.values()):
            await self._deps.exchange.refresh_hints(gate)

    async def handle_call(
        self, header: CallHeader, call: OutgoingCall
    ) -> GatewayResult:
        """Run a call at most once and keep its answer for inquiries."""
        state = self._deps.calls.begin(
            header.call_id, header.deadline_ms / _MS_PER_S
        )
        if state is not None:
            return self._refuse_seen_call(header, state)
        notice = read_run_notice(header.notice)
        if notice is not None:
            self.registry.adopt_notice(header.service, notice)
        deadline = self._clock() + header.deadline_ms / _MS_PER_S
        parent = self._deps.contexts.open(header, deadline, call.headers)
        answer: HttpResponse | Refusal | None = None
        try:
            answer = await self._run(header, call, parent)
        except asyncio.CancelledError:
            self._log_cancellation(header, deadline)
            raise
        finally:
            if answer is None:
                self._deps.calls.abandon(header.call_id)
            self._deps.contexts.close(parent)
        report = self._build_report(header, parent, answer)
        if report.reason == Reason.BACKEND_LOST:
            report = report._replace(
                suspicion=self._deps.suspect_quarantine.find(call)
            )
        gateway_result = GatewayResult(answer, report)
        encoded = build_peer_answer(gateway_result, header.request_id)
        self._deps.calls.finish(header.call_id, encoded)
        gateway_result = gateway_result._replace(encoded=encoded)
        self._record(header, gateway_result)
        return gateway_result

    async def _run(
        self, header: CallHeader, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        gate = self.gates.get(header.service)
        refusal = self._check(header, gate)
        if refusal is not None or gate is None:
            return refusal or Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        self._deps.suspect_quarantine.merge_record(header.suspicion)
        refusal = self._deps.suspect_quarantine.check(call)
        if refusal is not None:
            return refusal
        if self._deps.suspect_quarantine.find(call) is None:
            answer = await self._admit(gate, call, parent)
        else:
            answer = await self._run_suspect(gate, call, parent)
        if _has_completed(answer):
            self._deps.suspect_quarantine.clear_suspect(call)
        return answer

    async def _run_suspect(
        self, gate: AdmissionGate, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        """Run a suspected call when no other one runs in the backend server.

        What was checked before it waited is checked again behind the wait.
        """
        remaining_s = parent.deadline - self._clock()
        try:
            async with asyncio.timeout(remaining_s * MAX_SUSPECT_WAIT_SHARE):
                await gate.suspect_lock.acquire()
        except TimeoutError:
            return Refusal(Outcome.NOT_RUN, Reason.SUSPECT_ALREADY_RUNNING)
        try:
            refusal = self._check_again(gate, parent)
            return refusal or await self._admit(gate, call, parent)
        finally:
            gate.suspect_lock.release()

    def _check_again(
        self, gate: AdmissionGate, parent: ParentCall
    ) -> Refusal | None:
        header = parent.header
        if self.gates.get(header.service) is not gate:
            return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        remaining_ms = (parent.deadline - self._clock()) * _MS_PER_S
        return self._check(
            header._replace(deadline_ms=max(0.0, remaining_ms)), gate
        )

    async def _admit(
        self, gate: AdmissionGate, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        header = parent.header
        if not self._has_room_for(header):
            return Refusal(Outcome.NOT_RUN, Reason.REPEAT_SHARE_SPENT)
        queued_at = self._clock()
        refusal = await gate.admission.admit(_build_admission_request(parent))
        if refusal is not None:
            return refusal
        try:
            refusal = self._deps.suspect_quarantine.check(call)
            refusal = refusal or self._count_attempt(
                header, self._clock() - queued_at
            )
            if refusal is not None:
                return refusal
            answer = await self._hand_over(gate, call, parent)
            if _is_unreached(answer) and header.repeat == Repeat.FIRST:
                self._find_allowance(header).cancel_first()
            return answer
        finally:
            gate.admission.release()

    async def _hand_over(
        self, gate: AdmissionGate, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        exchange = self._deps.exchange
        if parent.header.is_idempotent:
            return await exchange.run(gate, call, parent)
        running = asyncio.create_task(exchange.run(gate, call, parent))
        self._track_task(running)
        return await self._wait_for_completion(running)

    def _find_allowance(self, header: CallHeader) -> RepeatAllowance:
        return self._deps.repeat_allowances.find(header.service)

    def _has_room_for(self, header: CallHeader) -> bool:
        """Return whether an attempt may be queued."""
        if header.repeat != Repeat.SHARE:
            return True
        return self._find_allowance(header).has_room(
            is_urgent=_is_urgent(header)
        )

    def _count_attempt(
        self, header: CallHeader, waited_s: float
    ) -> Refusal | None:
        """Count an attempt that is about to be handed over.

        :param waited_s: seconds for which it has waited for a slot.
        :returns: the refusal of a repeat beyond the share.
        """
        allowance = self._find_allowance(header)
        if header.repeat == Repeat.FIRST:
            allowance.record_first()
            return None
        if header.repeat == Repeat.BASE and waited_s <= BASE_VALIDITY_S:
            return None
        if allowance.try_repeat(is_urgent=_is_urgent(header)):
            return None
        return Refusal(Outcome.NOT_RUN, Reason.REPEAT_SHARE_SPENT)

    async def _wait_for_completion(
        self, running: 'asyncio.Task[HttpResponse | Refusal]'
    ) -> HttpResponse | Refusal:
        """Wait until a non-idempotent call ends, even when cancelled.

        It is not interrupted when its sender disconnects.
        """
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            await running
            raise

    def _check(
        self, header: CallHeader, gate: AdmissionGate | None
    ) -> Refusal | None:
        remaining_s = header.deadline_ms / _MS_PER_S
        if header.incarnation != self._deps.incarnation:
            return Refusal(Outcome.NOT_RUN, Reason.STALE_INCARNATION)
        if self.is_draining:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        if not header.is_idempotent and self._outlasts_process(remaining_s):
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        if gate is None:
            return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        refusal = gate.check_ready(self._clock())
        if refusal is not None:
            return refusal
        if overlaps_planned_stop(
            self.planned_stop, self._deps.wall_clock(), remaining_s
        ):
            return Refusal(Outcome.NOT_RUN, Reason.PLANNED_STOP)
        return None

    def _outlasts_process(self, remaining_s: float) -> bool:
        """Return whether a deadline is later than the end of this process."""
        if self.ends_at is None:
            return False
        return self._clock() + remaining_s > self.ends_at

    def _refuse_seen_call(
        self, header: CallHeader, state: InquiryState
    ) -> GatewayResult:
        """Refuse a duplicate, or a call that an inquiry has tombstoned."""
        if state in _STARTED_STATES:
            refusal = Refusal(Outcome.MAY_HAVE_RUN, Reason.DUPLICATE_CALL)
        else:
            refusal = Refusal(Outcome.NOT_RUN, Reason.TOMBSTONE)
        parent = ParentCall('', header, 0.0)
        report = self._build_report(header, parent, refusal)
        gateway_result = GatewayResult(refusal, report)
        self._record(header, gateway_result)
        return gateway_result

    def _build_report(
        self,
        header: CallHeader,
        parent: ParentCall,
        answer: HttpResponse | Refusal,
    ) -> CallReport:
        gate = self.gates.get(header.service)
        outcome = Outcome.COMPLETED
        reason = ''
        is_refused = isinstance(answer, Refusal)
        if isinstance(answer, Refusal):
            outcome = answer.outcome
            reason = answer.reason.value
        report = CallReport(
            header.call_id,
            outcome.value,
            reason,
            parent.account.balance,
            level=0,
            downstream_levels=parent.downstream_levels,
            in_flight=0,
            service_ms=0,
            is_draining=self.is_draining,
            may_retry=not (
                parent.has_failed_nested_call
                and (is_refused or parent.has_failed)
            ),
            is_failure=parent.has_failed,
            nested_calls=parent.nested_calls,
            is_share_spent=not self._has_room_for(header),
        )
        return report if gate is None else self._add_gate_state(report, gate)

    def _add_gate_state(
        self, report: CallReport, gate: AdmissionGate
    ) -> CallReport:
        """Add load and statements of the backend server to a report."""
        now = self._clock()
        admission = gate.admission
        return report._replace(
            level=gate.shedder.read_level(now),
            in_flight=self.running,
            service_ms=round(admission.service_s * _MS_PER_S, 1),
            is_draining=self.is_draining or gate.backend.is_draining,
            notice=gate.describe_notice(),
            rate_load=round(admission.rate_limit.compute_load(now), 2),
        )

    def _record(
        self, header: CallHeader, gateway_result: GatewayResult
    ) -> None:
        report = gateway_result.report
        answer = gateway_result.answer
        detail = answer.detail if isinstance(answer, Refusal) else ''
        self._deps.metrics.record_call(
            header.service, report.outcome, report.reason
        )
        log_decision(
            'admit' if report.outcome == Outcome.COMPLETED else 'refuse',
            request_id=header.request_id,
            call_id=header.call_id,
            service=header.service,
            instance=self._deps.node_id,
            outcome=report.outcome,
            reason=report.reason,
            detail=detail or None,
            priority=header.priority,
            shed_level=report.level,
            in_flight=report.in_flight,
        )

    def _log_cancellation(self, header: CallHeader, deadline: float) -> None:
        """Log that the sender of a call no longer waits for it."""
        remaining_s = deadline - self._clock()
        log_decision(
            'cancel',
            request_id=header.request_id,
            call_id=header.call_id,
            service=header.service,
            instance=self._deps.node_id,
            remaining_ms=round(remaining_s * _MS_PER_S, 1),
        )

    def _track_task(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _has_completed(answer: HttpResponse | Refusal) -> bool:
    """Return whether an answer proves that its request ran without a crash.

    A failure of the backend server, or its refusal to take the request, may
    be answered without running it.
    """
    return (
        isinstance(answer, HttpResponse)
        and answer.status < _FIRST_SERVER_ERROR_STATUS
        and answer.status not in _NOT_TAKEN_STATUSES
    )


def _is_unreached(answer: HttpResponse | Refusal) -> bool:
    """Return whether a call that was handed over reached no backend server."""
    return (
        isinstance(answer, Refusal)
        and answer.outcome == Outcome.NOT_RUN
        and answer.reason in {Reason.BACKEND_LOST, Reason.NO_ROOM}
    )


def _is_urgent(header: CallHeader) -> bool:
    """Return whether the reserved part of the share is open to a repeat."""
    is_important = header.priority >= Importance.HIGH * SUBLEVELS
    return is_important or header.depth == 1


def _build_admission_request(parent: ParentCall) -> AdmissionRequest:
    header = parent.header
    objective_s: float | None = None
    if header.objective_ms is not None:
        objective_s = header.objective_ms / _MS_PER_S
    return AdmissionRequest(
        header.priority,
        parent.deadline,
        header.depth > 1,
        objective_s,
        get_call_class(header),
    )
