"""Estimated demand by importance class, including the calls that are shed."""

import math
from typing import Final

from merlintrail.protocol import MAX_PRIORITY, SUBLEVELS, Importance

#: Number of sublevels at the top of each importance class that are exempt
#: from shedding. The calls that still pass keep every class partly served,
#: show its demand, and keep reporting the current levels to the callers.
EXEMPT_SUBLEVELS: Final = 4
#: The same for classes that are one, two or three below that of the level.
#: There, what is exempt could otherwise exceed the capacity by itself, and
#: more important calls be shed for it.
_EXEMPT_SUBLEVELS_BELOW: Final = (EXEMPT_SUBLEVELS, 2, 1)
#: Level above which calls of the highest class are shed.
_HIGHEST_CLASS_LEVEL: Final = Importance.CRITICAL * SUBLEVELS
#: Highest sublevel to which retried requests are raised. It is left out of
#: the estimate, because it holds more requests than the others.
MAX_RAISED_SUBLEVEL: Final = SUBLEVELS - EXEMPT_SUBLEVELS - 1
_COUNTED_SUBLEVELS: Final = SUBLEVELS - 1
#: Time constant in seconds of the estimate while the whole class passes.
TIME_CONSTANT_S: Final = 2.0
#: Ratio by which calls of the highest class may exceed the admissible rate.
HIGHEST_CLASS_MARGIN: Final = 1.5


def is_shed(priority: int, level: int) -> bool:
    """Return whether calls of a priority are shed at a level.

    Calls at or above the level pass, and so do exempt sublevels below it.
    """
    if priority >= level:
        return False
    importance, sublevel = divmod(priority, SUBLEVELS)
    return sublevel < SUBLEVELS - _count_exempt(importance, level)


class DemandEstimate:
    """Rate of calls of each importance class, were none of them shed.

    The requests of a class are spread evenly over its sublevels, so that those
    that pass show the rate of the others.
    """

    def __init__(self) -> None:
        self._counts = [0 for _ in Importance]
        #: Estimated calls per second by importance class.
        self._rates = [0.0 for _ in Importance]

    def record(self, priority: int, level: int) -> None:
        """Count a call that arrived.

        :param level: level at which it arrived.
        """
        importance, sublevel = divmod(priority, SUBLEVELS)
        is_counted = sublevel != MAX_RAISED_SUBLEVEL
        if is_counted and not is_shed(priority, level):
            self._counts[importance] += 1

    def update(self, elapsed_s: float, level: int) -> None:
        """Update the estimate with the calls counted since the last update.

        The estimate of a class of which nothing passes stays as it is.

        :param elapsed_s: seconds since then.
        :param level: level at which the calls arrived.
        """
        for importance in Importance:
            shed = _count_shed(importance, level)
            shed -= int(shed > MAX_RAISED_SUBLEVEL)
            passing = _COUNTED_SUBLEVELS - shed
            if not passing:
                continue
            share = passing / _COUNTED_SUBLEVELS
            count = self._counts[importance]
            rate = count * SUBLEVELS / passing / elapsed_s
            # The fewer sublevels pass, the less the sample tells.
            weight = 1 - math.exp(-elapsed_s * share / TIME_CONSTANT_S)
            self._rates[importance] += (rate - self._rates[importance]) * weight
            self._counts[importance] = 0

    def scale(self, factor: float) -> None:
        """Multiply the estimates of all classes."""
        self._rates = [rate * factor for rate in self._rates]

    def find_level(self, admissible_rate: float) -> int:
        """Return the lowest level at which no more than a rate passes.

        Calls of the highest class are shed only if they exceed the rate by a
        margin, because an error of the estimates must not shed them.
        """
        for level in range(MAX_PRIORITY):
            is_highest_class = level > _HIGHEST_CLASS_LEVEL
            margin = HIGHEST_CLASS_MARGIN if is_highest_class else 1.0
            if self.compute_passing_rate(level) <= admissible_rate * margin:
                return level
        return MAX_PRIORITY

    def compute_passing_rate(self, level: int) -> float:
        """Return the calls per second that are not shed at a level."""
        return sum(
            rate * (1 - _count_shed(importance, level) / SUBLEVELS)
            for importance, rate in enumerate(self._rates)
        )


def _count_exempt(importance: int, level: int) -> int:
    """Return how many sublevels of a class are exempt at a level.

    None is while calls of the highest class are shed.
    """
    is_highest_shed = level > _HIGHEST_CLASS_LEVEL
    if is_highest_shed and importance != Importance.CRITICAL:
        return 0
    classes_below = (level - 1) // SUBLEVELS - importance
    return _EXEMPT_SUBLEVELS_BELOW[max(0, classes_below - 1)]


def _count_shed(importance: int, level: int) -> int:
    """Return how many sublevels of a class are shed at a level."""
    return min(
        SUBLEVELS - _count_exempt(importance, level),
        max(0, level - importance * SUBLEVELS),
    )
