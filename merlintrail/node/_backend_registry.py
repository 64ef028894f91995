"""Backend servers that announced themselves to this node."""

from collections.abc import Callable
from typing import Final

from merlintrail.node._backend import (
    Announcement,
    AnnouncementOrder,
    Departures,
    compare_announcements,
)
from merlintrail.node._gate import AdmissionGate
from merlintrail.observability import log_decision
from merlintrail.protocol import Reason
from merlintrail.state import Configuration

_MS_PER_S: Final = 1000


class BackendRegistry:
    """Keeps a gate for each backend server, by its announcements.

    What is announced late, again, or by one that is leaving changes
    nothing. A backend server takes the place of another at its address.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        """Create an empty registry.

        :param on_change: told when a backend server's readiness changes.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._on_change = on_change
        self._departures = Departures()
        self._configuration: Configuration | None = None
        #: Gates by service.
        self.gates: dict[str, AdmissionGate] = {}

    def find_own_service(self) -> str:
        """Return the service of the backend server, empty without one."""
        return next(iter(self.gates), '')

    def update_configuration(self, configuration: Configuration) -> None:
        """Take the bounds on waiting of a new configuration."""
        self._configuration = configuration
        for name, gate in self.gates.items():
            self._configure_gate(name, gate)

    def announce(self, announcement: Announcement) -> AnnouncementOrder:
        """Take a backend server's announcement, its renewal or its drain.

        :returns: ``STALE`` when it changes nothing.
        """
        gate = self._find_gate(announcement)
        known = None if gate is None else gate.backend.announcement
        order = compare_announcements(known, announcement)
        if self._departures.includes(announcement):
            order = AnnouncementOrder.STALE
        if order == AnnouncementOrder.STALE:
            self._log_announcement(announcement, order)
            return order
        is_changed = True
        if gate is None or order == AnnouncementOrder.NEW_RUN:
            gate = self._replace_gate(gate, announcement)
        else:
            is_changed = gate.backend.announcement.is_ready != (
                announcement.is_ready
            )
            gate.backend.renew(announcement, self._clock())
            gate.limit.resize(announcement.slots)
        if not announcement.is_ready:
            gate.admission.refuse_waiting(Reason.DRAINING)
        if is_changed:
            self._log_announcement(announcement, order)
        self._on_change()
        return order

    def record_departure(
        self, identity: str, started_at_ms: int | None
    ) -> bool:
        """Take note that a backend server leaves; it gets no new call.

        :param started_at_ms: start of the run that leaves. Without it every
            run of that identity that has begun by now is leaving.
        :returns: False when it is not one beside this node.
        """
        if started_at_ms is None:
            started_at_ms = int(self._wall_clock() * _MS_PER_S)
        self._departures.record(identity, started_at_ms)
        for gate in self.gates.values():
            announcement = gate.backend.announcement
            if self._departures.includes(announcement):
                gate.backend.is_draining = True
                gate.admission.refuse_waiting(Reason.DRAINING)
                self._log_announcement(announcement, None)
                self._on_change()
                return True
        return False

    def _find_gate(self, announcement: Announcement) -> AdmissionGate | None:
        """Return the gate of a service, or of another at its address."""
        gate = self.gates.get(announcement.service)
        if gate is not None:
            return gate
        for other in self.gates.values():
            if other.backend.announcement.address == announcement.address:
                return other
        return None

    def _replace_gate(
        self, known: AdmissionGate | None, announcement: Announcement
    ) -> AdmissionGate:
        """Begin a gate for a new run of a backend server."""
        if known is not None:
            known.admission.refuse_waiting(Reason.NO_BACKEND_SERVER)
            del self.gates[known.backend.announcement.service]
        gate = AdmissionGate(announcement, self._clock)
        self._configure_gate(announcement.service, gate)
        self.gates[announcement.service] = gate
        return gate

    def _log_announcement(
        self, announcement: Announcement, order: AnnouncementOrder | None
    ) -> None:
        log_decision(
            'backend-server',
            service=announcement.service,
            identity=announcement.identity,
            started_at_ms=announcement.started_at_ms,
            sequence=announcement.sequence,
            is_ready=announcement.is_ready and order is not None,
            outcome='leaving' if order is None else order.value,
        )

    def _configure_gate(self, name: str, gate: AdmissionGate) -> None:
        if self._configuration is None:
            return
        service = self._configuration.services.get(name)
        if service is not None:
            gate.admission.queue_limit_s = service.queue_limit_ms / _MS_PER_S
