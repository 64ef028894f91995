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


class ShedController:
    """Sets the shedding level of one backend server.

    While calls are refused for lack of capacity the level rises at once to
    where the offered load fits what was completed. Otherwise it falls, by
    steps that double when the backend server is not even saturated.
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

    def record_saturation(self) -> None:
        """Take note that every slot was in use."""
        self._was_saturated = True

    def record_overflow(self) -> None:
        """Take note that a call was refused for lack of capacity."""
        self._has_overflowed = True

    def _close_window(self, now: float) -> None:
        windows = max(1, int((now - self._started_at) / WINDOW_S))
        if self._has_overflowed:
            self._step = 1
            self._level = max(self._level, self._find_fitting_level())
        else:
            self._fall(windows)
        memory_s = max(MIN_MEMORY_S, self._service_s * MEMORY_SERVICE_TIMES)
        decay = math.exp(-windows * WINDOW_S / memory_s)
        self._arrivals = [count * decay for count in self._arrivals]
        self._completions *= decay
        self._has_overflowed = False
        self._was_saturated = False
        self._started_at = now

    def _fall(self, windows: int) -> None:
        self._step = 1 if self._was_saturated else self._step * 2
        self._step = min(self._step, MAX_PRIORITY)
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


class LevelTable:
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
