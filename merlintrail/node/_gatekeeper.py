"""Admission to the backend servers beside this node, and running calls."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from merlintrail.node._backend import (
    Announcement,
    BackendProber,
)
from merlintrail.node._calls import (
    GateResult,
    OutgoingCall,
    build_peer_answer,
)
from merlintrail.node._contexts import ContextTable, ParentCall
from merlintrail.node._gate import Gate
from merlintrail.node._suspicions import Suspicions
from merlintrail.observability import NodeMetrics, log_decision
from merlintrail.protocol import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    CallHeader,
    CallReport,
    InquiryState,
    Outcome,
    Reason,
    Refusal,
)
from merlintrail.state import (
    CallTable,
    Configuration,
    PlannedStop,
    outlasts_start,
)
from merlintrail.transport import (
    TIMEOUT,
    ConnectionPool,
    FailureStage,
    HttpResponse,
    TransportFailure,
)

_SHED_STATUS: Final = 503
_MS_PER_S: Final = 1000
_STARTED_STATES: Final = frozenset(
    (InquiryState.RUNNING, InquiryState.FINISHED)
)


class GateParts(NamedTuple):
    """What a gatekeeper is made with."""

    node_id: str
    incarnation: int
    pool: ConnectionPool
    calls: CallTable
    contexts: ContextTable
    suspicions: Suspicions
    metrics: NodeMetrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    #: Told when a backend server's readiness changes.
    on_change: Callable[[], None]


class Gatekeeper:
    """Runs calls in the backend servers beside this node."""

    def __init__(self, parts: GateParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._prober = BackendProber(parts.pool, parts.on_change)
        self._tasks: set[asyncio.Task[Any]] = set()
        #: Gates by service.
        self.gates: dict[str, Gate] = {}
        #: The next planned stop of this instance.
        self.planned_stop: PlannedStop | None = None
        #: Whether this node no longer takes calls.
        self.is_draining = False
        self._configuration: Configuration | None = None

    @property
    def running(self) -> int:
        """Calls in the backend servers or queued for them."""
        return sum(
            gate.admission.running + gate.admission.queued
            for gate in self.gates.values()
        )

    def update_configuration(self, configuration: Configuration) -> None:
        """Take a new configuration."""
        self._configuration = configuration
        self._parts.suspicions.expiry_s = configuration.quarantine_expiry_s
        for name, gate in self.gates.items():
            self._configure_gate(name, gate)

    def announce(self, announcement: Announcement) -> None:
        """Take a backend server's announcement or its renewal."""
        now = self._clock()
        gate = self.gates.get(announcement.service)
        is_moved = (
            gate is not None
            and gate.backend.announcement.address != announcement.address
        )
        if gate is None or is_moved:
            gate = Gate(announcement, self._clock)
            self._configure_gate(announcement.service, gate)
            self.gates[announcement.service] = gate
        else:
            gate.backend.renew(announcement, now)
            gate.limit.resize(announcement.slots)
        self._parts.on_change()

    async def refresh_hints(self) -> None:
        """Look at the endpoints of every backend server."""
        for gate in tuple(self.gates.values()):
            await self._prober.read_hints(gate.backend)

    async def handle_call(
        self, header: CallHeader, call: OutgoingCall
    ) -> GateResult:
        """Run a call, once, and keep its answer for inquiries."""
        state = self._parts.calls.begin(header.call_id)
        if state is not None:
            return self._refuse_repeated(header, state)
        deadline = self._clock() + header.deadline_ms / _MS_PER_S
        parent = self._parts.contexts.open(header, deadline)
        try:
            answer = await self._run(header, call, parent)
        except asyncio.CancelledError:
            self._parts.calls.abandon(header.call_id)
            raise
        finally:
            self._parts.contexts.close(parent)
        report = self._build_report(header, parent, answer)
        if report.reason == Reason.BACKEND_LOST:
            report = report._replace(
                suspicion=self._parts.suspicions.find(call)
            )
        gate_result = GateResult(answer, report)
        encoded = build_peer_answer(gate_result, header.request_id)
        self._parts.calls.finish(header.call_id, encoded)
        gate_result = gate_result._replace(encoded=encoded)
        self._record(header, gate_result.report)
        return gate_result

    async def _run(
        self, header: CallHeader, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        gate = self.gates.get(header.service)
        refusal = self._check(header, gate)
        if refusal is not None or gate is None:
            return refusal or Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        self._parts.suspicions.take(header.suspicion)
        suspicion = self._parts.suspicions.find(call)
        if suspicion is None:
            return await self._admit(gate, call, parent)
        if suspicion.is_convicted:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.QUARANTINED,
                'the request crashed backend servers',
            )
        async with gate.suspect_lock:
            answer = await self._admit(gate, call, parent)
        if isinstance(answer, HttpResponse):
            self._parts.suspicions.acquit(suspicion)
        return answer

    async def _admit(
        self, gate: Gate, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        header = parent.header
        refusal = await gate.admission.admit(header.priority, parent.deadline)
        if refusal is not None:
            return refusal
        started_at = self._clock()
        try:
            if header.is_idempotent:
                return await self._exchange(gate, call, parent, started_at)
            running = asyncio.create_task(
                self._exchange(gate, call, parent, started_at)
            )
            self._keep_task(running)
            return await self._wait_to_end(running)
        finally:
            gate.admission.release()

    async def _wait_to_end(
        self, running: 'asyncio.Task[HttpResponse | Refusal]'
    ) -> HttpResponse | Refusal:
        """Let a non-idempotent call end even when its caller has gone."""
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            await running
            raise

    async def _exchange(
        self,
        gate: Gate,
        call: OutgoingCall,
        parent: ParentCall,
        started_at: float,
    ) -> HttpResponse | Refusal:
        backend = gate.backend
        header = parent.header
        remaining_s = parent.deadline - started_at
        backend.running[header.call_id] = call
        try:
            answer = await self._parts.pool.exchange(
                backend.announcement.address,
                call.method,
                call.target,
                self._build_headers(call, parent, remaining_s),
                call.body,
                timeout_s=remaining_s,
            )
            if isinstance(answer, TransportFailure):
                return await self._explain_failure(gate, header, answer)
        finally:
            backend.running.pop(header.call_id, None)
        return self._judge_answer(gate, parent, answer, started_at)

    def _build_headers(
        self, call: OutgoingCall, parent: ParentCall, remaining_s: float
    ) -> list[tuple[str, str]]:
        return [
            *call.headers,
            (CONTEXT_HEADER, parent.token),
            (DEADLINE_HEADER, str(max(1, int(remaining_s * _MS_PER_S)))),
        ]

    def _judge_answer(
        self,
        gate: Gate,
        parent: ParentCall,
        answer: HttpResponse,
        started_at: float,
    ) -> HttpResponse | Refusal:
        now = self._clock()
        held_s = now - started_at
        if answer.status != _SHED_STATUS or parent.has_failed_below:
            gate.admission.record_service(held_s)
            gate.limit.record_success(
                now,
                parent.compute_own_time(held_s),
                gate.admission.running,
            )
            return answer
        gate.limit.record_refusal(now)
        gate.shedder.record_overflow()
        is_proved = (
            answer.find_header(OUTCOME_HEADER) == Outcome.NOT_RUN
            and not parent.digests
        )
        outcome = Outcome.NOT_RUN if is_proved else Outcome.MAY_HAVE_RUN
        return Refusal(outcome, Reason.BACKEND_REFUSED)

    async def _explain_failure(
        self, gate: Gate, header: CallHeader, failure: TransportFailure
    ) -> Refusal:
        if failure.stage == FailureStage.CONNECT:
            self._mark_unreachable(gate)
            return Refusal(Outcome.NOT_RUN, Reason.BACKEND_LOST, failure.reason)
        if failure.reason == TIMEOUT:
            return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        running = gate.backend.list_running()
        digests = gate.backend.record_loss(header.call_id, self._clock())
        if not digests and not await self._prober.is_listening(gate.backend):
            digests = running
        if digests:
            self._record_death(gate, digests)
        return Refusal(
            Outcome.MAY_HAVE_RUN, Reason.BACKEND_LOST, failure.reason
        )

    def _record_death(self, gate: Gate, digests: list[str]) -> None:
        suspicions = self._parts.suspicions.record_death(digests)
        log_decision(
            'backend-server-death',
            instance=self._parts.node_id,
            service=gate.backend.announcement.service,
            suspects=len(suspicions),
            convicted=[
                suspicion.digest
                for suspicion in suspicions
                if suspicion.is_convicted
            ],
        )
        self._parts.pool.drop_idle(gate.backend.announcement.address)
        self._mark_unreachable(gate)

    def _mark_unreachable(self, gate: Gate) -> None:
        if gate.backend.is_reachable:
            gate.backend.is_reachable = False
            self._parts.on_change()
            self._keep_task(
                asyncio.create_task(self._prober.wait_until_back(gate.backend))
            )

    def _check(self, header: CallHeader, gate: Gate | None) -> Refusal | None:
        remaining_s = header.deadline_ms / _MS_PER_S
        if header.incarnation != self._parts.incarnation:
            return Refusal(Outcome.NOT_RUN, Reason.STALE_INCARNATION)
        if self.is_draining:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        if gate is None:
            return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        refusal = gate.check_ready(self._clock())
        if refusal is not None:
            return refusal
        if outlasts_start(
            self.planned_stop, self._parts.wall_clock(), remaining_s
        ):
            return Refusal(Outcome.NOT_RUN, Reason.PLANNED_STOP)
        return None

    def _refuse_repeated(
        self, header: CallHeader, state: InquiryState
    ) -> GateResult:
        """Refuse a call that was seen already, or that came too late."""
        if state in _STARTED_STATES:
            refusal = Refusal(Outcome.MAY_HAVE_RUN, Reason.DUPLICATE_CALL)
        else:
            refusal = Refusal(Outcome.NOT_RUN, Reason.TOMBSTONE)
        parent = ParentCall('', header, 0.0)
        report = self._build_report(header, parent, refusal)
        self._record(header, report)
        return GateResult(refusal, report)

    def _build_report(
        self,
        header: CallHeader,
        parent: ParentCall,
        answer: HttpResponse | Refusal,
    ) -> CallReport:
        gate = self.gates.get(header.service)
        outcome = Outcome.COMPLETED
        reason = ''
        may_retry = True
        if isinstance(answer, Refusal):
            outcome = answer.outcome
            reason = answer.reason.value
            may_retry = not parent.has_failed_below
        return CallReport(
            header.call_id,
            outcome.value,
            reason,
            parent.account.balance,
            0 if gate is None else gate.shedder.read_level(self._clock()),
            parent.path_levels,
            0 if gate is None else self.running,
            0 if gate is None else gate.admission.service_s * _MS_PER_S,
            self.is_draining or (gate is not None and gate.backend.is_draining),
            may_retry,
        )

    def _record(self, header: CallHeader, report: CallReport) -> None:
        self._parts.metrics.record_call(
            header.service, report.outcome, report.reason
        )
        log_decision(
            'admit' if report.outcome == Outcome.COMPLETED else 'refuse',
            request_id=header.request_id,
            call_id=header.call_id,
            service=header.service,
            instance=self._parts.node_id,
            outcome=report.outcome,
            reason=report.reason,
            priority=header.priority,
            level=report.level,
            in_flight=report.in_flight,
        )

    def _configure_gate(self, name: str, gate: Gate) -> None:
        if self._configuration is None:
            return
        service = self._configuration.services.get(name)
        if service is not None:
            gate.admission.queue_limit_s = service.queue_limit_ms / _MS_PER_S

    def _keep_task(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
