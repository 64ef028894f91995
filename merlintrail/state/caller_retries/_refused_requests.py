"""Retries by refused callers: when they are due and their priority."""

from collections import OrderedDict
from typing import Final

from merlintrail.protocol import SUBLEVELS
from merlintrail.state._demand import MAX_RAISED_SUBLEVEL

#: Seconds for which a refused request is recorded.
RETENTION_S: Final = 10.0
#: Largest number of refused requests recorded at a time.
MAX_REQUESTS: Final = 4096
#: Number of sublevels within its importance class by which the priority of
#: a retried request is raised.
PRIORITY_BOOST: Final = 16
#: Bounds of the retry time as shares of the objective, so that a retried
#: request can still be answered within the objective.
MIN_OBJECTIVE_SHARE: Final = 0.2
MAX_OBJECTIVE_SHARE: Final = 0.5
#: Shortest retry time in seconds for a caller with an objective.
MIN_RETRY_AFTER_S: Final = 0.1
#: Seconds over which the retries of callers without an objective are spread
#: at random (jitter).
JITTER_S: Final = 2.0


class RefusedRequests:
    """Digests of the requests that were refused recently, oldest first."""

    def __init__(self) -> None:
        self._refused_at: OrderedDict[str, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether any request is recorded."""
        return bool(self._refused_at)

    def record(self, digest: str, now: float) -> None:
        """Record a refused request."""
        self._refused_at[digest] = now
        self._refused_at.move_to_end(digest)
        self._remove_expired(now)

    def pop(self, digest: str, now: float) -> bool:
        """Remove a request and return whether it was recorded."""
        self._remove_expired(now)
        return self._refused_at.pop(digest, None) is not None

    def _remove_expired(self, now: float) -> None:
        """Remove expired requests and the oldest above ``MAX_REQUESTS``."""
        while self._refused_at:
            oldest = next(iter(self._refused_at.values()))
            is_full = len(self._refused_at) > MAX_REQUESTS
            if now - oldest <= RETENTION_S and not is_full:
                return
            self._refused_at.popitem(last=False)


def raise_priority(priority: int) -> int:
    """Return the priority of a retried request within its class.

    It does not become exempt from shedding: in a surge, retried requests of
    low importance alone could otherwise exceed the capacity.
    """
    sublevel = priority % SUBLEVELS
    raised = min(MAX_RAISED_SUBLEVEL, sublevel + PRIORITY_BOOST)
    return priority - sublevel + max(sublevel, raised)


def compute_retry_after(
    retry_after_s: float,
    objective_s: float | None,
    draw: float,
    earliest_s: float = 0.0,
) -> float:
    """Return the seconds after which a refused caller should retry.

    :param retry_after_s: retry time without an objective, before jitter.
    :param objective_s: time in seconds within which an answer has its full
        value, if stated.
    :param draw: random number from 0 to 1.
    :param earliest_s: seconds until which a retry is known to be refused.
    """
    if objective_s is None:
        return retry_after_s + draw * JITTER_S
    share = MIN_OBJECTIVE_SHARE + draw * (
        MAX_OBJECTIVE_SHARE - MIN_OBJECTIVE_SHARE
    )
    return max(MIN_RETRY_AFTER_S, objective_s * share, earliest_s)
