"""Registry of the backend servers that announced themselves to the node."""

from collections.abc import Callable
from typing import Final

from merlintrail.node.backend._backend import (
    Announcement,
    AnnouncementOrder,
    BackendServer,
    DepartedRuns,
    compare_announcements,
)
from merlintrail.node.backend._gate import AdmissionGate
from merlintrail.observability import log_decision
from merlintrail.protocol import Reason, RunNotice
from merlintrail.state import Configuration

_MS_PER_S: Final = 1000


class BackendRegistry:
    """Keeps one admission gate for each announced backend server.

    Outdated announcements and those of departed runs are ignored.
    A backend server replaces another one at the same address.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        on_change: Callable[[], None],
        on_silent_end: Callable[[BackendServer], None],
    ) -> None:
        """Create an empty registry.

        :param on_change: called when the readiness of a backend server may
            have changed.
        :param on_silent_end: called with a backend server that ended without
            a notice: another run takes its place, or it is not renewed.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._on_change = on_change
        self._on_silent_end = on_silent_end
        self._departed_runs = DepartedRuns()
        self._configuration: Configuration | None = None
        #: Admission gates by service.
        self.gates: dict[str, AdmissionGate] = {}

    def find_own_service(self) -> str:
        """Return the service of the first backend server, empty if none."""
        return next(iter(self.gates), '')

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply the queue limits of a new configuration."""
        self._configuration = configuration
        for name, gate in self.gates.items():
            self._configure_gate(name, gate)

    def announce(self, announcement: Announcement) -> AnnouncementOrder:
        """Apply an announcement: a new run, a renewal or the start of a drain.

        :returns: ``STALE`` if the announcement was ignored.
        """
        gate = self._find_gate(announcement)
        current = None if gate is None else gate.backend.announcement
        order = compare_announcements(current, announcement)
        if self._departed_runs.includes(announcement):
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
        """Record that a backend server is departing; it gets no new calls.

        :param started_at_ms: start of the departing run. If it is ``None``,
            every run of the identity that has started by now departs.
        :returns: whether the backend server was registered at this node.
        """
        if started_at_ms is None:
            started_at_ms = int(self._wall_clock() * _MS_PER_S)
        self._departed_runs.record(identity, started_at_ms)
        for gate in self.gates.values():
            announcement = gate.backend.announcement
            if self._departed_runs.includes(announcement):
                gate.stop_for_leaving()
                self._log_announcement(announcement, None)
                self._on_change()
                return True
        return False

    def restore_departure(self, notice: RunNotice) -> None:
        """Record a departure that an earlier run of this node acknowledged.

        :param notice: as another node tells it.
        """
        if notice.identity is None:
            return
        is_known = self.record_departure(notice.identity, notice.started_at_ms)
        log_decision(
            'backend-server-leave',
            identity=notice.identity,
            is_known=is_known,
            source='another node',
        )

    def adopt_notice(self, service: str, notice: RunNotice) -> None:
        """Apply what a backend server stated to an earlier run of this node.

        As soon as it has answered this run, its own answers count alone.
        """
        gate = self.gates.get(service)
        if gate is None or not gate.adopt_notice(notice):
            return
        log_decision(
            'backend-server-notice',
            service=service,
            identity=notice.identity,
            rate_limit=notice.rate_limit,
            is_leaving=notice.is_leaving,
            source='another node',
        )
        self._on_change()

    def report_expired(self) -> None:
        """Report the backend servers that are not renewed any more."""
        now = self._clock()
        for gate in self.gates.values():
            backend = gate.backend
            if now - backend.renewed_at >= backend.announcement.ttl_s:
                self._report_silent_end(backend)

    def _report_silent_end(self, backend: BackendServer) -> None:
        if not backend.is_draining:
            self._on_silent_end(backend)

    def _find_gate(self, announcement: Announcement) -> AdmissionGate | None:
        """Return the gate of the service, or else the one at the address."""
        gate = self.gates.get(announcement.service)
        if gate is not None:
            return gate
        for other in self.gates.values():
            if other.backend.announcement.address == announcement.address:
                return other
        return None

    def _replace_gate(
        self, current: AdmissionGate | None, announcement: Announcement
    ) -> AdmissionGate:
        """Create a gate for a new run, in place of the current one."""
        if current is not None:
            self._report_silent_end(current.backend)
            current.admission.refuse_waiting(Reason.NO_BACKEND_SERVER)
            del self.gates[current.backend.announcement.service]
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
