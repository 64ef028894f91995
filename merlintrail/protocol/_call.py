"""Headers that nodes exchange with a call and with its answer."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from merlintrail.protocol._codec import (
    DecodeFailure,
    decode_array_record,
    decode_json,
    encode_ascii_json,
)


class CallHeader(NamedTuple):
    """Header of a call from one node to another."""

    request_id: str
    #: Identifier of this attempt, by which an inquiry refers to it.
    call_id: str
    #: Request kind assigned at the ingress, as ``service/kind``.
    kind: str
    priority: int
    is_idempotent: bool
    #: Milliseconds until the deadline.
    deadline_ms: float
    #: Retries that the call and its nested calls may still make.
    retries: int
    #: Number of the hop in the call chain, 1 at the ingress.
    depth: int
    #: Incarnation of the node to which the call is addressed.
    incarnation: int
    #: Identifier of the sending node.
    origin: str
    service: str
    #: Idempotency key, in a call to the owner of its ledger slot.
    key: str | None = None
    #: Suspicion against the request, as the fields of ``Suspicion``.
    suspicion: Sequence[Any] | None = None
    #: Service of the instance at which the call originated.
    caller_service: str = ''
    #: Latency objective in milliseconds, ``None`` without one.
    objective_ms: float | None = None
    #: Whether a route determined the service.
    is_routed: bool = False
    #: What the backend server stated to an earlier run of the receiving node,
    #: as the fields of ``RunNotice``.
    notice: Sequence[Any] | None = None
    #: What backend servers of the service stated to earlier runs of the nodes
    #: beside them, in a call to the owner of a ledger slot; each as the fields
    #: of ``StatedNotice``.
    lost_notices: Sequence[Any] = ()
    #: Customer of the request, empty without one.
    customer: str = ''
    #: Value of :class:`Repeat`: what permits the attempt.
    repeat: int = 0


class CallReport(NamedTuple):
    """Header of the answer to a call between nodes."""

    call_id: str
    #: Value of :class:`Outcome`.
    outcome: str
    #: Value of :class:`Reason`, empty for a completed call.
    reason: str
    #: Unspent retries, returned to the sender.
    retries: int
    #: Shedding level of the backend server: calls of a lower priority are
    #: refused.
    level: int
    #: Shedding levels of the services that nested calls were sent to, by
    #: ``service@data_centre``.
    downstream_levels: Mapping[str, int]
    #: Calls running or queued at the backend servers of the node.
    in_flight: int
    #: Mean service time in milliseconds.
    service_ms: float
    is_draining: bool
    #: Whether a retry on another backend server may succeed. False if the
    #: call and one of its nested calls have failed.
    may_retry: bool = True
    #: Suspicion against the request, as the fields of ``Suspicion``.
    suspicion: Sequence[Any] | None = None
    #: Whether the backend server's own answer reports a failure.
    is_failure: bool = False
    #: Number of nested calls, over the whole call tree.
    nested_calls: int = 0
    #: What the backend server states, as the fields of ``RunNotice``; ``None``
    #: if it neither limits the rate nor leaves, or has not answered yet.
    notice: Sequence[Any] | None = None
    #: Rate of calls that ask for the backend server in terms of the limit that
    #: it states, 0 without a limit.
    rate_load: float = 0.0
    #: Whether the share of repeats at the node is used up.
    is_share_spent: bool = False


def encode_header_record(record: CallHeader | CallReport) -> str:
    """Encode a header record as a JSON array in the order of its fields.

    New fields are only added at the end, with a default. Trailing fields
    that equal their default are omitted.
    """
    fields = list(record)
    defaults = list(record._field_defaults.values())
    while defaults and fields[-1] == defaults.pop():
        fields.pop()
    return encode_ascii_json(fields)


def decode_call_header(text: str) -> CallHeader | DecodeFailure:
    """Decode the value of the call header."""
    return decode_array_record(CallHeader, decode_json(text))


def decode_call_report(text: str) -> CallReport | DecodeFailure:
    """Decode the value of the report header."""
    return decode_array_record(CallReport, decode_json(text))
