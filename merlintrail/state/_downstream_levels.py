"""Shedding levels of downstream services, by which requests are routed."""

from collections.abc import Mapping
from typing import Final

from merlintrail.state._reported_levels import SheddingLevelTable

#: Seconds without a report after which a request kind is no longer assumed
#: to call a service.
DEPENDENCY_RETENTION_S: Final = 60.0
#: Seconds without a report after which requests to a data centre are no
#: longer assumed to meet a level.
MEETING_RETENTION_S: Final = 2.0
#: Seconds for which a level of 0 is reported after a service has shed.
REPORT_ZERO_S: Final = 2.0


def build_level_key(service: str, data_centre: str) -> str:
    """Return the key under which the level of a service is reported."""
    return f'{service}@{data_centre}'


class DownstreamLevels:
    """Shedding levels of services by data centre, and which kinds call them.

    An answer reports the levels of the services that its request called.
    They apply to every request kind that calls the same services, so that
    requests of high priority, which are still sent, keep the levels for
    lower-priority kinds up to date. Levels are kept by data centre because
    nested calls mostly stay in the data centre of their request.
    """

    def __init__(self) -> None:
        self._levels = SheddingLevelTable()
        #: Clock time of the last report by request kind and service.
        self._dependencies: dict[str, dict[str, float]] = {}
        #: Clock time of the last report by key of a level, for each service
        #: and data centre to which requests were sent.
        self._met_keys: dict[str, dict[str, float]] = {}

    def record(
        self,
        kind: str,
        data_centre: str,
        levels: Mapping[str, int],
        now: float,
    ) -> None:
        """Record the levels that an answer to a request reports.

        If a nested call left the data centre to which the request was sent,
        the nested calls of the next request sent there are expected to leave
        it too, and to be subject to the level that they meet elsewhere.

        :param data_centre: where the request was sent.
        :param levels: levels by key, see :func:`build_level_key`.
        """
        for key, level in levels.items():
            service = key.rpartition('@')[0]
            self._dependencies.setdefault(kind, {})[service] = now
            place = build_level_key(service, data_centre)
            self._met_keys.setdefault(place, {})[key] = now
            self._levels.record(key, level, now)

    def read(self, kind: str, data_centre: str, now: float) -> int:
        """Return the highest level of the services that a kind calls.

        :param data_centre: where the services are called.
        """
        services = self._dependencies.get(kind)
        if not services:
            return 0
        _remove_older(services, now - DEPENDENCY_RETENTION_S)
        return max(
            (
                self._read_place(build_level_key(service, data_centre), now)
                for service in services
            ),
            default=0,
        )

    def _read_place(self, place: str, now: float) -> int:
        """Return the level of a service for requests sent to a data centre.

        It is the highest one among the levels that such requests met lately,
        whichever request reported it last. Until one met any, it is the
        service's level there.
        """
        keys = self._met_keys.get(place)
        if not keys:
            return self._levels.read(place, now)
        _remove_older(keys, now - MEETING_RETENTION_S)
        return max((self._levels.read(key, now) for key in keys), default=0)


def _remove_older(times: dict[str, float], oldest: float) -> None:
    """Remove the entries whose time is before the oldest to keep."""
    for name, time in tuple(times.items()):
        if time < oldest:
            del times[name]


class LevelReportFilter:
    """Decides which shedding levels an answer reports.

    Levels of 0 are left out, except shortly after a service has shed, so
    that calling nodes learn of the end of the shedding.
    """

    def __init__(self) -> None:
        self._shed_at: dict[str, float] = {}

    def should_report(self, key: str, level: int, now: float) -> bool:
        """Return whether an answer should include a level."""
        if level > 0:
            self._shed_at[key] = now
            return True
        shed_at = self._shed_at.get(key)
        return shed_at is not None and now - shed_at < REPORT_ZERO_S


def merge_levels(
    levels: Mapping[str, int], others: Mapping[str, int]
) -> dict[str, int]:
    """Return the union of two level mappings with the higher levels."""
    merged = dict(levels)
    for key, level in others.items():
        merged[key] = max(level, merged.get(key, 0))
    return merged
