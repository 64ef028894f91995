"""What an ingress remembers of requests for the retries of their callers."""

from collections.abc import Callable

from merlintrail.node._calls import (
    CallResult,
    OutgoingCall,
    compute_call_digest,
)
from merlintrail.protocol import Outcome, Refusal
from merlintrail.state import FailedRequests, RefusedRequests, raise_priority


class CallerRetries:
    """Recognizes requests that were refused or failed a short time ago.

    One that was refused gets a higher priority when the caller retries it. One
    that failed goes to another region; see :class:`FailedRequests`.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._refused = RefusedRequests()
        self._failed = FailedRequests()

    def prepare(self, call: OutgoingCall) -> OutgoingCall:
        """Return the call as it is to be sent if it is a retry."""
        if not (self._refused or self._failed):
            return call
        digest = compute_call_digest(call)
        now = self._clock()
        if self._refused.pop(digest, now):
            call = call._replace(priority=raise_priority(call.priority))
        return call._replace(failed_data_centre=self._failed.pop(digest, now))

    def record(self, call: OutgoingCall, call_result: CallResult) -> None:
        """Remember a call that was refused or failed.

        Callers do not retry a failed call that is not idempotent.
        """
        answer = call_result.answer
        now = self._clock()
        if isinstance(answer, Refusal) and answer.outcome == Outcome.NOT_RUN:
            self._refused.record(compute_call_digest(call), now)
        elif call_result.failed_data_centre and call.is_idempotent:
            self._failed.record(
                compute_call_digest(call), call_result.failed_data_centre, now
            )
