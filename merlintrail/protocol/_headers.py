"""Header names of the contract, and decoding of caller headers."""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

#: Prefix of all headers that merlintrail defines.
INTERNAL_PREFIX: Final = 'merlintrail-'
#: Opaque context that a backend server copies into its nested calls.
CONTEXT_HEADER: Final = 'merlintrail-context'
#: Milliseconds that the caller waits for the answer.
DEADLINE_HEADER: Final = 'merlintrail-deadline-ms'
#: Outcome of the call.
OUTCOME_HEADER: Final = 'merlintrail-outcome'
#: Reason of a refusal.
REASON_HEADER: Final = 'merlintrail-reason'
#: Load that a backend server reports in answers: running, waiting, slots.
LOAD_HEADER: Final = 'merlintrail-load'
#: Requests per second that a backend server takes from all nodes together.
RATE_LIMIT_HEADER: Final = 'merlintrail-rate-limit'
#: ``1`` in the answers of a backend server that is about to end.
LEAVING_HEADER: Final = 'merlintrail-leaving'
#: Identifier of the request, for logs and support.
REQUEST_ID_HEADER: Final = 'merlintrail-request-id'
#: Call header between nodes, a JSON array.
CALL_HEADER: Final = 'merlintrail-call'
#: Report header between nodes, a JSON array.
REPORT_HEADER: Final = 'merlintrail-report'
#: Shared key that authenticates nodes to each other.
FLEET_KEY_HEADER: Final = 'merlintrail-fleet-key'
#: Key that identifies a resend of a non-idempotent request.
IDEMPOTENCY_KEY_HEADER: Final = 'idempotency-key'
#: API key by which a caller identifies its customer.
API_KEY_HEADER: Final = 'merlintrail-api-key'
#: Customer of a request, for its backend server.
CUSTOMER_HEADER: Final = 'merlintrail-customer'
#: Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Maximum length of an idempotency key in characters.
MAX_KEY_CHARS: Final = 128


class CallerHeaders(NamedTuple):
    """Validated headers of a caller's request."""

    context: str | None
    deadline_ms: float | None
    key: str | None
    #: Descriptions of all invalid headers.
    findings: tuple[str, ...]
    #: Request identifier chosen by the caller, ``None`` without one.
    request_id: str | None = None
    #: Whether a context that matches no running call is an error.
    must_resolve_context: bool = True
    #: API key of the caller's customer, ``None`` without one.
    api_key: str | None = None


def _read_deadline(text: str, findings: list[str]) -> float | None:
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if not (math.isfinite(deadline_ms) and deadline_ms > 0):
        findings.append(f'{DEADLINE_HEADER}: not a positive number')
        return None
    return deadline_ms


def _read_key(text: str, findings: list[str]) -> str | None:
    key = text.strip('"')
    if not key or len(key) > MAX_KEY_CHARS or not key.isprintable():
        findings.append(
            f'{IDEMPOTENCY_KEY_HEADER}: needs 1 to {MAX_KEY_CHARS} '
            'printable characters'
        )
        return None
    return key


def read_caller_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Decode the headers of a caller; report invalid ones as findings."""
    findings: list[str] = []
    deadline_text = headers.get(DEADLINE_HEADER)
    deadline_ms = (
        None
        if deadline_text is None
        else _read_deadline(deadline_text, findings)
    )
    key_text = headers.get(IDEMPOTENCY_KEY_HEADER)
    key = None if key_text is None else _read_key(key_text, findings)
    return CallerHeaders(
        headers.get(CONTEXT_HEADER),
        deadline_ms,
        key,
        tuple(findings),
        api_key=headers.get(API_KEY_HEADER),
    )
