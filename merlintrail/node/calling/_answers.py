"""Reading the answers of other nodes and combining refusals."""

from merlintrail.node._calls import GatewayResult
from merlintrail.protocol import (
    REPORT_HEADER,
    CallHeader,
    CallReport,
    DecodeFailure,
    Outcome,
    Reason,
    Refusal,
    decode_call_report,
    list_returned_headers,
    read_refusal,
)
from merlintrail.transport import HttpResponse


def combine_refusals(
    earlier: Refusal | None, later: Refusal, *, is_sent: bool = True
) -> Refusal:
    """Combine the refusals of two attempts of one call.

    The outcome is ``not-run`` only if it holds for every attempt.

    :param is_sent: whether the later refusal comes from an attempt that was
        sent, rather than from the choice of a target.
    """
    if earlier is None:
        return later
    if not is_sent:
        return earlier
    if earlier.outcome != Outcome.NOT_RUN:
        return later._replace(outcome=earlier.outcome)
    return later


def read_peer_answer(
    header: CallHeader, answer: HttpResponse | Refusal
) -> GatewayResult:
    """Decode the answer of a peer and its report."""
    if isinstance(answer, Refusal):
        returned_retries = (
            header.retries if answer.outcome == Outcome.NOT_RUN else 0
        )
        return GatewayResult(
            answer, _build_missing_report(answer, returned_retries)
        )
    encoded = answer.find_header(REPORT_HEADER)
    report = (
        DecodeFailure('no report')
        if encoded is None
        else decode_call_report(encoded)
    )
    if isinstance(report, DecodeFailure) or report.call_id != header.call_id:
        refusal = Refusal(
            Outcome.MAY_HAVE_RUN, Reason.PEER_LOST, 'answer to another call'
        )
        return GatewayResult(refusal, _build_missing_report(refusal, 0))
    if report.reason:
        refusal = read_refusal(report.outcome, report.reason)
        seconds = _read_seconds(answer.find_header('retry-after'))
        return GatewayResult(refusal._replace(retry_after_s=seconds), report)
    stripped = HttpResponse(
        answer.status,
        list_returned_headers(answer),
        answer.body,
        answer.hold,
    )
    return GatewayResult(stripped, report)


def _read_seconds(text: str | None) -> float:
    """Read the seconds after which to retry, one if they are unreadable."""
    is_number = text is not None and text.isdecimal()
    return float(text) if text and is_number else 1.0


def _build_missing_report(
    refusal: Refusal, returned_retries: int
) -> CallReport:
    """Build the report of an attempt that returned none."""
    return CallReport(
        call_id='',
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        retries=returned_retries,
        level=0,
        downstream_levels={},
        in_flight=0,
        service_ms=0.0,
        is_draining=False,
    )
