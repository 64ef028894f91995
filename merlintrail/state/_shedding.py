"""Shedding levels: set at a backend server, followed by its callers."""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from merlintrail.protocol import MAX_PRIORITY, SUBLEVELS

#: Seconds of one window of the controller.
WINDOW_S: Final = 0.1
#: Offered load in relation to capacity at which the queue stays filled.
FILL_RATIO: Final = 1.1
#: Seconds over which counts of earlier windows fade, at least.
MIN_MEMORY_S: Final = 0.3
#: The same in service times, so that a slow backend server is judged by
#: enough completions.
MEMORY_SERVICE_TIMES: Final = 3.0
#: Seconds over which slots in use and calls waiting are averaged.
OCCUPANCY_MEMORY_S: Final = 0.2
#: Calls below others that may wait, in relation to the slots.
WAITING_TARGET: Final = 0.15
#: Share of slots in use from which the level falls slowly.
BUSY_SHARE: Final = 0.7
#: Seconds that a raised level takes to show in the load.
FEEDBACK_S: Final = 0.4
#: Seconds that a reported level holds before it falls back.
HOLD_S: Final = 0.3
#: Priorities a second by which an old level falls back.
FALLBACK_PER_S: Final = 48.0
#: Places of each importance class that pass also when the class is shed, so
#: that none is shut out and its levels stay known.
OPEN_PLACES: Final = 4
#: Entries of a level table above which stale ones are removed.
MAX_ENTRIES: Final = 4096


def is_shed(priority: int, level: int) -> bool:
    """Tell whether a level keeps a priority out."""
    if priority >= level:
        return False
    return priority % SUBLEVELS < SUBLEVELS - OPEN_PLACES


class _Occupancy:
    """Slots in use and calls waiting, averaged over time."""

    def __init__(self, now: float) -> None:
        self._observed_at = now
        self._running = 0
        self._waiting = 0
        self._limit = 1
        self._running_area = 0.0
        self._waiting_area = 0.0
        self._limit_area = 0.0
        #: Share of the slots in use.
        self.used_share = 0.0
        #: Calls waiting in relation to the slots.
        self.waiting_share = 0.0

    def observe(
        self, now: float, running: int, waiting: int, limit: int
    ) -> None:
        """Take the numbers that hold from now on."""
        self._advance(now)
        self._running = running
        self._waiting = waiting
        self._limit = limit

    def close_window(self, now: float, windows: int) -> None:
        """Fold what was observed since the last time into the averages."""
        self._advance(now)
        if self._limit_area > 0:
            weight = 1 - math.exp(-windows * WINDOW_S / OCCUPANCY_MEMORY_S)
            used = self._running_area / self._limit_area
            waiting = self._waiting_area / self._limit_area
            self.used_share += (used - self.used_share) * weight
            self.waiting_share += (waiting - self.waiting_share) * weight
        self._running_area = 0.0
        self._waiting_area = 0.0
        self._limit_area = 0.0

    def _advance(self, now: float) -> None:
        elapsed = now - self._observed_at
        self._running_area += self._running * elapsed
        self._waiting_area += self._waiting * elapsed
        self._limit_area += self._limit * elapsed
        self._observed_at = now


