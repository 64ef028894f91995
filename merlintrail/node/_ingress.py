"""Requests of callers, and calls of the own backend server."""

import random
import re
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.node._calls import (
    CallResult,
    OutgoingCall,
    compute_call_digest,
    list_forwarded,
    list_returned,
)
from merlintrail.node._contexts import MAX_DEPTH, ContextTable, ParentCall
from merlintrail.node._dispatch import Dispatcher
from merlintrail.node._keyed import KeyedCalls
from merlintrail.node._suspicions import Suspicions
from merlintrail.observability import NodeMetrics, log_decision
from merlintrail.protocol import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallerHeaders,
    Outcome,
    Reason,
    Refusal,
    build_refusal_response,
    compute_priority,
    create_id,
    read_caller_headers,
)
from merlintrail.state import (
    Configuration,
    ConfigurationHolder,
    PathLevels,
    RequestKind,
    RetryAccount,
    find_stop,
    merge_levels,
    outlasts_start,
)
from merlintrail.transport import HttpRequest, HttpResponse

#: Seconds over which refused callers are spread when they come back.
RETRY_SPREAD_S: Final = 2.0
_MS_PER_S: Final = 1000
_TARGET: Final = re.compile('/([a-z][a-z0-9-]{0,62})(/[^#]*|[?][^#]*)?$')
_UNSUPPORTED_METHODS: Final = frozenset(('CONNECT', 'TRACE'))


class IngressParts(NamedTuple):
    """What the ingress is made with."""

    instance: str
    data_centre: str
    holder: ConfigurationHolder
    contexts: ContextTable
    dispatcher: Dispatcher
    keyed: KeyedCalls
    suspicions: Suspicions
    metrics: NodeMetrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    source: random.Random


class ServiceTarget(NamedTuple):
    """A request's target, split."""

    service: str
    #: Path and query below the service.
    target: str

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]


def split_target(target: str) -> ServiceTarget | None:
    """Split ``/SERVICE/PATH?QUERY``."""
    match = _TARGET.match(target)
    if match is None:
        return None
    rest = match.group(2) or '/'
    if rest.startswith('?'):
        rest = f'/{rest}'
    return ServiceTarget(match.group(1), rest)


