"""Whether a backend server takes its last slots without slowing down.

Some servers work more slowly when they are nearly full, so that a few slots
are kept free at first. For the others these slots are lost capacity. Under
saturation both ways are tried in turn, and the time that calls take decides.
"""

import math
from typing import Final

#: Share of the slots that is kept free.
RESERVED_SHARE: Final = 0.05
#: Number of slots from which on a share of them is kept free.
MIN_SLOTS_TO_RESERVE: Final = 8
#: Completed calls that are compared at least and at most, with the reserve and
#: without it. More are needed the more their times differ.
MIN_TRIAL_CALLS: Final = 100
MAX_TRIAL_CALLS: Final = 1000
#: Largest standard error of the mean times, in relation to them.
MAX_STANDARD_ERROR: Final = 0.03
#: Ratio of the mean times above which the reserve is kept.
MAX_TIME_RATIO: Final = 1.12
#: Pause in seconds after a trial that kept the reserve. It doubles with each
#: further one, up to the maximum.
TRIAL_PAUSE_S: Final = 10.0
MAX_TRIAL_PAUSE_S: Final = 600.0


class _Sample:
    """Times of completed calls."""

    def __init__(self) -> None:
        self._calls = 0
        self._sum_s = 0.0
        self._sum_of_squares = 0.0

    @property
    def mean_s(self) -> float:
        """Mean time in seconds."""
        return self._sum_s / self._calls

    def add(self, time_s: float) -> None:
        """Add one call."""
        self._calls += 1
        self._sum_s += time_s
        self._sum_of_squares += time_s * time_s

    def is_sufficient(self) -> bool:
        """Return whether the mean is known well enough to be compared."""
        if self._calls < MIN_TRIAL_CALLS:
            return False
        variance = self._sum_of_squares / self._calls - self.mean_s**2
        error_s = math.sqrt(max(0.0, variance) / self._calls)
        is_exact = error_s <= self.mean_s * MAX_STANDARD_ERROR
        return is_exact or self._calls >= MAX_TRIAL_CALLS


class SlotReserve:
    """The slots that are kept free at one backend server."""

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._reserve = compute_reserve(slots)
        #: Whether the last slots are used, for a trial or for good.
        self.is_released = False
        self._usual = _Sample()
        self._trial = _Sample()
        self._is_decided = not self._reserve
        self._pause_s = TRIAL_PAUSE_S
        self._next_trial_at = now

    @property
    def max_limit(self) -> int:
        """Number of calls that may run at a time."""
        return self._slots if self.is_released else self._slots - self._reserve

    def record(self, now: float, time_s: float, running: int) -> None:
        """Record a completed call.

        :param time_s: seconds that the backend server spent on it.
        :param running: calls in the backend server, including this one.
        """
        if self._is_decided or running < self.max_limit:
            return
        if self.is_released:
            self._trial.add(time_s)
            if self._trial.is_sufficient():
                self._decide(now)
            return
        if now < self._next_trial_at:
            return
        self._usual.add(time_s)
        self.is_released = self._usual.is_sufficient()

    def _decide(self, now: float) -> None:
        is_slower = self._trial.mean_s > self._usual.mean_s * MAX_TIME_RATIO
        self._is_decided = not is_slower
        self.is_released = not is_slower
        self._usual = _Sample()
        self._trial = _Sample()
        self._next_trial_at = now + self._pause_s
        self._pause_s = min(MAX_TRIAL_PAUSE_S, self._pause_s * 2)


def compute_reserve(slots: int) -> int:
    """Return the number of slots that are kept free at first."""
    if slots < MIN_SLOTS_TO_RESERVE:
        return 0
    return math.ceil(slots * RESERVED_SHARE)
