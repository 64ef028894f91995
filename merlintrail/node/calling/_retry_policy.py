"""Decisions on whether a failed or refused call is sent again."""

import enum
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.node._calls import GatewayResult, OutgoingCall
from merlintrail.node._suspect_quarantine import SuspectQuarantine
from merlintrail.protocol import Outcome, Reason, Refusal
from merlintrail.transport import HttpResponse

#: Maximum number of redirects of one call.
MAX_REDIRECTS: Final = 2
#: Refusal reasons after which another backend server may accept the call.
_RETRYABLE_REASONS: Final = frozenset(
    (
        Reason.OVERLOAD,
        Reason.RATE_LIMITED,
        Reason.DEADLINE_UNREACHABLE,
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
        Reason.NO_ROOM,
        Reason.SUSPECT_ALREADY_RUNNING,
        Reason.REPEAT_SHARE_SPENT,
    )
)
#: Refusal reasons that, with the outcome ``not-run``, mean that the call
#: reached a backend server, which did not run it.
_BACKEND_REJECTIONS: Final = frozenset(
    (Reason.BACKEND_REFUSED, Reason.BACKEND_DISPLACED)
)


class Attempts(NamedTuple):
    """Numbers of attempts made for one call."""

    #: Attempts in which the call reached a backend server, or may have.
    delivered: int = 0
    #: Attempts in which it provably reached none.
    redirects: int = 0

    def add(self, gateway_result: GatewayResult) -> 'Attempts':
        """Return the numbers with one more attempt."""
        answer = gateway_result.answer
        if isinstance(answer, Refusal):
            is_proven_not_run = answer.outcome == Outcome.NOT_RUN
            if is_proven_not_run and answer.reason not in _BACKEND_REJECTIONS:
                return self._replace(redirects=self.redirects + 1)
        return self._replace(delivered=self.delivered + 1)


class RetryDecision(enum.StrEnum):
    """Decision on sending a call again, with the reason."""

    #: The call reached no backend server and goes to another one.
    REDIRECT = 'redirect'
    #: The retry account allows a retry.
    RETRY = 'retry'
    #: The report excludes a retry, the deadline has passed, or the request
    #: is quarantined.
    HOPELESS = 'hopeless'
    #: The call may have run and is not idempotent.
    NOT_IDEMPOTENT = 'not-idempotent'
    #: Another backend server would refuse the call for the same reason.
    FINAL = 'final-reason'
    #: The limit of the route on attempts, or that on redirects, is reached.
    NO_ATTEMPT_LEFT = 'no-attempt-left'
    #: The retry account of the request is empty.
    ACCOUNT_EMPTY = 'account-empty'

    @property
    def is_allowed(self) -> bool:
        """Whether the call is sent again."""
        return self in {RetryDecision.REDIRECT, RetryDecision.RETRY}


class RetryPolicy:
    """Decides on further attempts, within the limits on retries.

    After an attempt that reached no backend server the call is redirected,
    which does not count as a retry. A retry is charged to the account of the
    request and, because it adds load to the service, needs room in the bound
    of the fleet: in the share at the node that it is sent to, else in the
    base.
    """

    def __init__(
        self,
        suspect_quarantine: SuspectQuarantine,
        clock: Callable[[], float],
    ) -> None:
        self._suspect_quarantine = suspect_quarantine
        self._clock = clock

    def decide(
        self,
        call: OutgoingCall,
        gateway_result: GatewayResult,
        attempts: Attempts,
    ) -> RetryDecision:
        """Decide whether to send a call again, and charge a retry."""
        is_hopeless = (
            not gateway_result.report.may_retry
            or call.deadline <= self._clock()
            or self._suspect_quarantine.is_quarantined(call)
        )
        if is_hopeless:
            return RetryDecision.HOPELESS
        answer = gateway_result.answer
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
        if call.account.spend():
            return RetryDecision.RETRY
        return RetryDecision.ACCOUNT_EMPTY


def _decide_redirect(attempts: Attempts) -> RetryDecision:
    if attempts.redirects <= MAX_REDIRECTS:
        return RetryDecision.REDIRECT
    return RetryDecision.NO_ATTEMPT_LEFT


def has_failed_in_backend(gateway_result: GatewayResult) -> bool | None:
    """Tell whether a call failed in its backend server.

    :returns: ``None`` when the attempt does not show it.
    """
    answer = gateway_result.answer
    report = gateway_result.report
    if isinstance(answer, HttpResponse):
        is_own_failure = report.may_retry
        return is_own_failure if report.is_failure else False
    return True if _is_backend_failure(answer) else None


def _is_backend_failure(refusal: Refusal) -> bool:
    return refusal.reason in {Reason.BACKEND_REFUSED, Reason.BACKEND_LOST}
