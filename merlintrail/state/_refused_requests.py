"""Refused callers: when they are to come back, and how they are met."""

from collections import OrderedDict
from typing import Final

from merlintrail.protocol import SUBLEVELS

#: Seconds for which a refused request is remembered.
MEMORY_S: Final = 10.0
#: Refused requests that are remembered at a time.
MAX_REMEMBERED: Final = 4096
#: Places within its class by which a request that comes back is ahead.
HEAD_START: Final = 16
#: Part of the objective after which a caller comes back, least and most.
#: Within it a request can still be answered in time.
MIN_OBJECTIVE_PART: Final = 0.2
MAX_OBJECTIVE_PART: Final = 0.5
#: Seconds after which a caller comes back at the earliest.
MIN_PAUSE_S: Final = 0.1
#: Seconds over which callers without an objective are spread.
SPREAD_S: Final = 2.0


class RefusedRequests:
    """Requests that were refused lately, by their digests."""

    def __init__(self) -> None:
        self._refused_at: OrderedDict[str, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Tell whether any request is remembered."""
        return bool(self._refused_at)

    def record(self, digest: str, now: float) -> None:
        """Remember a request that was refused."""
        self._refused_at[digest] = now
        self._refused_at.move_to_end(digest)
        self._forget(now)

    def pop(self, digest: str, now: float) -> bool:
        """Tell whether a request was refused before, and forget it."""
        self._forget(now)
        return self._refused_at.pop(digest, None) is not None

    def _forget(self, now: float) -> None:
        while self._refused_at:
            oldest = next(iter(self._refused_at.values()))
            is_full = len(self._refused_at) > MAX_REMEMBERED
            if now - oldest <= MEMORY_S and not is_full:
                return
            self._refused_at.popitem(last=False)


def raise_priority(priority: int) -> int:
    """Return the priority of a request that comes back, in its class."""
    place = priority % SUBLEVELS
    raised = min(SUBLEVELS - 1, place + HEAD_START)
    return priority - place + raised


def compute_retry_after(
    retry_after_s: float, objective_s: float | None, draw: float
) -> float:
    """Return the seconds after which a refused caller should come back.

    :param retry_after_s: pause without an objective, before the spread.
    :param draw: random number from 0 to 1.
    """
    if objective_s is None:
        return retry_after_s + draw * SPREAD_S
    part = MIN_OBJECTIVE_PART + draw * (MAX_OBJECTIVE_PART - MIN_OBJECTIVE_PART)
    return max(MIN_PAUSE_S, objective_s * part)
