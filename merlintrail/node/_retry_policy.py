"""Whether a call that failed or was refused is sent again."""

from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.node._calls import GateResult, OutgoingCall
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
_ELSEWHERE: Final = frozenset(
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
_HANDED: Final = frozenset((Reason.BACKEND_REFUSED, Reason.BACKEND_DISPLACED))


class Attempts(NamedTuple):
    """Attempts that were made of one call."""

    #: Those in which a backend server was handed the call, or may have been.
    handed: int = 0
    #: Those in which none was.
    redirects: int = 0

    def add(self, gate_result: GateResult) -> 'Attempts':
        """Count one more attempt."""
        answer = gate_result.answer
        if isinstance(answer, Refusal):
            is_proved = answer.outcome == Outcome.NOT_RUN
            if is_proved and answer.reason not in _HANDED:
                return self._replace(redirects=self.redirects + 1)
        return self._replace(handed=self.handed + 1)


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

    def may_send_again(
        self, call: OutgoingCall, gate_result: GateResult, made: Attempts
    ) -> bool:
        """Tell whether to send a call again, and take what that costs."""
        is_hopeless = (
            not gate_result.report.may_retry
            or call.deadline <= self._clock()
            or self._suspicions.is_convicted(call)
        )
        if is_hopeless:
            return False
        answer = gate_result.answer
        cost = 1.0 + gate_result.report.calls_below
        has_attempt = call.attempts is None or made.handed < call.attempts
        if isinstance(answer, HttpResponse):
            is_allowed = has_attempt and call.is_idempotent
            return is_allowed and self._take_retry(call, cost)
        is_proved = answer.outcome == Outcome.NOT_RUN
        is_safe = is_proved or call.is_idempotent
        if answer.reason not in _ELSEWHERE or not is_safe:
            return False
        if is_proved and answer.reason not in _HANDED:
            return made.redirects <= MAX_REDIRECTS
        return has_attempt and self._take_retry(call, cost)

    def _take_retry(self, call: OutgoingCall, cost: float) -> bool:
        """Take a retry that will make about as many calls as before."""
        if not call.account.spend():
            return False
        budget = self.budgets.find(call.service)
        is_important = call.priority >= Importance.HIGH * SUBLEVELS
        is_urgent = is_important or call.depth == 1
        return budget.spend(self._clock(), cost, is_urgent=is_urgent)


def has_failed_there(gate_result: GateResult) -> bool | None:
    """Tell whether a call failed in its backend server.

    :returns: ``None`` when the attempt tells nothing about it.
    """
    answer = gate_result.answer
    report = gate_result.report
    if isinstance(answer, HttpResponse):
        is_own = report.may_retry
        return is_own if report.is_failure else False
    return True if _is_own_failure(answer) else None


def _is_own_failure(refusal: Refusal) -> bool:
    return refusal.reason in {Reason.BACKEND_REFUSED, Reason.BACKEND_LOST}
