"""What nodes tell each other about a call, in one header each way."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from merlintrail.protocol._codec import (
    DecodeFailure,
    decode_json,
    decode_positions,
    encode_json,
)


class CallHeader(NamedTuple):
    """Sent with a call from node to node."""

    request_id: str
    #: Identifier of this attempt, asked for in an inquiry.
    call_id: str
    #: Name of the request kind at the ingress, ``service/kind``.
    kind: str
    priority: int
    is_idempotent: bool
    #: Milliseconds left until the deadline.
    deadline_ms: float
    #: Retries that travel with the call.
    retries: int
    depth: int
    #: Incarnation of the node that the call is meant for.
    incarnation: int
    #: Identifier of the sending node.
    origin: str
    service: str
    #: Idempotency key, for a call to the owner of its ledger slot.
    key: str | None = None
    #: Suspicion against the request, as the fields of ``Suspicion``.
    suspicion: Sequence[Any] | None = None
    #: Service of the instance at which the call began.
    caller_service: str = ''
    #: Milliseconds within which an answer is worth most, if stated.
    objective_ms: float | None = None


class CallReport(NamedTuple):
    """Returned with the answer to a call."""

    call_id: str
    #: Value of :class:`Outcome`.
    outcome: str
    #: Value of :class:`Reason`, empty for a completed call.
    reason: str
    #: Retries that come back unspent.
    retries: int
    #: Shedding level of the backend server: lower priorities are refused.
    level: int
    #: Shedding levels of services further down, by name.
    downstream_levels: Mapping[str, int]
    #: Calls in flight and queued at the backend server.
    in_flight: int
    #: Mean service time in milliseconds.
    service_ms: float
    is_draining: bool
    #: Whether another try elsewhere can help.
    may_retry: bool = True
    #: Suspicion against the request, as the fields of ``Suspicion``.
    suspicion: Sequence[Any] | None = None
    #: Whether the backend server's own answer says that it failed.
    is_failure: bool = False
    #: Calls made below this one, over its whole tree.
    calls_below: int = 0


def encode_fields(record: CallHeader | CallReport) -> str:
    """Encode a header record as a JSON array in the order of its fields.

    Fields are only ever added at the end, with a default; those at the end
    that have it are left out.
    """
    fields = list(record)
    defaults = list(record._field_defaults.values())
    while defaults and fields[-1] == defaults.pop():
        fields.pop()
    return encode_json(fields).decode()


def decode_call_header(text: str) -> CallHeader | DecodeFailure:
    """Decode the call header."""
    return decode_positions(CallHeader, decode_json(text))


def decode_call_report(text: str) -> CallReport | DecodeFailure:
    """Decode the report header."""
    return decode_positions(CallReport, decode_json(text))
