"""Headers that the platform's callers and backend servers exchange."""

import random
import re
from collections.abc import Mapping
from typing import Final

from merlintrail.protocol import (
    HOP_BY_HOP_HEADERS,
    INTERNAL_PREFIX,
    REASON_HEADER,
    AnswerClass,
    BackendLoad,
    BackendNotice,
    CallerHeaders,
    CallMetadata,
    Dialect,
    Outcome,
    Reason,
    Refusal,
    create_id,
    encode_json,
    parse_load,
    parse_rate_limit,
)
from merlintrail.transport import HeaderList, HttpRequest, HttpResponse

#: Identifier of one attempt of a caller; the backend server echoes it.
_ATTEMPT_ID_HEADER: Final = 'attempt-id'
#: Milliseconds until the caller stops waiting for the answer.
_TIMEOUT_HEADER: Final = 'timeout-ms'
#: Identity that the backend server must have to run the request. Despite the
#: header's name this is a run of a backend server, not a machine.
_EXPECTED_IDENTITY_HEADER: Final = 'expect-instance'
#: Service of the instance at which the call began.
_CALLER_SERVICE_HEADER: Final = 'caller-service'
#: Proof of execution by the backend server. It must not be empty in a
#: successful answer; its content is not verified.
_EXECUTION_PROOF_HEADER: Final = 'response-seal'
#: API key of the caller's customer.
_API_KEY_HEADER: Final = 'api-key'
#: Customer of the request, for its backend server.
_CUSTOMER_HEADER: Final = 'tenant'
#: Headers that only the node may set or read where there are customers.
_CUSTOMER_HEADERS: Final = frozenset((_API_KEY_HEADER, _CUSTOMER_HEADER))
#: Present if the backend server did not run the request.
_NOT_EXECUTED_HEADER: Final = 'not-executed'
#: Load of the backend server: running requests, waiting requests, slots.
_LOAD_HEADER: Final = 'server-load'
#: Requests per second that the backend server takes from all nodes together.
_RATE_LIMIT_HEADER: Final = 'server-limit'
#: ``1`` in all answers of a backend server that is about to end.
_LEAVING_HEADER: Final = 'server-leaving'
_LEAVING: Final = '1'
#: Request headers that only the node may set. Values sent by callers are
#: not forwarded.
_HEADERS_SET_BY_NODE: Final = frozenset(
    (_TIMEOUT_HEADER, _EXPECTED_IDENTITY_HEADER, _CALLER_SERVICE_HEADER)
)
#: Answer headers meant for the node, which are not passed to callers.
_NODE_ONLY_HEADERS: Final = frozenset((_LOAD_HEADER, 'instance-id'))

#: Whole number of milliseconds, up to some 31 years.
_TIMEOUT_MS: Final = re.compile('[0-9]{1,12}')
_MISDIRECTED_STATUS: Final = 421
_FIRST_SERVER_ERROR_STATUS: Final = 500
_SUCCESS_STATUSES: Final = range(200, 300)
_UNAVAILABLE_STATUS: Final = 503
#: Statuses that tell the caller when to come back.
_RETRY_AFTER_STATUSES: Final = frozenset((429, _UNAVAILABLE_STATUS))
_MS_PER_S: Final = 1000
#: Statuses of requests that did not run; 503 for all other reasons.
_NOT_RUN_STATUSES: Final[Mapping[Reason, int]] = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_API_KEY: 401,
    Reason.QUOTA_EXCEEDED: 429,
}
#: Statuses of requests that may have run; 504 for all other reasons.
_MAY_HAVE_RUN_STATUSES: Final[Mapping[Reason, int]] = {
    Reason.BACKEND_LOST: 502,
    Reason.BACKEND_REFUSED: 502,
    Reason.INTERNAL_ERROR: 500,
}
_TIMEOUT_STATUS: Final = 504


