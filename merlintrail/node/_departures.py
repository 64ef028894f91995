"""Departures of backend servers beside this node and others."""

from collections.abc import Sequence

from merlintrail.coordination import DepartureRecord
from merlintrail.node.backend import BackendRegistry
from merlintrail.protocol import RunNotice
from merlintrail.state import BackendNotices, Member


class NodeDepartures(DepartureRecord):
    """Departures in the notices of other nodes, and in the own registry."""

    def __init__(
        self, notices: BackendNotices, registry: BackendRegistry
    ) -> None:
        self._notices = notices
        self._registry = registry

    def list_departures(self, member: Member) -> Sequence[RunNotice]:
        """Return the departures that earlier runs of a node reported."""
        return self._notices.list_departures(member)

    def restore_departure(self, notice: RunNotice) -> None:
        """Record a departure that an earlier run of this node reported."""
        self._registry.restore_departure(notice)
