"""Load shedding by priority.

The node of a backend server computes a shedding level from its load and
reports it to callers, which then stop sending calls of lower priority.
"""

from collections import deque
from typing import Final

from merlintrail.state._demand import DemandEstimate
from merlintrail.state._occupancy import OccupancyAverages

#: Control interval in seconds.
CONTROL_INTERVAL_S: Final = 0.1
#: Weight of a new sample in the moving average of the service time.
SERVICE_TIME_WEIGHT: Final = 0.05
#: Ratio of waiting nested calls to slots that the level aims at, so that a
#: slot that becomes free is used at once.
TARGET_WAITING_RATIO: Final = 0.3
#: Ratio above which the load exceeds the capacity.
MAX_WAITING_RATIO: Final = 0.6
#: Share of refused calls above which the load exceeds the capacity.
MAX_REFUSED_SHARE: Final = 0.1
#: Seconds in which waiting calls beyond the target are to be worked off.
DRAIN_TIME_S: Final = 2.0
#: Largest share of the capacity that is kept back to work them off.
MAX_DRAIN_SHARE: Final = 0.15
#: Bounds of the factor by which the estimated capacity is corrected.
MIN_CORRECTION: Final = 0.3
MAX_CORRECTION: Final = 1.2
#: Factor on the correction when the load exceeds the capacity.
CORRECTION_DECREASE: Final = 0.95
#: Share of the waiting ratio below which it counts as falling.
FALLING_SHARE: Final = 0.9
#: Rise of the correction per second while no slot is free.
CORRECTION_RISE_PER_S: Final = 0.05
#: The same for each 1 of utilization below full use.
IDLE_CORRECTION_RISE_PER_S: Final = 1.0
#: Share of the slots in use below which calls should not be shed.
IDLE_UTILIZATION: Final = 0.7
#: Factor on the estimated demand in each interval in which they are shed
#: nevertheless. Little of a class shows the end of a surge too slowly.
IDLE_DEMAND_FACTOR: Final = 0.9
#: Seconds until a change of the level takes effect on the load, besides the
#: time in which the waiting calls are served.
FEEDBACK_DELAY_S: Final = 0.4


