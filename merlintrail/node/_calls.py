"""A call to be sent, and what came of it."""

from collections.abc import Mapping
from typing import NamedTuple

from merlintrail.protocol import (
    CALL_HEADER,
    FLEET_KEY_HEADER,
    FORWARDED_DROP,
    INTERNAL_PREFIX,
    REPORT_HEADER,
    CallReport,
    Refusal,
    build_refusal_response,
    encode_fields,
    list_returned,
)
from merlintrail.state import RetryAccount, compute_digest
from merlintrail.transport import HeaderList, HttpRequest, HttpResponse


class OutgoingCall(NamedTuple):
    """A call that this node sends for a caller or its backend server."""

    request_id: str
    #: Name of the request kind at the ingress.
    kind: str
    service: str
    method: str
    #: Path and query below the service.
    target: str
    headers: HeaderList
    body: bytes
    priority: int
    is_idempotent: bool
    #: Clock time at which the answer is due.
    deadline: float
    account: RetryAccount
    depth: int
    #: Idempotency key, scoped to the service.
    key: str | None
    #: Service of the instance at which the call began.
    caller_service: str = ''
    #: Milliseconds within which an answer is worth most, if stated.
    objective_ms: float | None = None
    #: Backend servers that the call may be handed to, ``None`` for no bound
    #: but the account.
    max_attempts: int | None = None
    #: Identifier of the request that it was made for, where it has another
    #: of its own.
    parent_id: str | None = None


def compute_call_digest(call: OutgoingCall) -> str:
    """Compute the digest of the request that a call carries."""
    return compute_digest(call.service, call.method, call.target, call.body)


class CallResult(NamedTuple):
    """What came of a call."""

    answer: HttpResponse | Refusal
    #: Shedding levels of the services that the call met, by place.
    path_levels: Mapping[str, int]
    #: Calls made for it, itself and its repeats included.
    calls: int = 1


class GatewayResult(NamedTuple):
    """What came of a call at the backend server's node."""

    answer: HttpResponse | Refusal
    report: CallReport
    #: The answer as it goes to another node, once it is built.
    encoded: HttpResponse | None = None


def list_forwarded(request: HttpRequest) -> HeaderList:
    """Return the headers of a request that go on to the next hop."""
    return [
        (name, text)
        for name, text in request.headers.items()
        if name not in FORWARDED_DROP and not name.startswith(INTERNAL_PREFIX)
    ]


def build_peer_answer(
    gateway_result: GatewayResult, request_id: str
) -> HttpResponse:
    """Build the answer between nodes, with its report."""
    if gateway_result.encoded is not None:
        return gateway_result.encoded
    answer = gateway_result.answer
    if isinstance(answer, Refusal):
        answer = build_refusal_response(answer, request_id)
        headers = list(answer.headers)
    else:
        headers = list_returned(answer)
    headers.append((REPORT_HEADER, encode_fields(gateway_result.report)))
    return HttpResponse(answer.status, headers, answer.body)


def build_call_headers(
    headers: HeaderList, encoded_header: str, fleet_key: str
) -> HeaderList:
    """Add the headers between nodes to those of the caller."""
    return [
        (CALL_HEADER, encoded_header),
        (FLEET_KEY_HEADER, fleet_key),
        *headers,
    ]
