"""Calls between nodes, and their results."""

from collections.abc import Mapping
from typing import NamedTuple

from merlintrail.protocol import (
    CALL_HEADER,
    FLEET_KEY_HEADER,
    HOP_BY_HOP_HEADERS,
    INTERNAL_PREFIX,
    REPORT_HEADER,
    CallReport,
    Refusal,
    build_refusal_response,
    encode_header_record,
    list_returned_headers,
)
from merlintrail.state import RetryAccount, compute_digest
from merlintrail.transport import HeaderList, HttpRequest, HttpResponse


class OutgoingCall(NamedTuple):
    """A call to a service, as a node sends or receives it."""

    request_id: str
    #: Name of the request kind at the ingress.
    kind: str
    service: str
    method: str
    #: Path and query that the backend server receives.
    target: str
    headers: HeaderList
    body: bytes
    priority: int
    is_idempotent: bool
    #: Clock time of the deadline.
    deadline: float
    #: Retries left to the call and its nested calls.
    account: RetryAccount
    #: Position in the call chain; a call made for a caller has depth 1.
    depth: int
    #: Idempotency key, unique within the service.
    key: str | None
    #: Service of the instance where the call originates, empty if it has none.
    caller_service: str = ''
    #: Milliseconds within which an answer is worth most, if stated.
    objective_ms: float | None = None
    #: Maximum attempts that reach a backend server; ``None`` if only the
    #: retry account limits them.
    max_attempts: int | None = None
    #: Identifier of the request that caused it, if its own differs.
    parent_id: str | None = None
    #: Whether a route determined the service. The same request may then go to
    #: another one, as the route is split or changed.
    is_routed: bool = False
    #: Customer of the request, empty without one.
    customer: str = ''
    #: Data centre in which the request failed before, empty if in none.
    failed_data_centre: str = ''
    #: Whether it is a nested call of an attempt that is a repeat.
    is_repeat: bool = False


def compute_call_digest(call: OutgoingCall) -> str:
    """Compute the digest of a call to one service."""
    return compute_digest(call.service, call.method, call.target, call.body)


def compute_request_digest(call: OutgoingCall) -> str:
    """Compute the digest of a request, whichever service it goes to."""
    if not call.is_routed:
        return compute_call_digest(call)
    hosts = (text for name, text in call.headers if name == 'host')
    return compute_digest(next(hosts, ''), call.method, call.target, call.body)


class CallResult(NamedTuple):
    """Answer to a call, with what its attempts reported."""

    answer: HttpResponse | Refusal
    #: Shedding levels of services on the path, by service and data centre.
    downstream_levels: Mapping[str, int]
    #: Number of calls made for it: its attempts and their nested calls.
    calls: int = 1
    #: Data centre of the last attempt that failed, empty if none did.
    failed_data_centre: str = ''


class GatewayResult(NamedTuple):
    """Answer to one attempt, with the report of the backend server's node."""

    answer: HttpResponse | Refusal
    report: CallReport
    #: The answer encoded for another node, once built.
    encoded: HttpResponse | None = None


def list_forwarded_headers(request: HttpRequest) -> HeaderList:
    """Return the headers of a request that are forwarded to the next hop."""
    return [
        (name, text)
        for name, text in request.headers.items()
        if name not in HOP_BY_HOP_HEADERS
        and not name.startswith(INTERNAL_PREFIX)
    ]


def build_peer_answer(
    gateway_result: GatewayResult, request_id: str
) -> HttpResponse:
    """Build the answer to another node, with the report in a header."""
    if gateway_result.encoded is not None:
        return gateway_result.encoded
    answer = gateway_result.answer
    if isinstance(answer, Refusal):
        answer = build_refusal_response(answer, request_id)
        headers = list(answer.headers)
    else:
        headers = list_returned_headers(answer)
    headers.append((REPORT_HEADER, encode_header_record(gateway_result.report)))
    return HttpResponse(answer.status, headers, answer.body, answer.hold)


def build_call_headers(
    headers: HeaderList, encoded_header: str, fleet_key: str
) -> HeaderList:
    """Add the headers exchanged between nodes to those of the caller."""
    return [
        (CALL_HEADER, encoded_header),
        (FLEET_KEY_HEADER, fleet_key),
        *headers,
    ]
