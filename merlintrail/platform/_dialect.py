"""Headers of the platform's callers and backend servers."""

import random
from collections.abc import Mapping
from typing import Final

from merlintrail.protocol import (
    HOP_BY_HOP_HEADERS,
    INTERNAL_PREFIX,
    REASON_HEADER,
    BackendLoad,
    CallMetadata,
    AnswerClass,
    CallerHeaders,
    Dialect,
    Outcome,
    Reason,
    Refusal,
    create_id,
    encode_json,
    parse_load,
)
from merlintrail.transport import HeaderList, HttpRequest, HttpResponse

#: Identifier of one attempt of a caller, echoed by the backend server.
_ATTEMPT_ID: Final = 'attempt-id'
#: Milliseconds for which the caller waits.
_TIMEOUT: Final = 'timeout-ms'
#: Identity that the backend server must have to run the request.
_EXPECTED_IDENTITY: Final = 'expect-instance'
#: Service of the instance at which the request began.
_CALLER_SERVICE: Final = 'caller-service'
#: Proof that the answer comes from a backend server that ran the request.
_RECEIPT: Final = 'response-seal'
#: States that the backend server did not run the request.
_NOT_RUN: Final = 'not-executed'
#: Running, waiting and slots of the backend server.
_LOAD: Final = 'server-load'
#: Headers that the node sets itself, whatever a caller sent.
_SET_BY_NODE: Final = frozenset((_TIMEOUT, _EXPECTED_IDENTITY, _CALLER_SERVICE))
#: Headers between backend server and node that callers need not see.
_FOR_NODE: Final = frozenset((_LOAD, 'instance-id'))

_MISDIRECTED_STATUS: Final = 421
_FIRST_SERVER_ERROR: Final = 500
_SUCCESS: Final = range(200, 300)
_UNAVAILABLE_STATUS: Final = 503
_MS_PER_S: Final = 1000
#: Statuses of requests that did not run, other than 503.
_NOT_RUN_STATUSES: Final[Mapping[Reason, int]] = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
}
#: Statuses of requests that may have run, other than 504.
_MAY_HAVE_RUN_STATUSES: Final[Mapping[Reason, int]] = {
    Reason.BACKEND_LOST: 502,
    Reason.BACKEND_REFUSED: 502,
}
_TIMEOUT_STATUS: Final = 504


class PlatformDialect(Dialect):
    """The contract of the platform's callers and backend servers."""

    def read_caller(self, request: HttpRequest) -> CallerHeaders:
        """Read identifier and timeout.

        A backend server's own call may name the call that it belongs to in
        front of the last dot of its identifier. That is a hint: it counts
        only while such a call runs in the node's own backend server.
        """
        findings: list[str] = []
        attempt_id = request.headers.get(_ATTEMPT_ID)
        timeout = request.headers.get(_TIMEOUT)
        timeout_ms: float | None = None
        if timeout is not None:
            timeout_ms = _read_timeout(timeout, findings)
        parent = (attempt_id or '').rpartition('.')[0]
        return CallerHeaders(
            context=parent or None,
            deadline_ms=timeout_ms,
            key=None,
            findings=tuple(findings),
            request_id=attempt_id,
            must_resolve_context=False,
        )

    def list_forwarded_headers(self, request: HttpRequest) -> HeaderList:
        """Return all headers but those of the hop and what the node sets."""
        return [
            (name, text)
            for name, text in request.headers.items()
            if _is_forwarded(name) and name not in _SET_BY_NODE
        ]

    def create_token(self, headers: HeaderList, source: random.Random) -> str:
        """Return the identifier of the attempt."""
        for name, text in headers:
            if name == _ATTEMPT_ID:
                return text
        return create_id(source)

    def list_backend_headers(self, metadata: CallMetadata) -> HeaderList:
        """Return timeout, expected identity and the caller's service."""
        timeout_ms = max(1, int(metadata.remaining_s * _MS_PER_S))
        headers = [
            (_TIMEOUT, str(timeout_ms)),
            (_CALLER_SERVICE, metadata.caller_service),
        ]
        if metadata.identity is not None:
            headers.append((_EXPECTED_IDENTITY, metadata.identity))
        return headers

    def classify_answer(self, token: str, answer: HttpResponse) -> AnswerClass:
        """Tell what an answer is by its echo, its receipt and its status."""
        echo = answer.find_header(_ATTEMPT_ID)
        if echo is not None and echo != token:
            return AnswerClass.FOREIGN
        if answer.status == _MISDIRECTED_STATUS:
            return AnswerClass.MISDIRECTED
        if answer.find_header(_NOT_RUN) is not None:
            return AnswerClass.NOT_RUN
        if answer.status >= _FIRST_SERVER_ERROR:
            return AnswerClass.FAILED
        is_success = answer.status in _SUCCESS
        if is_success and (echo is None or not answer.find_header(_RECEIPT)):
            return AnswerClass.FOREIGN
        return AnswerClass.ANSWERED

    def read_load(self, answer: HttpResponse) -> BackendLoad | None:
        """Read running, waiting and slots."""
        return parse_load(answer.find_header(_LOAD))

    def build_answer(
        self, answer: HttpResponse, request_id: str
    ) -> HttpResponse:
        """Return the backend server's answer as it is."""
        headers = [
            (name, text)
            for name, text in answer.headers
            if _is_forwarded(name) and name not in _FOR_NODE
        ]
        return HttpResponse(answer.status, headers, answer.body)

    def build_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Promise by the status that a request has not run, or nothing."""
        headers = [
            ('content-type', 'application/json'),
            (REASON_HEADER, refusal.reason.value),
        ]
        status = _choose_status(refusal)
        if status == _UNAVAILABLE_STATUS:
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


def _read_timeout(text: str, findings: list[str]) -> float | None:
    if text.isdigit() and int(text) > 0:
        return float(text)
    findings.append(f'{_TIMEOUT}: not a positive whole number')
    return None


def _is_forwarded(name: str) -> bool:
    return name not in HOP_BY_HOP_HEADERS and not name.startswith(
        INTERNAL_PREFIX
    )
