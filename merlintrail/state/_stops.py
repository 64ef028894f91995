"""Planned stops as they concern one instance."""

from typing import Final

from merlintrail.state._document import Configuration, PlannedStop

#: Seconds before a window at which an instance no longer takes new calls,
#: beyond the deadline of each call.
STOP_MARGIN_S: Final = 2.0


def find_planned_stop(
    configuration: Configuration,
    instance: str,
    data_centre: str,
    wall_time_s: float,
) -> PlannedStop | None:
    """Return the first window of an instance that has not ended."""
    windows = [
        stop
        for stop in configuration.planned_stops
        if stop.covers(instance, data_centre) and stop.ends_at > wall_time_s
    ]
    return min(windows, key=lambda stop: stop.starts_at, default=None)


def overlaps_planned_stop(
    stop: PlannedStop | None, wall_time_s: float, remaining_s: float
) -> bool:
    """Tell whether a call could still run when the window starts."""
    if stop is None:
        return False
    return wall_time_s + remaining_s + STOP_MARGIN_S > stop.starts_at