class SheddingController:
    """Computes the shedding level of one backend server.

    The level is the lowest one at which the estimated demand fits the
    capacity: slots divided by the time for which a call holds one. What waits
    beyond a target is worked off meanwhile.

    Demand and capacity are estimates. Nested calls are not shed but wait, and
    while they wait their requests make no further calls, so that the demand
    seems lower than it is. The estimated capacity is therefore corrected: down
    when calls wait or are refused, once in the time that a change needs to
    take effect, and up while slots are free.
    """

    def __init__(self, now: float) -> None:
        self._level = 0
        #: Levels of the last intervals, which callers may still apply.
        self._recent_levels: deque[int] = deque(
            maxlen=int(FEEDBACK_DELAY_S / CONTROL_INTERVAL_S)
        )
        #: The highest of them; the calls above it pass at every caller.
        self._passing_level = 0
        self._demand = DemandEstimate()
        self._occupancy = OccupancyAverages(now)
        self._limit = 1
        #: Calls per second that the backend server states to take, ``None``
        #: for no limit.
        self.rate_limit: float | None = None
        self._service_s = 0.0
        self._correction = 1.0
        self._corrected_until = now
        #: Waiting ratio when the correction was last considered.
        self._waiting_ratio = 0.0
        self._arrivals = 0
        self._refusals = 0
        self._interval_started_at = now

    @property
    def level(self) -> int:
        """The level as last computed; does not run the controller."""
        return self._level

    def read_level(self, now: float) -> int:
        """Return the level, updated first if a control interval has passed.

        Calls below the level are refused; see :func:`is_shed`.
        """
        if now - self._interval_started_at >= CONTROL_INTERVAL_S:
            self._close_interval(now)
        return self._level

    def record_arrival(self, now: float, priority: int) -> None:
        """Count a call that arrived at the node, whether admitted or not."""
        self.read_level(now)
        self._demand.record(priority, self._passing_level)
        self._arrivals += 1

    def record_completion(self, held_s: float) -> None:
        """Record a call that the backend server completed.

        :param held_s: seconds for which it held a slot.
        """
        if not self._service_s:
            self._service_s = held_s
        change_s = held_s - self._service_s
        self._service_s += change_s * SERVICE_TIME_WEIGHT

    def record_occupancy(
        self, now: float, running: int, waiting: int, limit: int
    ) -> None:
        """Record the slots in use, the waiting nested calls and the limit.

        :param running: number of slots in use.
        :param waiting: number of nested calls that wait for a slot.
        :param limit: number of slots.
        """
        self._limit = limit
        self._occupancy.observe(
            now, running, waiting, self._compute_usable_slots()
        )

    def record_overflow(self) -> None:
        """Record that a call was refused or evicted for lack of capacity."""
        self._refusals += 1

    def _close_interval(self, now: float) -> None:
        elapsed_s = now - self._interval_started_at
        self._occupancy.close_interval(now, elapsed_s)
        is_overloaded = self._is_overloaded()
        self._demand.update(elapsed_s, self._passing_level)
        is_idle = self._occupancy.utilization < IDLE_UTILIZATION
        if self._level and is_idle and not is_overloaded:
            self._demand.scale(IDLE_DEMAND_FACTOR)
        self._adapt_correction(now, elapsed_s, is_overloaded=is_overloaded)
        self._arrivals = 0
        self._refusals = 0
        self._interval_started_at = now
        if self._service_s > 0:
            self._level = self._demand.find_level(
                self._compute_admissible_rate()
            )
        self._recent_levels.append(self._level)
        self._passing_level = max(self._recent_levels)

    def _is_overloaded(self) -> bool:
        refused_share = self._refusals / max(1, self._arrivals)
        return (
            self._occupancy.waiting_ratio > MAX_WAITING_RATIO
            or refused_share > MAX_REFUSED_SHARE
        )

    def _compute_admissible_rate(self) -> float:
        """Return the calls per second that the backend server can take."""
        slots = self._compute_usable_slots()
        capacity = slots / self._service_s
        if not self._is_rate_limited():
            capacity *= self._correction
        excess = self._occupancy.waiting_ratio - TARGET_WAITING_RATIO
        drain_rate = max(0.0, excess) * slots / DRAIN_TIME_S
        return capacity - min(drain_rate, capacity * MAX_DRAIN_SHARE)

    def _compute_usable_slots(self) -> float:
        """Return the slots that can be in use at a time.

        A rate limit bounds them by the time for which a call holds one.
        """
        if self.rate_limit is None or not self._service_s:
            return self._limit
        return min(self._limit, self.rate_limit * self._service_s)

    def _is_rate_limited(self) -> bool:
        """Return whether the stated rate, an exact capacity, binds."""
        return self._compute_usable_slots() < self._limit

    def _adapt_correction(
        self, now: float, elapsed_s: float, *, is_overloaded: bool
    ) -> None:
        """Correct the estimated capacity by what its last value led to."""
        if self._is_rate_limited():
            return
        if is_overloaded:
            if now < self._corrected_until:
                return
            waiting_ratio = self._occupancy.waiting_ratio
            is_falling = waiting_ratio < self._waiting_ratio * FALLING_SHARE
            self._waiting_ratio = waiting_ratio
            waiting_s = waiting_ratio * self._service_s
            self._corrected_until = now + FEEDBACK_DELAY_S + waiting_s
            if not is_falling:
                self._correction = max(
                    MIN_CORRECTION, self._correction * CORRECTION_DECREASE
                )
        elif self._occupancy.waiting_ratio < TARGET_WAITING_RATIO:
            idle = 1 - self._occupancy.utilization
            rise_per_s = (
                CORRECTION_RISE_PER_S + idle * IDLE_CORRECTION_RISE_PER_S
            )
            self._correction = min(
                MAX_CORRECTION, self._correction + rise_per_s * elapsed_s
            )
