"""Running a call in a backend server and classifying its answer."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from merlintrail.node._calls import OutgoingCall
from merlintrail.node._contexts import ParentCall, get_call_class
from merlintrail.node._suspect_quarantine import SuspectQuarantine
from merlintrail.node.backend._backend import (
    BackendProber,
    BackendServer,
    describe_hint,
)
from merlintrail.node.backend._gate import AdmissionGate
from merlintrail.observability import log_decision
from merlintrail.protocol import (
    AnswerClass,
    BackendNotice,
    CallHeader,
    CallMetadata,
    Dialect,
    Outcome,
    Reason,
    Refusal,
)
from merlintrail.transport import (
    TIMEOUT,
    ConnectionPool,
    FailureStage,
    HttpResponse,
    TransportFailure,
)

#: Suspects that the line of one crash looks at.
MAX_LOGGED_SUSPECTS: Final = 64


class BackendExchangeDependencies(NamedTuple):
    """Dependencies of :class:`BackendExchange`."""

    node_id: str
    pool: ConnectionPool
    dialect: Dialect
    suspect_quarantine: SuspectQuarantine
    clock: Callable[[], float]
    #: Called when the readiness of a backend server changes.
    on_change: Callable[[], None]


class BackendExchange:
    """Exchanges calls with the backend servers beside this node."""

    def __init__(self, deps: BackendExchangeDependencies) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._tasks: set[asyncio.Task[Any]] = set()
        self.prober = BackendProber(deps.pool, deps.on_change)

    async def run(
        self, gate: AdmissionGate, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        """Run an admitted call and return its answer, or why there is none."""
        started_at = self._clock()
        backend = gate.backend
        header = parent.header
        remaining_s = parent.deadline - started_at
        backend.running[header.call_id] = call
        is_open = True
        try:
            answer = await self._deps.pool.exchange(
                backend.announcement.address,
                call.method,
                call.target,
                self._list_headers(gate, call, parent, remaining_s),
                call.body,
                timeout_s=remaining_s,
                accepts=lambda received: self._is_answer_to_call(
                    parent, received
                ),
            )
            is_open = (
                isinstance(answer, TransportFailure)
                and answer.stage == FailureStage.ANSWER
            )
            if isinstance(answer, TransportFailure):
                return await self._handle_failure(gate, header, answer)
        finally:
            backend.running.pop(header.call_id, None)
            if is_open:
                backend.record_unanswered_call(call, self._clock())
        return self._classify_answer(gate, parent, answer, started_at)

    async def refresh_hints(self, gate: AdmissionGate) -> None:
        """Poll the health and load endpoints, within the rate limit."""
        backend = gate.backend
        rate_limit = gate.admission.rate_limit
        health_path = backend.announcement.health_path
        if health_path is not None and rate_limit.try_start(self._clock()):
            answer = await self._poll(gate, health_path)
            backend.health_hint = describe_hint(answer)
        load_path = backend.announcement.load_path
        if load_path is not None and rate_limit.try_start(self._clock()):
            answer = await self._poll(gate, load_path)
            backend.load_hint = describe_hint(answer)

    def record_silent_end(self, backend: BackendServer) -> None:
        """Record the crash of a run that ended without any notice.

        It may have closed no connection, so that its calls only timed out or
        were cancelled.
        """
        if backend.crash_id is not None:
            return
        digests = backend.list_unanswered_digests()
        if digests:
            self._record_crash(backend, digests, 'ended without a notice')

    def _is_answer_to_call(
        self, parent: ParentCall, answer: HttpResponse
    ) -> bool:
        answer_class = self._deps.dialect.classify_answer(parent.token, answer)
        return answer_class != AnswerClass.FOREIGN

    def _list_headers(
        self,
        gate: AdmissionGate,
        call: OutgoingCall,
        parent: ParentCall,
        remaining_s: float,
    ) -> list[tuple[str, str]]:
        metadata = CallMetadata(
            parent.token,
            remaining_s,
            gate.backend.announcement.identity,
            call.caller_service,
            call.customer,
        )
        return [
            *call.headers,
            *self._deps.dialect.list_backend_headers(metadata),
        ]

    def _classify_answer(
        self,
        gate: AdmissionGate,
        parent: ParentCall,
        answer: HttpResponse,
        started_at: float,
    ) -> HttpResponse | Refusal:
        now = self._clock()
        duration_s = now - started_at
        gate.backend.load = self._deps.dialect.read_load(answer)
        answer_class = self._deps.dialect.classify_answer(parent.token, answer)
        if answer_class != AnswerClass.MISDIRECTED:
            self._record_notice(gate, self._deps.dialect.read_notice(answer))
        is_shed = (
            answer_class == AnswerClass.SHED
            and not parent.has_failed_nested_call
        )
        if answer_class == AnswerClass.FAILED:
            parent.has_failed = True
            return answer
        if answer_class == AnswerClass.ANSWERED or (
            answer_class == AnswerClass.SHED and not is_shed
        ):
            gate.admission.record_service(
                duration_s, get_call_class(parent.header)
            )
            gate.limit.record_success(
                now,
                parent.compute_own_time(duration_s),
                gate.admission.running,
            )
            return answer
        return self._record_refusal(gate, parent, answer_class, now)

    async def _poll(
        self, gate: AdmissionGate, path: str
    ) -> HttpResponse | TransportFailure:
        """Poll an endpoint; its answer may begin a limit but not end one."""
        answer = await self.prober.poll(gate.backend, path)
        if isinstance(answer, HttpResponse):
            notice = self._deps.dialect.read_notice(answer)
            if notice.rate_limit is None:
                notice = notice._replace(rate_limit=gate.rate_limit)
            if notice != BackendNotice():
                self._record_notice(gate, notice)
        return answer

    def _record_notice(
        self, gate: AdmissionGate, notice: BackendNotice
    ) -> None:
        backend = gate.backend
        was_leaving = backend.is_leaving
        is_changed = gate.apply_notice(notice)
        if backend.is_leaving != was_leaving:
            self._deps.on_change()
        if not is_changed:
            return
        log_decision(
            'backend-server-notice',
            instance=self._deps.node_id,
            service=backend.announcement.service,
            identity=backend.announcement.identity,
            rate_limit=notice.rate_limit,
            is_leaving=notice.is_leaving,
        )

    def _record_refusal(
        self,
        gate: AdmissionGate,
        parent: ParentCall,
        answer_class: AnswerClass,
        now: float,
    ) -> Refusal:
        if answer_class == AnswerClass.MISDIRECTED:
            gate.backend.is_displaced = True
            self._deps.on_change()
            return Refusal(Outcome.NOT_RUN, Reason.BACKEND_DISPLACED)
        gate.limit.record_refusal(now, gate.admission.running)
        is_proven_not_run = (
            answer_class == AnswerClass.NOT_RUN and not parent.digests
        )
        outcome = Outcome.NOT_RUN if is_proven_not_run else Outcome.MAY_HAVE_RUN
        return Refusal(outcome, Reason.BACKEND_REFUSED)

    async def _handle_failure(
        self, gate: AdmissionGate, header: CallHeader, failure: TransportFailure
    ) -> Refusal:
        if failure.stage == FailureStage.ROOM:
            return Refusal(Outcome.NOT_RUN, Reason.NO_ROOM, failure.reason)
        if failure.stage == FailureStage.CONNECT:
            self._mark_unreachable(gate)
            return Refusal(Outcome.NOT_RUN, Reason.BACKEND_LOST, failure.reason)
        if failure.reason == TIMEOUT:
            return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        running = gate.backend.list_running_digests()
        digests = gate.backend.record_lost_call(header.call_id, self._clock())
        evidence = 'all calls lost'
        if not digests and not await self.prober.is_listening(gate.backend):
            digests = running
            evidence = 'no connection accepted'
        if digests:
            self._record_crash(gate.backend, digests, evidence)
            self._deps.pool.drop_idle(gate.backend.announcement.address)
            self._mark_unreachable(gate)
        return Refusal(
            Outcome.MAY_HAVE_RUN, Reason.BACKEND_LOST, failure.reason
        )

    def _record_crash(
        self, backend: BackendServer, digests: list[str], evidence: str
    ) -> None:
        quarantine = self._deps.suspect_quarantine
        backend.crash_id = backend.crash_id or quarantine.create_crash_id()
        suspicions = quarantine.record_crash(backend.crash_id, digests)
        log_decision(
            'backend-server-death',
            crash=backend.crash_id,
            instance=self._deps.node_id,
            service=backend.announcement.service,
            identity=backend.announcement.identity,
            evidence=evidence,
            suspects=len(suspicions),
            repeated={
                suspicion.digest: len(suspicion.open_crashes)
                for suspicion in suspicions[:MAX_LOGGED_SUSPECTS]
                if len(suspicion.open_crashes) > 1
            },
            causes=[
                suspicion.digest
                for suspicion in suspicions
                if suspicion.is_likely_cause
            ],
        )

    def _mark_unreachable(self, gate: AdmissionGate) -> None:
        if gate.backend.is_reachable:
            gate.backend.is_reachable = False
            self._deps.on_change()
            task = asyncio.create_task(
                self.prober.wait_until_reachable(gate.backend)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
