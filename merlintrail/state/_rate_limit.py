"""The rate of calls that a backend server states to take."""

import math
from typing import Final

#: Seconds of the rate that may be used at once after a pause.
BURST_S: Final = 0.25
#: Calls per second that are let through even at a lower limit: only the
#: answer to a call can tell that the limit has ended.
MIN_RATE: Final = 0.1
#: Seconds over which the rate of arrivals is averaged, at high limits.
AVERAGING_S: Final = 1.0
#: Calls at the limit in the time over which arrivals are averaged at least.
MIN_AVERAGED_CALLS: Final = 1.0
#: Highest load that is computed.
MAX_LOAD: Final = 2.0


class RateLimit:
    """A limit on the calls per second that are started, with a short burst.

    Each started call moves the time at which the limit is used up to by the
    interval between two calls. Calls may start until that time is ahead by the
    burst (generic cell rate algorithm).
    """

    def __init__(self) -> None:
        #: Calls per second, ``None`` without a limit.
        self.rate: float | None = None
        #: Clock time up to which the limit is used up.
        self._used_until = 0.0
        #: Average of arriving calls per second, and when it was computed.
        self._arrival_rate = 0.0
        self._arrival_rate_at = 0.0

    def update(self, rate: float | None, now: float) -> None:
        """Set the calls per second; a new limit starts without a burst."""
        rate = None if rate is None else max(MIN_RATE, rate)
        if rate is None or self.rate is None:
            self._used_until = now + BURST_S
            self._arrival_rate = 0.0
            self._arrival_rate_at = now
        else:
            ahead_s = max(0.0, self._used_until - now - BURST_S)
            self._used_until = now + BURST_S + ahead_s * self.rate / rate
        self.rate = rate

    def compute_delay(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a call may start.

        :param ahead: number of calls that start before it.
        """
        if self.rate is None:
            return 0.0
        free_at = max(self._used_until, now) + ahead / self.rate
        return max(0.0, free_at - BURST_S - now)

    def try_start(self, now: float) -> bool:
        """Count a call that starts, if it may start now."""
        is_permitted = self.compute_delay(now) <= 0
        if is_permitted:
            self.record_start(now)
        return is_permitted

    def record_start(self, now: float) -> None:
        """Count a call that starts."""
        if self.rate is not None:
            self._used_until = max(self._used_until, now) + 1 / self.rate

    def record_arrival(self, now: float) -> None:
        """Count a call that asks to start."""
        if self.rate is not None:
            self._update_arrival_rate(now)
            self._arrival_rate += 1 / self._averaging_s

    def compute_load(self, now: float) -> float:
        """Return the rate of arrivals in terms of the limit."""
        if self.rate is None:
            return 0.0
        self._update_arrival_rate(now)
        return min(MAX_LOAD, self._arrival_rate / self.rate)

    @property
    def _averaging_s(self) -> float:
        """Seconds over which arrivals are averaged; longer for low limits."""
        return compute_averaging_time(self.rate)

    def _update_arrival_rate(self, now: float) -> None:
        elapsed_s = now - self._arrival_rate_at
        self._arrival_rate *= math.exp(-elapsed_s / self._averaging_s)
        self._arrival_rate_at = now


def compute_averaging_time(rate: float | None) -> float:
    """Return the seconds over which arrivals are averaged at a limit."""
    if rate is None:
        return AVERAGING_S
    return max(AVERAGING_S, MIN_AVERAGED_CALLS / max(MIN_RATE, rate))