class PlatformDialect(Dialect):
    """Dialect of the platform's callers and backend servers."""

    def read_caller(self, request: HttpRequest) -> CallerHeaders:
        """Read the attempt's identifier and timeout.

        A nested call may carry the identifier of its parent call before the
        last dot of its own identifier. This is only a hint: it counts while
        such a call runs in the node's own backend server, and is ignored
        otherwise.
        """
        findings: list[str] = []
        attempt_id = request.headers.get(_ATTEMPT_ID_HEADER)
        timeout = request.headers.get(_TIMEOUT_HEADER)
        timeout_ms: float | None = None
        if timeout is not None:
            timeout_ms = _parse_timeout_ms(timeout, findings)
        parent = (attempt_id or '').rpartition('.')[0]
        return CallerHeaders(
            context=parent or None,
            deadline_ms=timeout_ms,
            key=None,
            findings=tuple(findings),
            request_id=attempt_id,
            must_resolve_context=False,
            api_key=request.headers.get(_API_KEY_HEADER),
        )

    def list_forwarded_headers(
        self, request: HttpRequest, *, has_customers: bool
    ) -> HeaderList:
        """Return all headers except hop-by-hop, internal and node-set ones."""
        dropped = _HEADERS_SET_BY_NODE
        if has_customers:
            dropped |= _CUSTOMER_HEADERS
        return [
            (name, text)
            for name, text in request.headers.items()
            if _is_forwarded(name) and name not in dropped
        ]

    def create_token(self, headers: HeaderList, rng: random.Random) -> str:
        """Return the attempt's identifier, or a random one without it."""
        for name, text in headers:
            if name == _ATTEMPT_ID_HEADER:
                return text
        return create_id(rng)

    def list_backend_headers(self, metadata: CallMetadata) -> HeaderList:
        """Return timeout, caller's service, and identity and customer if any."""
        timeout_ms = max(1, int(metadata.remaining_s * _MS_PER_S))
        headers = [
            (_TIMEOUT_HEADER, str(timeout_ms)),
            (_CALLER_SERVICE_HEADER, metadata.caller_service),
        ]
        if metadata.identity is not None:
            headers.append((_EXPECTED_IDENTITY_HEADER, metadata.identity))
        if metadata.customer:
            headers.append((_CUSTOMER_HEADER, metadata.customer))
        return headers

    def classify_answer(self, token: str, answer: HttpResponse) -> AnswerClass:
        """Classify an answer by its echoed identifier, status and proof.

        An answer belongs to this call only if it echoes the attempt's
        identifier: a refusal without it may be the copy of an earlier one. A
        success must also carry a proof of execution.
        """
        if answer.find_header(_ATTEMPT_ID_HEADER) != token:
            return AnswerClass.FOREIGN
        if answer.status == _MISDIRECTED_STATUS:
            return AnswerClass.MISDIRECTED
        if answer.find_header(_NOT_EXECUTED_HEADER) is not None:
            return AnswerClass.NOT_RUN
        if answer.status >= _FIRST_SERVER_ERROR_STATUS:
            return AnswerClass.FAILED
        is_success = answer.status in _SUCCESS_STATUSES
        if is_success and not answer.find_header(_EXECUTION_PROOF_HEADER):
            return AnswerClass.FOREIGN
        return AnswerClass.ANSWERED

    def read_load(self, answer: HttpResponse) -> BackendLoad | None:
        """Read the load header."""
        return parse_load(answer.find_header(_LOAD_HEADER))

    def read_notice(self, answer: HttpResponse) -> BackendNotice:
        """Read the headers for the rate limit and for leaving."""
        return BackendNotice(
            parse_rate_limit(answer.find_header(_RATE_LIMIT_HEADER)),
            answer.find_header(_LEAVING_HEADER) == _LEAVING,
        )

    def build_answer(
        self, answer: HttpResponse, request_id: str
    ) -> HttpResponse:
        """Drop hop-by-hop, internal and node-only headers from an answer."""
        headers = [
            (name, text)
            for name, text in answer.headers
            if _is_forwarded(name) and name not in _NODE_ONLY_HEADERS
        ]
        return HttpResponse(answer.status, headers, answer.body, answer.hold)

    def build_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Build a refusal whose status tells whether the request may have run.

        The statuses 400, 401, 404, 429 and 503 guarantee that it did not run; 502 and
        504 leave it open.
        """
        headers = [
            ('content-type', 'application/json'),
            (REASON_HEADER, refusal.reason.value),
        ]
        status = _choose_status(refusal)
        if status in _RETRY_AFTER_STATUSES:
            headers.append(('retry-after', f'{refusal.retry_after_s:.2f}'))
        body = encode_json(
            {
                'outcome': refusal.outcome.value,
                'reason': refusal.reason.value,
                'detail': refusal.detail,
            }
        )
        return HttpResponse(status, headers, body)


def _choose_status(refusal: Refusal) -> int:
    if refusal.outcome == Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(refusal.reason, _UNAVAILABLE_STATUS)
    return _MAY_HAVE_RUN_STATUSES.get(refusal.reason, _TIMEOUT_STATUS)


def _parse_timeout_ms(text: str, findings: list[str]) -> float | None:
    if _TIMEOUT_MS.fullmatch(text) and int(text) > 0:
        return float(text)
    findings.append(f'{_TIMEOUT_HEADER}: not a positive whole number')
    return None


def _is_forwarded(name: str) -> bool:
    return name not in HOP_BY_HOP_HEADERS and not name.startswith(
        INTERNAL_PREFIX
    )
