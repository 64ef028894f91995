"""Moving averages of the use of a backend server's slots."""

import math
from typing import Final

#: Time constant in seconds of the moving averages.
TIME_CONSTANT_S: Final = 0.2


class OccupancyAverages:
    """Moving averages of the slots in use and the nested calls waiting.

    Within a control interval the values are integrated over time, and the
    mean of the interval then enters an exponentially weighted moving
    average.
    """

    def __init__(self, now: float) -> None:
        self._observed_at = now
        self._running = 0
        self._waiting = 0
        self._limit = 1.0
        self._running_integral = 0.0
        self._waiting_integral = 0.0
        self._limit_integral = 0.0
        #: Average share of the slots in use.
        self.utilization = 0.0
        #: Average ratio of waiting nested calls to slots.
        self.waiting_ratio = 0.0

    def observe(
        self, now: float, running: int, waiting: int, limit: float
    ) -> None:
        """Set the values that apply from ``now`` until the next call."""
        self._integrate(now)
        self._running = running
        self._waiting = waiting
        self._limit = limit

    def close_interval(self, now: float, elapsed_s: float) -> None:
        """Update the averages with the means since the previous update.

        :param elapsed_s: seconds since then.
        """
        self._integrate(now)
        if self._limit_integral > 0:
            weight = 1 - math.exp(-elapsed_s / TIME_CONSTANT_S)
            used = self._running_integral / self._limit_integral
            waiting = self._waiting_integral / self._limit_integral
            self.utilization += (used - self.utilization) * weight
            self.waiting_ratio += (waiting - self.waiting_ratio) * weight
        self._running_integral = 0.0
        self._waiting_integral = 0.0
        self._limit_integral = 0.0

    def _integrate(self, now: float) -> None:
        elapsed = now - self._observed_at
        self._running_integral += self._running * elapsed
        self._waiting_integral += self._waiting * elapsed
        self._limit_integral += self._limit * elapsed
        self._observed_at = now
