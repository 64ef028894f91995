"""Planned stops that affect an instance."""

from typing import Final

from merlintrail.state._document import Configuration, PlannedStop

#: Safety margin in seconds between the deadline of a call and a planned
#: stop.
STOP_MARGIN_S: Final = 2.0


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
