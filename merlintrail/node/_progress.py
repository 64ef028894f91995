"""What came of the attempts of one call."""

from merlintrail.node._answers import combine_refusals
from merlintrail.node._calls import GatewayResult
from merlintrail.node._retry_policy import Attempts
from merlintrail.protocol import Reason, Refusal
from merlintrail.transport import HttpResponse


class Progress:
    """What came of the attempts of one call so far."""

    def __init__(self) -> None:
        #: Nodes that the call was sent to.
        self.tried: list[str] = []
        #: Shedding levels that the attempts met.
        self.levels: dict[str, int] = {}
        self.attempts = Attempts()
        #: Calls made, at all depths.
        self.calls = 0
        #: The answer that ends the call.
        self.answer: HttpResponse | None = None
        self._failed: HttpResponse | None = None
        self._refusal: Refusal | None = None

    def record_attempt(self, gateway_result: GatewayResult) -> None:
        """Take what came of an attempt."""
        answer = gateway_result.answer
        self.attempts = self.attempts.add(gateway_result)
        self.calls += 1 + gateway_result.report.calls_below
        if isinstance(answer, Refusal):
            self.record_refusal(answer, is_sent=True)
            if answer.reason == Reason.TOMBSTONE:
                # The peer is well, only its old connections were not.
                self.tried.pop()
        elif gateway_result.report.is_failure:
            self._failed = answer
        else:
            self.answer = answer

    def record_refusal(self, refusal: Refusal, *, is_sent: bool) -> None:
        """Take a refusal, of an attempt or of the choice of a server."""
        self._refusal = combine_refusals(
            self._refusal, refusal, is_sent=is_sent
        )

    def choose_answer(self) -> HttpResponse | Refusal:
        """Return the answer, a backend server's failure, or the refusal."""
        chosen = self.answer or self._failed or self._refusal
        assert chosen is not None
        return chosen
