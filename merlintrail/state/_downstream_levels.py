"""Shedding levels of services further down, as an ingress follows them."""

from collections.abc import Mapping
from typing import Final

from merlintrail.state._shedding import SheddingLevelTable

#: Seconds after which a kind that no longer reaches a service forgets it.
REACH_MEMORY_S: Final = 60.0
#: Seconds for which the end of shedding is told.
TOLD_AFTER_S: Final = 2.0


def build_level_key(service: str, data_centre: str) -> str:
    """Return the name under which levels of a service are told."""
    return f'{service}@{data_centre}'


class DownstreamLevels:
    """Levels of services by data centre, and which kinds reach them.

    An answer of any kind tells the levels that it met. They hold for every
    kind that reaches the same services, so that the traffic of important
    kinds keeps the levels for lesser ones current. Calls below a request
    mostly stay in the data centre that it was sent to.
    """

    def __init__(self) -> None:
        self._levels = SheddingLevelTable()
        self._reach: dict[str, dict[str, float]] = {}

    def record(
        self,
        kind: str,
        data_centre: str,
        levels: Mapping[str, int],
        now: float,
    ) -> None:
        """Take the levels that an answer of a kind told.

        A call below that left the data centre of its request tells what the
        next request there will meet.

        :param data_centre: where the request was sent.
        :param levels: levels by the names that :func:`build_level_key` gives.
        """
        met: dict[str, int] = {}
        for place, level in levels.items():
            service = place.partition('@')[0]
            self._reach.setdefault(kind, {})[service] = now
            self._levels.record(place, level, now)
            met[service] = max(level, met.get(service, 0))
        for service, highest in met.items():
            self._levels.record(
                build_level_key(service, data_centre), highest, now
            )

    def read(self, kind: str, data_centre: str, now: float) -> int:
        """Return the highest level on the way of a kind in a data centre."""
        reached = self._reach.get(kind)
        if not reached:
            return 0
        for name, told_at in tuple(reached.items()):
            if now - told_at > REACH_MEMORY_S:
                del reached[name]
        return max(
            (
                self._levels.read(build_level_key(service, data_centre), now)
                for service in reached
            ),
            default=0,
        )


class LevelReportFilter:
    """Knows which services shed lately, so that the end is told too."""

    def __init__(self) -> None:
        self._shed_at: dict[str, float] = {}

    def should_report(self, service: str, level: int, now: float) -> bool:
        """Tell whether a level is worth a place in an answer."""
        if level > 0:
            self._shed_at[service] = now
            return True
        shed_at = self._shed_at.get(service)
        return shed_at is not None and now - shed_at < TOLD_AFTER_S


def merge_levels(
    levels: Mapping[str, int], others: Mapping[str, int]
) -> dict[str, int]:
    """Merge two sets of levels; the higher one of a service counts."""
    merged = dict(levels)
    for service, level in others.items():
        merged[service] = max(level, merged.get(service, 0))
    return merged
