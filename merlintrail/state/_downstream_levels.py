"""Shedding levels of downstream services, by which requests are routed."""

from collections.abc import Mapping
from typing import Final

from merlintrail.state._shedding import SheddingLevelTable

#: Seconds without a report after which a request kind is no longer assumed
#: to call a service.
DEPENDENCY_RETENTION_S: Final = 60.0
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
        self._dependencies: dict[str, dict[str, float]] = {}

    def record(
        self,
        kind: str,
        data_centre: str,
        levels: Mapping[str, int],
        now: float,
    ) -> None:
        """Record the levels that an answer to a request reports.

        For each service the highest reported level is also recorded for the
        data centre to which the request was sent. If a nested call left that
        data centre, the nested calls of the next request sent there are
        expected to leave it too and to be subject to the same level.

        :param data_centre: where the request was sent.
        :param levels: levels by key, see :func:`build_level_key`.
        """
        highest_by_service: dict[str, int] = {}
        for key, level in levels.items():
            service = key.partition('@')[0]
            self._dependencies.setdefault(kind, {})[service] = now
            self._levels.record(key, level, now)
            highest_by_service[service] = max(
                level, highest_by_service.get(service, 0)
            )
        for service, highest in highest_by_service.items():
            self._levels.record(
                build_level_key(service, data_centre), highest, now
            )

    def read(self, kind: str, data_centre: str, now: float) -> int:
        """Return the highest level of the services that a kind calls.

        :param data_centre: where the services are called.
        """
        services = self._dependencies.get(kind)
        if not services:
            return 0
        for name, reported_at in tuple(services.items()):
            if now - reported_at > DEPENDENCY_RETENTION_S:
                del services[name]
        return max(
            (
                self._levels.read(build_level_key(service, data_centre), now)
                for service in services
            ),
            default=0,
        )


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