class Ingress:
    """Serves one request from its arrival to its answer."""

    def __init__(self, parts: IngressParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        #: Shedding levels on the way of each request kind.
        self.path_levels = PathLevels()
        #: Requests in progress.
        self.running = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve a request of a caller or of the own backend server."""
        started_at = self._clock()
        request_id = create_id(self._parts.source)
        split = split_target(request.target)
        self.running += 1
        try:
            answer = await self._serve(request, split, request_id)
        finally:
            self.running -= 1
        response = self._build_response(answer, request_id)
        self._parts.metrics.record_request(
            self._label_service(split),
            response.status,
            self._clock() - started_at,
        )
        return response

    def _label_service(self, split: ServiceTarget | None) -> str:
        """Return the service for metrics; invented ones get no label."""
        configuration = self._parts.holder.current
        if split is None or configuration is None:
            return ''
        return split.service if split.service in configuration.services else ''

    async def _serve(
        self,
        request: HttpRequest,
        split: ServiceTarget | None,
        request_id: str,
    ) -> HttpResponse | Refusal:
        headers = read_caller_headers(request.headers)
        refusal = self._check(request, split, headers)
        configuration = self._parts.holder.current
        if refusal is not None or split is None or configuration is None:
            refusal = refusal or Refusal(
                Outcome.NOT_RUN,
                Reason.NO_CONFIGURATION,
                'this node has no configuration yet',
            )
            self._log_refusal(request_id, request.target, refusal)
            return refusal
        kind = configuration.services[split.service].find_kind(
            request.method, split.path
        )
        if headers.context is None:
            call = self._build_call(request, split, headers, kind, request_id)
            return await self._serve_caller(call, configuration)
        parent = self._parts.contexts.find(headers.context)
        if parent is None:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.UNKNOWN_CONTEXT,
                'the context header is not one of a running call',
            )
        call = self._build_child(request, split, headers, kind, parent)
        return await self._serve_child(call, parent)

    async def _serve_caller(
        self, call: OutgoingCall, configuration: Configuration
    ) -> HttpResponse | Refusal:
        now = self._clock()
        level = self.path_levels.read(call.kind, now)
        stop = find_stop(
            configuration,
            self._parts.instance,
            self._parts.data_centre,
            self._parts.wall_clock(),
        )
        refusal: Refusal | None = None
        if call.priority < level:
            refusal = Refusal(Outcome.NOT_RUN, Reason.SHED_EARLY)
        elif outlasts_start(
            stop, self._parts.wall_clock(), call.deadline - now
        ):
            refusal = Refusal(Outcome.NOT_RUN, Reason.PLANNED_STOP)
        elif self._parts.suspicions.is_convicted(call):
            refusal = Refusal(Outcome.NOT_RUN, Reason.QUARANTINED)
        if refusal is not None:
            self._log_refusal(call.request_id, call.kind, refusal, level)
            return refusal
        call_result = await self._send(call)
        self.path_levels.record(
            call.kind, call_result.path_levels, self._clock()
        )
        return call_result.answer

    async def _serve_child(
        self, call: OutgoingCall, parent: ParentCall
    ) -> HttpResponse | Refusal:
        refusal = self._check_child(call, parent)
        if refusal is not None:
            parent.has_failed_below = True
            self._log_refusal(call.request_id, call.kind, refusal)
            return refusal
        share = parent.account.lend()
        child = call._replace(account=RetryAccount(share))
        parent.enter_child(self._clock())
        try:
            call_result = await self._send(child)
        finally:
            parent.leave_child(self._clock())
        parent.account.restore(share, child.account.balance)
        parent.path_levels = merge_levels(
            parent.path_levels, call_result.path_levels
        )
        if isinstance(call_result.answer, Refusal):
            parent.has_failed_below = True
        return call_result.answer

    async def _send(self, call: OutgoingCall) -> CallResult:
        if call.key is not None and not call.is_idempotent:
            return await self._parts.keyed.execute(call)
        return await self._parts.dispatcher.dispatch(call)

    def _check(
        self,
        request: HttpRequest,
        split: ServiceTarget | None,
        headers: CallerHeaders,
    ) -> Refusal | None:
        configuration = self._parts.holder.current
        findings = list(headers.findings)
        if request.method in _UNSUPPORTED_METHODS:
            findings.append(f'method {request.method} is not supported')
        if split is None:
            findings.append('the path must be /SERVICE/PATH')
        if findings:
            return Refusal(
                Outcome.NOT_RUN, Reason.BAD_REQUEST, '; '.join(findings)
            )
        if configuration is None or split is None:
            return None
        if split.service not in configuration.services:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.UNKNOWN_SERVICE,
                f'no service {split.service!r} is configured',
            )
        return None

    def _check_child(
        self, call: OutgoingCall, parent: ParentCall
    ) -> Refusal | None:
        if call.depth > MAX_DEPTH:
            return Refusal(Outcome.NOT_RUN, Reason.TOO_DEEP)
        digest = compute_call_digest(call)
        if digest in parent.digests and not parent.account.spend():
            return Refusal(
                Outcome.NOT_RUN,
                Reason.REPEATED_CALL,
                'the same call was made before and no retry is left',
            )
        parent.digests.add(digest)
        return None

    def _build_call(
        self,
        request: HttpRequest,
        split: ServiceTarget,
        headers: CallerHeaders,
        kind: RequestKind,
        request_id: str,
    ) -> OutgoingCall:
        deadline_ms = min(
            headers.deadline_ms or kind.deadline_ms, kind.deadline_ms
        )
        return OutgoingCall(
            request_id,
            kind.full_name,
            split.service,
            request.method,
            split.target,
            list_forwarded(request),
            request.body,
            compute_priority(kind.importance, request_id),
            kind.is_idempotent,
            self._clock() + deadline_ms / _MS_PER_S,
            RetryAccount(kind.retries),
            1,
            headers.key,
        )

    def _build_child(
        self,
        request: HttpRequest,
        split: ServiceTarget,
        headers: CallerHeaders,
        kind: RequestKind,
        parent: ParentCall,
    ) -> OutgoingCall:
        """Build a call below another, whose terms it inherits."""
        own_s = (headers.deadline_ms or kind.deadline_ms) / _MS_PER_S
        return OutgoingCall(
            parent.header.request_id,
            parent.header.kind,
            split.service,
            request.method,
            split.target,
            list_forwarded(request),
            request.body,
            parent.header.priority,
            kind.is_idempotent and parent.header.is_idempotent,
            min(parent.deadline, self._clock() + own_s),
            parent.account,
            parent.header.depth + 1,
            headers.key,
        )

    def _build_response(
        self, answer: HttpResponse | Refusal, request_id: str
    ) -> HttpResponse:
        if isinstance(answer, Refusal):
            spread_s = self._parts.source.uniform(0, RETRY_SPREAD_S)
            spread = answer._replace(
                retry_after_s=answer.retry_after_s + spread_s
            )
            return build_refusal_response(spread, request_id)
        headers = list_returned(answer)
        headers.append((OUTCOME_HEADER, Outcome.COMPLETED.value))
        headers.append((REQUEST_ID_HEADER, request_id))
        return HttpResponse(answer.status, headers, answer.body)

    def _log_refusal(
        self,
        request_id: str,
        kind: str,
        refusal: Refusal,
        level: int = 0,
    ) -> None:
        log_decision(
            'refuse',
            request_id=request_id,
            kind=kind,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
            level=level,
        )
