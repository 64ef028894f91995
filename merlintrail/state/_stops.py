"""Planned stops that affect an instance, and whether calls end before."""

from typing import Final

from merlintrail.state._document import Configuration, PlannedStop

#: Safety margin in seconds between the deadline of a call and a planned
#: stop.
STOP_MARGIN_S: Final = 2.0
#: Seconds for which a duration is remembered at least; at most twice as long.
DURATION_RETENTION_S: Final = 30.0


def find_planned_stop(
    configuration: Configuration,
    instance: str,
    data_centre: str,
    wall_time_s: float,
) -> PlannedStop | None:
    """Return the earliest planned stop of an instance that has not ended."""
    stops = [
        stop
        for stop in configuration.planned_stops
        if stop.covers(instance, data_centre) and stop.ends_at > wall_time_s
    ]
    return min(stops, key=lambda stop: stop.starts_at, default=None)


def overlaps_planned_stop(
    stop: PlannedStop | None, wall_time_s: float, remaining_s: float
) -> bool:
    """Return whether a call may still run when a planned stop begins.

    :param remaining_s: time to the deadline of the call in seconds.
    """
    if stop is None:
        return False
    return wall_time_s + remaining_s + STOP_MARGIN_S > stop.starts_at


class LongestDurations:
    """Remembers how long the longest recent request of each kind took."""

    def __init__(self, now: float) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._begun_at = now

    def record(self, kind: str, duration_s: float, now: float) -> None:
        """Record a request that was answered."""
        self._rotate(now)
        longest_s = self._current.get(kind, 0.0)
        self._current[kind] = max(longest_s, duration_s)

    def find(self, kind: str, now: float) -> float | None:
        """Return the longest duration in seconds, ``None`` without any."""
        self._rotate(now)
        known = [
            durations[kind]
            for durations in (self._current, self._previous)
            if kind in durations
        ]
        return max(known, default=None)

    def _rotate(self, now: float) -> None:
        elapsed_s = now - self._begun_at
        if elapsed_s < DURATION_RETENTION_S:
            return
        is_recent = elapsed_s < 2 * DURATION_RETENTION_S
        self._previous = self._current if is_recent else {}
        self._current = {}
        self._begun_at = now
