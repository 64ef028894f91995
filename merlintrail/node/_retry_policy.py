"""Whether a call that failed or was refused is sent again."""

import enum
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.node._calls import GatewayResult, OutgoingCall
from merlintrail.node._suspicions import Suspicions
from merlintrail.protocol import (
    SUBLEVELS,
    Importance,
    Outcome,
    Reason,
    Refusal,
)
from merlintrail.state import RetryBudgets
from merlintrail.transport import HttpResponse

#: Further nodes that a call is sent to before a backend server takes it.
MAX_REDIRECTS: Final = 2
#: Reasons after which another backend server may do better.
_RETRYABLE_REASONS: Final = frozenset(
    (
        Reason.OVERLOAD,
        Reason.DEADLINE,
        Reason.DRAINING,
        Reason.PLANNED_STOP,
        Reason.NO_BACKEND_SERVER,
        Reason.PEER_LOST,
        Reason.BACKEND_LOST,
        Reason.BACKEND_DISPLACED,
        Reason.BACKEND_REFUSED,
        Reason.STALE_INCARNATION,
        Reason.TOMBSTONE,
        Reason.NO_CONFIGURATION,
        Reason.SUSPECT_BUSY,
    )
)
#: Reasons of calls that a backend server was handed and did not run.
_BACKEND_REJECTIONS: Final = frozenset(
    (Reason.BACKEND_REFUSED, Reason.BACKEND_DISPLACED)
)


class Attempts(NamedTuple):
    """Attempts that were made of one call."""

    #: Those in which a backend server was handed the call, or may have been.
    delivered: int = 0
    #: Those in which none was.
    redirects: int = 0

    def add(self, gateway_result: GatewayResult) -> 'Attempts':
        """Count one more attempt."""
        answer = gateway_result.answer
        if isinstance(answer, Refusal):
            is_proven_not_run = answer.outcome == Outcome.NOT_RUN
            if is_proven_not_run and answer.reason not in _BACKEND_REJECTIONS:
                return self._replace(redirects=self.redirects + 1)
        return self._replace(delivered=self.delivered + 1)


class RetryDecision(enum.StrEnum):
    """Why a call is sent again, or is not."""

    #: No backend server was handed the call: another is asked.
    REDIRECT = 'redirect'
    #: The account and the budget had room.
    RETRY = 'retry'
    #: The report, the time left or a conviction rules it out.
    HOPELESS = 'hopeless'
    #: The call may have run and must not run twice.
    NOT_IDEMPOTENT = 'not-idempotent'
    #: Another backend server would refuse for the same reason.
    FINAL = 'final-reason'
    #: It was sent to as many backend servers as the route allows.
    NO_ATTEMPT_LEFT = 'no-attempt-left'
    #: The request has no retry left.
    ACCOUNT_EMPTY = 'account-empty'
    #: This node has sent as many retries to the service as it may.
    BUDGET_EMPTY = 'budget-empty'

    @property
    def is_allowed(self) -> bool:
        """Whether the call is sent again."""
        return self in {RetryDecision.REDIRECT, RetryDecision.RETRY}


class RetryPolicy:
    """Decides on further attempts, within the bounds on retries.

    A call that no backend server was handed yet is redirected; that is no
    retry. A retry takes one from the request's account and, since it adds
    to the load of a service, from the node's budget for that service.
    """

    def __init__(
        self, suspicions: Suspicions, clock: Callable[[], float]
    ) -> None:
        self._suspicions = suspicions
        self._clock = clock
        self.budgets = RetryBudgets()

    def record_first_attempt(self, call: OutgoingCall) -> None:
        """Credit the budget of the service."""
        self.budgets.find(call.service).record_attempt()

    def decide(
        self,
        call: OutgoingCall,
        gateway_result: GatewayResult,
        attempts: Attempts,
    ) -> RetryDecision:
        """Decide whether to send a call again, and take what that costs."""
        is_hopeless = (
            not gateway_result.report.may_retry
            or call.deadline <= self._clock()
            or self._suspicions.is_convicted(call)
        )
        if is_hopeless:
            return RetryDecision.HOPELESS
        answer = gateway_result.answer
        cost = 1.0 + gateway_result.report.calls_below
        has_attempt_left = (
            call.max_attempts is None or attempts.delivered < call.max_attempts
        )
        is_proven_not_run = False
        if isinstance(answer, Refusal):
            if answer.reason not in _RETRYABLE_REASONS:
                return RetryDecision.FINAL
            is_proven_not_run = answer.outcome == Outcome.NOT_RUN
            if is_proven_not_run and answer.reason not in _BACKEND_REJECTIONS:
                return _decide_redirect(attempts)
        if not (is_proven_not_run or call.is_idempotent):
            return RetryDecision.NOT_IDEMPOTENT
        if not has_attempt_left:
            return RetryDecision.NO_ATTEMPT_LEFT
        return self._spend_retry(call, cost)

    def _spend_retry(self, call: OutgoingCall, cost: float) -> RetryDecision:
        """Take a retry that will make about as many calls as before."""
        if not call.account.spend():
            return RetryDecision.ACCOUNT_EMPTY
        budget = self.budgets.find(call.service)
        is_important = call.priority >= Importance.HIGH * SUBLEVELS
        is_urgent = is_important or call.depth == 1
        if budget.spend(self._clock(), cost, is_urgent=is_urgent):
            return RetryDecision.RETRY
        return RetryDecision.BUDGET_EMPTY


def _decide_redirect(attempts: Attempts) -> RetryDecision:
    if attempts.redirects <= MAX_REDIRECTS:
        return RetryDecision.REDIRECT
    return RetryDecision.NO_ATTEMPT_LEFT


def has_failed_in_backend(gateway_result: GatewayResult) -> bool | None:
    """Tell whether a call failed in its backend server.

    :returns: ``None`` when the attempt tells nothing about it.
    """
    answer = gateway_result.answer
    report = gateway_result.report
    if isinstance(answer, HttpResponse):
        is_own_failure = report.may_retry
        return is_own_failure if report.is_failure else False
    return True if _is_backend_failure(answer) else None


def _is_backend_failure(refusal: Refusal) -> bool:
    return refusal.reason in {Reason.BACKEND_REFUSED, Reason.BACKEND_LOST}