class SheddingController:
    """Sets the shedding level of one backend server.

    While calls are refused for lack of capacity the level rises at once to
    where the offered load fits what was completed. Calls below others are
    not refused but wait, and while they wait their requests make no further
    calls: there the level rises by the share of the load that waits, not
    more often than a change takes to show. Otherwise it falls, by steps
    that double when the backend server is not even saturated.
    """

    def __init__(self, now: float) -> None:
        self._level = 0
        self._step = 1
        #: Decayed counts of arrivals for each priority.
        self._arrivals = [0.0 for _ in range(MAX_PRIORITY + 1)]
        self._completions = 0.0
        self._service_s = 0.0
        self._has_overflowed = False
        self._was_saturated = False
        self._started_at = now
        self._occupancy = _Occupancy(now)
        self._pressed_at = now - FEEDBACK_S

    @property
    def level(self) -> int:
        """The level as it was when last read, without a step of time."""
        return self._level

    def read_level(self, now: float) -> int:
        """Return the level; calls of a lower priority are refused."""
        if now - self._started_at >= WINDOW_S:
            self._close_window(now)
        return self._level

    def record_arrival(self, now: float, priority: int) -> None:
        """Count a call that reached the backend server's node."""
        self.read_level(now)
        self._arrivals[priority] += 1

    def record_completion(self, service_s: float) -> None:
        """Count a call that the backend server finished.

        :param service_s: mean time for which calls hold their slot.
        """
        self._completions += 1
        self._service_s = service_s

    def record_occupancy(
        self, now: float, running: int, waiting: int, limit: int
    ) -> None:
        """Take the slots in use and the calls below others that wait."""
        self._occupancy.observe(now, running, waiting, limit)

    def record_saturation(self) -> None:
        """Take note that every slot was in use."""
        self._was_saturated = True

    def record_overflow(self) -> None:
        """Take note that a call was refused for lack of capacity."""
        self._has_overflowed = True

    def _close_window(self, now: float) -> None:
        windows = max(1, int((now - self._started_at) / WINDOW_S))
        self._occupancy.close_window(now, windows)
        if self._has_overflowed:
            self._step = 1
            self._level = max(self._level, self._find_fitting_level())
        if self._occupancy.waiting_share > WAITING_TARGET:
            self._press(now)
        elif not self._has_overflowed:
            self._fall(windows)
        memory_s = max(MIN_MEMORY_S, self._service_s * MEMORY_SERVICE_TIMES)
        decay = math.exp(-windows * WINDOW_S / memory_s)
        self._arrivals = [count * decay for count in self._arrivals]
        self._completions *= decay
        self._has_overflowed = False
        self._was_saturated = False
        self._started_at = now

    def _press(self, now: float) -> None:
        """Raise the level by the share of the load that waits."""
        self._step = 1
        if now - self._pressed_at < FEEDBACK_S:
            return
        self._pressed_at = now
        waiting = self._occupancy.waiting_share
        to_shed = sum(self._arrivals) * waiting / (1 + waiting)
        shed = 0.0
        for priority, count in enumerate(self._arrivals):
            shed += count
            if shed >= to_shed:
                self._level = min(MAX_PRIORITY, max(self._level, priority + 1))
                return

    def _fall(self, windows: int) -> None:
        is_busy = self._occupancy.used_share > BUSY_SHARE
        if self._was_saturated or is_busy:
            self._step = 1
        else:
            self._step = min(self._step * 2, MAX_PRIORITY)
        self._level = max(0, self._level - self._step * windows)

    def _find_fitting_level(self) -> int:
        room = self._completions * FILL_RATIO + 1
        offered = 0.0
        for priority in range(MAX_PRIORITY, -1, -1):
            offered += self._arrivals[priority]
            if offered > room:
                return min(priority + 1, MAX_PRIORITY)
        return 0


class ReportedLevel(NamedTuple):
    """A level as last told, and when."""

    level: int
    reported_at: float

    def compute_level(self, now: float) -> int:
        """Return the level after its gradual fallback."""
        age_s = now - self.reported_at - HOLD_S
        if age_s <= 0:
            return self.level
        return max(0, self.level - int(age_s * FALLBACK_PER_S))


class SheddingLevelTable:
    """Levels that answers brought from elsewhere, by name."""

    def __init__(self) -> None:
        self._levels: dict[str, ReportedLevel] = {}

    def record(self, name: str, level: int, now: float) -> None:
        """Take a level; a lower one only replaces what has fallen back."""
        if level <= 0 and name not in self._levels:
            return
        if len(self._levels) > MAX_ENTRIES:
            self._remove_stale(now)
        self._levels[name] = ReportedLevel(level, now)

    def read(self, name: str, now: float) -> int:
        """Return the level in force for a name, 0 when nothing is known."""
        known = self._levels.get(name)
        return 0 if known is None else known.compute_level(now)

    def read_lowest(self, names: Iterable[str], now: float) -> int:
        """Return the lowest level among several names."""
        return min((self.read(name, now) for name in names), default=0)

    def _remove_stale(self, now: float) -> None:
        self._levels = {
            name: known
            for name, known in self._levels.items()
            if known.compute_level(now) > 0
        }
