"""Load shedding by priority.

The node of a backend server computes a shedding level from its load and
reports it to callers, which then stop sending calls of lower priority.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from merlintrail.protocol import MAX_PRIORITY, SUBLEVELS

#: Control interval in seconds.
CONTROL_INTERVAL_S: Final = 0.1
#: Ratio of admitted load to completed calls that the level aims at. It is
#: above 1 so that the queue stays filled.
TARGET_LOAD_RATIO: Final = 1.1
#: Minimum time constant in seconds of the exponential decay of the arrival
#: and completion counts.
MIN_TIME_CONSTANT_S: Final = 0.3
#: The same time constant in mean service times. It applies when it is the
#: longer one, so that the counts of a slow backend server cover enough
#: completions.
TIME_CONSTANT_SERVICE_TIMES: Final = 3.0
#: Time constant in seconds of the moving averages of slots in use and
#: nested calls waiting.
OCCUPANCY_TIME_CONSTANT_S: Final = 0.2
#: Ratio of waiting nested calls to slots above which the level is raised.
MAX_WAITING_RATIO: Final = 0.15
#: Share of slots in use above which the level is lowered by only one
#: priority per control interval.
BUSY_UTILIZATION: Final = 0.7
#: Seconds until a raised level takes effect on the load. Nested calls that
#: wait do not raise the level again before then.
FEEDBACK_DELAY_S: Final = 0.4
#: Seconds for which a reported level is used unchanged before it decays.
HOLD_S: Final = 0.3
#: Linear decay of a reported level after that, in priorities per second.
DECAY_PER_S: Final = 48.0
#: Number of sublevels at the top of each importance class that are exempt
#: from shedding. The calls that still pass keep every class partly served,
#: and their answers keep reporting the current levels to the callers.
EXEMPT_SUBLEVELS: Final = 4
#: Table size above which entries that have decayed to 0 are removed.
MAX_ENTRIES: Final = 4096


def is_shed(priority: int, level: int) -> bool:
    """Return whether calls of a priority are shed at a level.

    Calls at or above the level pass, and so do exempt sublevels below it.
    """
    if priority >= level:
        return False
    return priority % SUBLEVELS < SUBLEVELS - EXEMPT_SUBLEVELS


class _OccupancyAverages:
    """Moving averages of the slots in use and the nested calls waiting.

    Within a control interval the values are integrated over time, and the
    mean of the interval then enters an exponentially weighted moving
    average.
    """

    def __init__(self, now: float) -> None:
        self._observed_at = now
        self._running = 0
        self._waiting = 0
        self._limit = 1
        self._running_integral = 0.0
        self._waiting_integral = 0.0
        self._limit_integral = 0.0
        #: Average share of the slots in use.
        self.utilization = 0.0
        #: Average ratio of waiting nested calls to slots.
        self.waiting_ratio = 0.0

    def observe(
        self, now: float, running: int, waiting: int, limit: int
    ) -> None:
        """Set the values that apply from ``now`` until the next call."""
        self._integrate(now)
        self._running = running
        self._waiting = waiting
        self._limit = limit

    def close_interval(self, now: float, intervals: int) -> None:
        """Update the averages with the means since the previous update.

        :param intervals: number of control intervals since then.
        """
        self._integrate(now)
        if self._limit_integral > 0:
            weight = 1 - math.exp(
                -intervals * CONTROL_INTERVAL_S / OCCUPANCY_TIME_CONSTANT_S
            )
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


class SheddingController:
    """Computes the shedding level of one backend server.

    After a capacity overflow the level is raised at once to the point where
    the offered load above it matches the completed calls.

    Nested calls are not shed but wait, and while they wait their requests
    make no further calls. When too many of them wait, the level is
    raised to shed the waiting share of the load, at most once per
    ``FEEDBACK_DELAY_S``, because a change takes that long to show.

    Otherwise the level is lowered by one priority per control interval, or
    by a step that doubles each time while the backend server is neither
    saturated nor busy (see ``BUSY_UTILIZATION``).
    """

    def __init__(self, now: float) -> None:
        self._level = 0
        self._decrease_step = 1
        #: Exponentially decayed number of arrivals by priority.
        self._arrivals = [0.0 for _ in range(MAX_PRIORITY + 1)]
        self._completions = 0.0
        self._mean_service_s = 0.0
        self._has_overflowed = False
        self._was_saturated = False
        self._interval_started_at = now
        self._occupancy = _OccupancyAverages(now)
        self._raised_at = now - FEEDBACK_DELAY_S

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
        self._arrivals[priority] += 1

    def record_completion(self, service_s: float) -> None:
        """Count a call that the backend server completed.

        :param service_s: mean time in seconds for which calls hold a slot.
        """
        self._completions += 1
        self._mean_service_s = service_s

    def record_occupancy(
        self, now: float, running: int, waiting: int, limit: int
    ) -> None:
        """Record the slots in use, the waiting nested calls and the limit.

        :param running: number of slots in use.
        :param waiting: number of nested calls that wait for a slot.
        :param limit: number of slots.
        """
        self._occupancy.observe(now, running, waiting, limit)

    def record_saturation(self) -> None:
        """Record that a call arrived and found no free slot."""
        self._was_saturated = True

    def record_overflow(self) -> None:
        """Record a sign that the load exceeds the capacity.

        This is a call that is refused or evicted from the queue for lack of
        capacity, or a nested call that has to wait too long.
        """
        self._has_overflowed = True

    def _close_interval(self, now: float) -> None:
        intervals = max(
            1, int((now - self._interval_started_at) / CONTROL_INTERVAL_S)
        )
        self._occupancy.close_interval(now, intervals)
        if self._has_overflowed:
            self._decrease_step = 1
            self._level = max(self._level, self._find_sustainable_level())
        if self._occupancy.waiting_ratio > MAX_WAITING_RATIO:
            self._raise_for_waiting(now)
        elif not self._has_overflowed:
            self._lower_level(intervals)
        time_constant_s = max(
            MIN_TIME_CONSTANT_S,
            self._mean_service_s * TIME_CONSTANT_SERVICE_TIMES,
        )
        decay = math.exp(-intervals * CONTROL_INTERVAL_S / time_constant_s)
        self._arrivals = [count * decay for count in self._arrivals]
        self._completions *= decay
        self._has_overflowed = False
        self._was_saturated = False
        self._interval_started_at = now

    def _raise_for_waiting(self, now: float) -> None:
        """Raise the level to shed the share of the load that waits.

        With all slots in use and ``waiting`` calls queued per slot, the
        queued calls are ``waiting / (1 + waiting)`` of the load. Arrivals
        are added up from the lowest priority until they reach that share.
        """
        self._decrease_step = 1
        if now - self._raised_at < FEEDBACK_DELAY_S:
            return
        self._raised_at = now
        waiting = self._occupancy.waiting_ratio
        excess = sum(self._arrivals) * waiting / (1 + waiting)
        shed_load = 0.0
        for priority, count in enumerate(self._arrivals):
            shed_load += count
            if shed_load >= excess:
                self._level = min(MAX_PRIORITY, max(self._level, priority + 1))
                return

    def _lower_level(self, intervals: int) -> None:
        """Lower the level, in doubling steps unless saturated or busy."""
        is_busy = self._occupancy.utilization > BUSY_UTILIZATION
        if self._was_saturated or is_busy:
            self._decrease_step = 1
        else:
            self._decrease_step = min(self._decrease_step * 2, MAX_PRIORITY)
        self._level = max(0, self._level - self._decrease_step * intervals)

    def _find_sustainable_level(self) -> int:
        """Return the lowest level whose admitted load fits the capacity.

        The capacity is estimated from the completed calls, and arrivals
        are added up from the highest priority until they exceed it.
        """
        capacity = self._completions * TARGET_LOAD_RATIO + 1
        offered = 0.0
        for priority in range(MAX_PRIORITY, -1, -1):
            offered += self._arrivals[priority]
            if offered > capacity:
                return min(priority + 1, MAX_PRIORITY)
        return 0


class ReportedLevel(NamedTuple):
    """A shedding level reported by another node, and when it arrived."""

    level: int
    reported_at: float

    def compute_level(self, now: float) -> int:
        """Return the level after its decay.

        It holds for ``HOLD_S`` and then decreases by ``DECAY_PER_S``.
        """
        age_s = now - self.reported_at - HOLD_S
        if age_s <= 0:
            return self.level
        return max(0, self.level - int(age_s * DECAY_PER_S))


class SheddingLevelTable:
    """Shedding levels reported in answers of other nodes, by name."""

    def __init__(self) -> None:
        self._levels: dict[str, ReportedLevel] = {}

    def record(self, name: str, level: int, now: float) -> None:
        """Store a reported level, replacing the previous one for the name.

        Level 0 of an unknown name is not stored: it is the default.
        """
        if level <= 0 and name not in self._levels:
            return
        if len(self._levels) > MAX_ENTRIES:
            self._remove_stale(now)
        self._levels[name] = ReportedLevel(level, now)

    def read(self, name: str, now: float) -> int:
        """Return the current level for a name, or 0 for an unknown name."""
        entry = self._levels.get(name)
        return 0 if entry is None else entry.compute_level(now)

    def read_lowest(self, names: Iterable[str], now: float) -> int:
        """Return the lowest level among the names, or 0 for no names."""
        return min((self.read(name, now) for name in names), default=0)

    def _remove_stale(self, now: float) -> None:
        self._levels = {
            name: entry
            for name, entry in self._levels.items()
            if entry.compute_level(now) > 0
        }
