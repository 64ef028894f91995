"""Results of the attempts made for one call."""

from merlintrail.node._calls import GatewayResult
from merlintrail.node.calling._answers import combine_refusals
from merlintrail.node.calling._retry_policy import Attempts
from merlintrail.protocol import Outcome, Reason, Refusal, Repeat
from merlintrail.transport import HttpResponse


def has_failed(gateway_result: GatewayResult) -> bool:
    """Return whether an attempt ran and failed, or may have."""
    answer = gateway_result.answer
    if isinstance(answer, Refusal):
        return answer.outcome != Outcome.NOT_RUN
    return gateway_result.report.is_failure


class Progress:
    """Results of the attempts made for one call so far."""

    def __init__(self, repeat: Repeat) -> None:
        """Begin with no attempts.

        :param repeat: what permits the first attempt.
        """
        #: Identifiers of nodes that are not chosen again.
        self.tried: list[str] = []
        #: Shedding levels that the attempts reported, by service and data
        #: centre.
        self.downstream_levels: dict[str, int] = {}
        self.attempts = Attempts()
        #: What permits the next attempt.
        self.repeat = repeat
        #: Number of calls made, nested calls included.
        self.calls = 0
        #: Data centre of the last attempt that failed, empty if none did.
        self.failed_data_centre = ''
        #: Answer that ends the call; that of a failed attempt is kept apart.
        self.answer: HttpResponse | None = None
        self._failed: HttpResponse | None = None
        self._refusal: Refusal | None = None

    def record_attempt(
        self, gateway_result: GatewayResult, data_centre: str
    ) -> None:
        """Record the result of an attempt in a data centre."""
        answer = gateway_result.answer
        self.attempts = self.attempts.add(gateway_result)
        self.calls += 1 + gateway_result.report.nested_calls
        if has_failed(gateway_result):
            self.failed_data_centre = data_centre
        if isinstance(answer, Refusal):
            is_in_vain = answer.reason == Reason.REPEAT_SHARE_SPENT
            self.record_refusal(answer, is_sent=not is_in_vain)
            if answer.reason == Reason.TOMBSTONE:
                # The call did not arrive, as on a stale connection, but the
                # peer works and may be chosen again.
                self.tried.pop()
        elif gateway_result.report.is_failure:
            self._failed = answer
        else:
            self.answer = answer

    def record_refusal(self, refusal: Refusal, *, is_sent: bool) -> None:
        """Record the refusal of an attempt or of the choice of a target."""
        self._refusal = combine_refusals(
            self._refusal, refusal, is_sent=is_sent
        )

    def choose_answer(self) -> HttpResponse | Refusal:
        """Return the answer, else a server's failure, else the refusal."""
        chosen = self.answer or self._failed or self._refusal
        assert chosen is not None
        return chosen
