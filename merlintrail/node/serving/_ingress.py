"""Requests of callers and nested calls of the local backend servers."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.node._calls import (
    CallResult,
    OutgoingCall,
    compute_call_digest,
)
from merlintrail.node._contexts import MAX_DEPTH, ContextTable, ParentCall
from merlintrail.node._suspect_quarantine import SuspectQuarantine
from merlintrail.node.calling import Dispatcher
from merlintrail.node.keyed import KeyedCalls
from merlintrail.node.serving._caller_retries import CallerRetries
from merlintrail.node.serving._customer_entry import CustomerEntry
from merlintrail.node.serving._resolution import Resolution, Resolver
from merlintrail.observability import NodeMetrics, describe_error, log_decision
from merlintrail.protocol import (
    CallerHeaders,
    Dialect,
    Outcome,
    Reason,
    Refusal,
    Repeat,
    create_id,
)
from merlintrail.state import (
    Configuration,
    ConfigurationHolder,
    Customer,
    LongestDurations,
    RetryAccount,
    compute_retry_after,
    find_planned_stop,
    merge_levels,
    overlaps_planned_stop,
)
from merlintrail.transport import HttpRequest, HttpResponse

_MS_PER_S: Final = 1000
_FIRST_ERROR_STATUS: Final = 400
#: Refusal reasons that state when the caller should retry.
_REASONS_WITH_RETRY_TIME: Final = frozenset(
    (Reason.QUARANTINED, Reason.QUOTA_EXCEEDED)
)
#: Factor by which a call may take longer than the longest recent one.
DURATION_MARGIN: Final = 1.5
_UNSUPPORTED_METHODS: Final = frozenset(('CONNECT', 'TRACE'))


class IngressDependencies(NamedTuple):
    """Dependencies of :class:`Ingress`."""

    instance: str
    data_centre: str
    holder: ConfigurationHolder
    contexts: ContextTable
    dispatcher: Dispatcher
    keyed: KeyedCalls
    suspect_quarantine: SuspectQuarantine
    metrics: NodeMetrics
    dialect: Dialect
    #: Returns the service of the local backend server, or an empty string.
    find_own_service: Callable[[], str]
    customers: CustomerEntry
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    rng: random.Random


class _ReceivedRequest(NamedTuple):
    """A request being served, with the caller headers read from it."""

    request: HttpRequest
    request_id: str
    headers: CallerHeaders
    #: Clock time at which it arrived.
    received_at: float


class Ingress:
    """Entry point of a node for callers and its local backend servers.

    A request with the context token of a running call is a nested call of
    that call; every other request comes from a caller.
    """

    def __init__(self, deps: IngressDependencies) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._resolver = Resolver(deps.rng)
        self._retries = CallerRetries(deps.clock)
        #: Number of requests in progress.
        self.running = 0
        #: Whether requests of callers are refused; nested calls still run.
        self.is_closed = False
        #: Clock time at which this process ends, ``None`` if it goes on.
        self.ends_at: float | None = None
        self._durations = LongestDurations(deps.clock())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve a request of a caller or a nested call."""
        started_at = self._clock()
        headers = self._deps.dialect.read_caller(request)
        request_id = headers.request_id or create_id(self._deps.rng)
        received = _ReceivedRequest(request, request_id, headers, started_at)
        self.running += 1
        try:
            resolution = await self._resolve(received)
            answer = (
                resolution
                if isinstance(resolution, Refusal)
                else await self._serve(received, resolution)
            )
        finally:
            self.running -= 1
        response = self._build_response(answer, request_id)
        duration_s = self._clock() - started_at
        if response.status >= _FIRST_ERROR_STATUS:
            log_decision(
                'answer',
                request_id=request_id,
                status=response.status,
                duration_ms=round(duration_s * _MS_PER_S, 1),
            )
        self._deps.metrics.record_request(
            '' if isinstance(resolution, Refusal) else resolution.service,
            response.status,
            duration_s,
        )
        return response

    async def refuse(self, request: HttpRequest) -> HttpResponse:
        """Refuse a request to a node that stops before it serves."""
        request_id = self.read_request_id(request) or create_id(self._deps.rng)
        refusal = Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        self._log_refusal(request_id, request.target, refusal)
        return self._build_response(refusal, request_id)

    def read_request_id(self, request: HttpRequest) -> str | None:
        """Return the identifier that the caller gave to a request."""
        return self._deps.dialect.read_caller(request).request_id

    def build_last_answer(self, request: HttpRequest) -> HttpResponse:
        """Build the answer to a request that does not end before the process."""
        return self._refuse_begun(request, Reason.NODE_STOPPED)

    def build_failure(
        self, request: HttpRequest, error: BaseException
    ) -> HttpResponse:
        """Build the answer to a request that an unexpected error ended."""
        return self._refuse_begun(
            request, Reason.INTERNAL_ERROR, describe_error(error)
        )

    def _refuse_begun(
        self, request: HttpRequest, reason: Reason, detail: str = ''
    ) -> HttpResponse:
        """Refuse a request that may have run.

        :param detail: for the log only.
        """
        request_id = self.read_request_id(request) or create_id(self._deps.rng)
        refusal = Refusal(Outcome.MAY_HAVE_RUN, reason)
        self._log_refusal(
            request_id, request.target, refusal._replace(detail=detail)
        )
        return self._build_response(refusal, request_id)

    async def _resolve(
        self, received: _ReceivedRequest
    ) -> Resolution | Refusal:
        await self._wait_for_configuration(received)
        refusal = self._check_request(received)
        if refusal is None:
            resolution = self._resolver.resolve(
                received.request, self._get_configuration()
            )
            if isinstance(resolution, Resolution):
                return resolution
            refusal = resolution
        self._log_refusal(received.request_id, received.request.target, refusal)
        return self._set_retry_after(refusal, None)

    async def _wait_for_configuration(self, received: _ReceivedRequest) -> None:
        deadline_ms = received.headers.deadline_ms
        await self._deps.dispatcher.startup.wait_for_configuration(
            received.request_id,
            None if deadline_ms is None else deadline_ms / _MS_PER_S,
        )

    async def _serve(
        self, received: _ReceivedRequest, resolution: Resolution
    ) -> HttpResponse | Refusal:
        headers = received.headers
        parent: ParentCall | None = None
        if headers.context is not None:
            parent = self._deps.contexts.find(headers.context)
        if parent is not None:
            call = self._build_nested_call(received, resolution, parent)
            return await self._serve_nested_call(
                call, parent, resolution.kind.full_name
            )
        if headers.context is not None and headers.must_resolve_context:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.UNKNOWN_CONTEXT,
                'the context header is not one of a running call',
            )
        customer = self._deps.customers.identify(headers, resolution)
        if isinstance(customer, Refusal):
            self._log_refusal(
                received.request_id, resolution.kind.full_name, customer
            )
            return self._set_retry_after(customer, resolution.kind.objective_ms)
        call = self._build_call(received, resolution, customer)
        return await self._serve_caller(call, customer)

    async def _serve_caller(
        self, call: OutgoingCall, customer: Customer | None
    ) -> HttpResponse | Refusal:
        """Serve a request of a caller."""
        refusal = self._check_caller(call) or self._deps.customers.check_quota(
            customer
        )
        if refusal is not None:
            self._log_refusal(call.request_id, call.kind, refusal)
            return self._set_retry_after(refusal, call.objective_ms)
        call = self._retries.prepare(call)
        begun_at = self._clock()
        call_result = await self._send(call)
        self._retries.record(call, call_result)
        answer = call_result.answer
        self._record_duration(call.kind, begun_at, answer)
        if isinstance(answer, Refusal) and answer.outcome == Outcome.NOT_RUN:
            self._deps.customers.return_token(customer)
            return self._set_retry_after(answer, call.objective_ms)
        return answer

    def _set_retry_after(
        self, refusal: Refusal, objective_ms: float | None
    ) -> Refusal:
        """Set the time after which a refused caller should retry.

        A quarantined request has one already, the end of its quarantine, and
        one beyond a quota the time at which it may have room.
        """
        if refusal.reason in _REASONS_WITH_RETRY_TIME:
            return refusal
        retry_after_s = compute_retry_after(
            refusal.retry_after_s,
            None if objective_ms is None else objective_ms / _MS_PER_S,
            self._deps.rng.random(),
            _find_earliest_retry(refusal),
        )
        return refusal._replace(retry_after_s=retry_after_s)

    def _check_caller(self, call: OutgoingCall) -> Refusal | None:
        if self.is_closed:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        wall_time = self._deps.wall_clock()
        stop = find_planned_stop(
            self._get_configuration(),
            self._deps.instance,
            self._deps.data_centre,
            wall_time,
        )
        remaining_s = call.deadline - self._clock()
        if overlaps_planned_stop(stop, wall_time, remaining_s):
            return Refusal(Outcome.NOT_RUN, Reason.PLANNED_STOP)
        if not self._can_end(call, call.kind):
            return Refusal(
                Outcome.NOT_RUN, Reason.DRAINING, 'it may not end in time'
            )
        return self._deps.suspect_quarantine.check(call)

    def _can_end(self, call: OutgoingCall, kind: str) -> bool:
        """Return whether a call may be expected to end before the process.

        Idempotent calls need not: they can be sent again.

        :param kind: its own kind, if it is a nested call.
        """
        if self.ends_at is None or call.is_idempotent:
            return True
        now = self._clock()
        remaining_s = call.deadline - now
        longest_s = self._durations.find(kind, now)
        if longest_s is not None:
            remaining_s = min(remaining_s, longest_s * DURATION_MARGIN)
        return now + remaining_s <= self.ends_at

    def _record_duration(
        self, kind: str, begun_at: float, answer: HttpResponse | Refusal
    ) -> None:
        """Record how long a call took that was answered by its server."""
        if not isinstance(answer, Refusal):
            now = self._clock()
            self._durations.record(kind, now - begun_at, now)

    async def _serve_nested_call(
        self, call: OutgoingCall, parent: ParentCall, kind: str
    ) -> HttpResponse | Refusal:
        refusal = self._check_nested_call(call, parent)
        if refusal is None and not self._can_end(call, kind):
            refusal = Refusal(
                Outcome.NOT_RUN, Reason.DRAINING, 'it may not end in time'
            )
        if refusal is not None:
            parent.has_failed_nested_call = True
            self._log_refusal(call.request_id, call.kind, refusal)
            return refusal
        reserved_retries = parent.account.reserve_share()
        nested_call = call._replace(account=RetryAccount(reserved_retries))
        begun_at = self._clock()
        parent.begin_nested_call(begun_at)
        try:
            call_result = await self._send(nested_call)
        except asyncio.CancelledError:
            if not _is_cancelled_by(parent):
                raise
            refusal = Refusal(Outcome.MAY_HAVE_RUN, Reason.PARENT_ENDED)
            self._log_refusal(call.request_id, call.kind, refusal)
            return refusal
        finally:
            parent.end_nested_call(self._clock())
        self._record_duration(kind, begun_at, call_result.answer)
        parent.account.refund(reserved_retries, nested_call.account.balance)
        parent.nested_calls += call_result.calls
        parent.downstream_levels = merge_levels(
            parent.downstream_levels, call_result.downstream_levels
        )
        if isinstance(call_result.answer, Refusal):
            parent.has_failed_nested_call = True
        return call_result.answer

    async def _send(self, call: OutgoingCall) -> CallResult:
        if call.key is not None and not call.is_idempotent:
            return await self._deps.keyed.execute(call)
        return await self._deps.dispatcher.dispatch(call)

    def _check_request(self, received: _ReceivedRequest) -> Refusal | None:
        findings = list(received.headers.findings)
        method = received.request.method
        if method in _UNSUPPORTED_METHODS:
            findings.append(f'method {method} is not supported')
        if findings:
            return Refusal(
                Outcome.NOT_RUN, Reason.BAD_REQUEST, '; '.join(findings)
            )
        if self._deps.holder.current is None:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.NO_CONFIGURATION,
                'this node has no configuration yet',
            )
        return None

    def _check_nested_call(
        self, call: OutgoingCall, parent: ParentCall
    ) -> Refusal | None:
        if call.depth > MAX_DEPTH:
            return Refusal(Outcome.NOT_RUN, Reason.CALL_CHAIN_TOO_DEEP)
        if call.request_id != parent.header.request_id:
            # The backend server gave the call an identifier of its own, so
            # an equal call is not taken for a repetition.
            return None
        digest = compute_call_digest(call)
        if digest in parent.digests and not parent.account.spend():
            return Refusal(
                Outcome.NOT_RUN,
                Reason.RETRY_ACCOUNT_EMPTY,
                'the same call was made before and no retry is left',
            )
        parent.digests.add(digest)
        return None

    def _build_call(
        self,
        received: _ReceivedRequest,
        resolution: Resolution,
        customer: Customer | None = None,
    ) -> OutgoingCall:
        """Build the call for a caller's request."""
        kind = resolution.kind
        request = received.request
        deadline_ms = min(
            received.headers.deadline_ms or kind.deadline_ms, kind.deadline_ms
        )
        return OutgoingCall(
            received.request_id,
            kind.full_name,
            resolution.service,
            request.method,
            resolution.target,
            self._deps.dialect.list_forwarded_headers(
                request, has_customers=self._deps.customers.has_customers
            ),
            request.body,
            self._deps.customers.choose_priority(
                kind.importance, customer, received.request_id
            ),
            kind.is_idempotent,
            received.received_at + deadline_ms / _MS_PER_S,
            RetryAccount(kind.retries),
            1,
            received.headers.key,
            self._deps.find_own_service(),
            kind.objective_ms,
            kind.attempts,
            is_routed=resolution.is_routed,
            customer='' if customer is None else customer.name,
        )

    def _build_nested_call(
        self,
        received: _ReceivedRequest,
        resolution: Resolution,
        parent: ParentCall,
    ) -> OutgoingCall:
        """Build a nested call.

        Kind, priority, customer and retry account are those of the parent, and the
        deadline is not later than the parent's. A route states by itself
        which requests are idempotent; without routes, a nested call of a
        non-idempotent parent is not idempotent either.
        """
        call = self._build_call(received, resolution)
        is_idempotent = call.is_idempotent and (
            resolution.is_routed or parent.header.is_idempotent
        )
        parent_id = parent.header.request_id
        request_id = received.headers.request_id or parent_id
        return call._replace(
            request_id=request_id,
            parent_id=None if parent_id == request_id else parent_id,
            kind=parent.header.kind,
            priority=parent.header.priority,
            is_idempotent=is_idempotent,
            deadline=min(parent.deadline, call.deadline),
            account=parent.account,
            depth=parent.header.depth + 1,
            customer=parent.header.customer,
            is_repeat=parent.header.repeat != Repeat.FIRST,
        )

    def _get_configuration(self) -> Configuration:
        """Return the configuration, which any request served here found."""
        configuration = self._deps.holder.current
        assert configuration is not None
        return configuration

    def _build_response(
        self, answer: HttpResponse | Refusal, request_id: str
    ) -> HttpResponse:
        dialect = self._deps.dialect
        if not isinstance(answer, Refusal):
            return dialect.build_answer(answer, request_id)
        return dialect.build_refusal(answer, request_id)

    def _log_refusal(
        self,
        request_id: str,
        kind: str,
        refusal: Refusal,
    ) -> None:
        self._deps.metrics.record_refusal('', refusal.reason.value)
        log_decision(
            'refuse',
            request_id=request_id,
            kind=kind,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
        )


def _is_cancelled_by(parent: ParentCall) -> bool:
    """Return whether the end of its parent alone cancelled a nested call."""
    task = asyncio.current_task()
    return parent.has_ended and task is not None and not task.uncancel()


def _find_earliest_retry(refusal: Refusal) -> float:
    """Return the seconds until which a retry is known to be refused.

    Nodes tell each other whole seconds, so that one says nothing.
    """
    is_limited = refusal.reason == Reason.RATE_LIMITED
    if is_limited and refusal.retry_after_s > 1:
        return refusal.retry_after_s
    return 0.0
