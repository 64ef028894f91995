"""Translation of the platform's heartbeats into announcements."""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from merlintrail.node import (
    Announcement,
    AnnouncementOrder,
    InvalidAnnouncement,
    read_announcement,
)
from merlintrail.observability import log_decision
from merlintrail.protocol import decode_json, encode_json, parse_duration
from merlintrail.transport import HttpRequest, HttpResponse

#: Paths of the platform's calls, followed by the identity of the backend
#: server. What the platform calls an instance is a run of a backend server
#: here.
_HEARTBEAT_PATH: Final = '/Instances.Heartbeat/'
_LEAVE_PATH: Final = '/Instances.Leave/'
#: Whether a backend server takes new calls, by the heartbeat's ``State``.
_READINESS_BY_STATE: Final[Mapping[str, bool]] = {
    'ready': True,
    'draining': False,
}
_JSON_HEADERS: Final = (('content-type', 'application/json'),)
_OK: Final = HttpResponse(200, _JSON_HEADERS, b'{}')


class HeartbeatDependencies(NamedTuple):
    """Dependencies of the heartbeat service."""

    #: Processes the announcement of a backend server.
    announce: Callable[[Announcement], AnnouncementOrder]
    #: Records that a backend server leaves, given its identity and, if known,
    #: its start in milliseconds since the epoch; returns whether it is
    #: registered with this node.
    record_departure: Callable[[str, int | None], bool]
    #: Returns whether the configuration contains a service.
    is_configured_service: Callable[[str], bool]
    #: Returns the ``host:port`` of the backend server beside the node.
    get_backend_address: Callable[[], str]


class HeartbeatService:
    """Serves heartbeats and leaves of the backend server beside the node."""

    def __init__(self, deps: HeartbeatDependencies) -> None:
        self._deps = deps

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Process one heartbeat or leave."""
        target = request.target.partition('?')[0]
        if request.method != 'POST':
            return _build_error(404, ('no such call',))
        if target.startswith(_HEARTBEAT_PATH):
            identity = target.removeprefix(_HEARTBEAT_PATH)
            return self._handle_heartbeat(identity, request.body)
        if target.startswith(_LEAVE_PATH):
            identity = target.removeprefix(_LEAVE_PATH)
            is_known = self._deps.record_departure(
                identity, _read_started_at_ms(request.body)
            )
            log_decision(
                'backend-server-leave', identity=identity, is_known=is_known
            )
            return _OK
        return _build_error(404, ('no such call',))

    def _handle_heartbeat(self, identity: str, body: bytes) -> HttpResponse:
        announcement = read_heartbeat(identity, decode_json(body))
        if isinstance(announcement, Announcement):
            announcement = self._check_service_and_address(announcement)
        if isinstance(announcement, InvalidAnnouncement):
            log_decision(
                'backend-server-ignored',
                identity=identity,
                findings=announcement.findings,
            )
            return _build_error(400, announcement.findings)
        self._deps.announce(announcement)
        return _OK

    def _check_service_and_address(
        self, announcement: Announcement
    ) -> Announcement | InvalidAnnouncement:
        """Reject a backend server that does not belong to this node."""
        findings = []
        if not self._deps.is_configured_service(announcement.service):
            findings.append(f'no service {announcement.service!r}')
        if announcement.address != self._deps.get_backend_address():
            findings.append(f'{announcement.address} is not beside this node')
        return (
            InvalidAnnouncement(tuple(findings)) if findings else announcement
        )


def read_heartbeat(
    identity: str, document: Any
) -> Announcement | InvalidAnnouncement:
    """Decode and validate a heartbeat.

    :param identity: identity of the backend server's run, from the path.
    :param document: decoded body of the request.
    :returns: the announcement, or all findings together.
    """
    if not isinstance(document, dict):
        return InvalidAnnouncement(('not a JSON object',))
    findings = _check_own_fields(document)
    announcement = read_announcement(
        {
            'service': document.get('Service'),
            'address': document.get('Address'),
            'slots': document.get('Slots'),
            'is_ready': bool(
                _READINESS_BY_STATE.get(str(document.get('State')))
            ),
            'identity': identity,
            'started_at_ms': document.get('born', 0),
            'sequence': document.get('Sequence', 0),
        }
    )
    if isinstance(announcement, InvalidAnnouncement):
        findings.extend(announcement.findings)
    if findings:
        return InvalidAnnouncement(tuple(findings))
    return announcement


def _check_own_fields(document: Mapping[str, Any]) -> list[str]:
    """Return the faults of the fields that announcements do not have."""
    findings = []
    state = document.get('State')
    if not isinstance(state, str) or state not in _READINESS_BY_STATE:
        findings.append(f'State: unknown {state!r}')
    # ``ColdRemaining`` is validated but not used; ``warmup_s`` of the service
    # applies instead.
    cold_remaining = document.get('ColdRemaining')
    if (
        not isinstance(cold_remaining, str)
        or parse_duration(cold_remaining) is None
    ):
        findings.append('ColdRemaining: not a duration')
    for name in ('Zone', 'Version'):
        text = document.get(name)
        if not isinstance(text, str) or not text:
            findings.append(f'{name}: needs a name')
    # ``born`` is the start of the run in milliseconds since the epoch.
    for name in ('Sequence', 'born'):
        number = document.get(name)
        if isinstance(number, bool) or not isinstance(number, int):
            findings.append(f'{name}: needs a whole number')
    return findings


def _read_started_at_ms(body: bytes) -> int | None:
    """Return the start of the leaving run, ``None`` if the body has none."""
    document = decode_json(body or b'{}')
    started_at_ms = document.get('born') if isinstance(document, dict) else None
    return started_at_ms if isinstance(started_at_ms, int) else None


def _build_error(status: int, findings: tuple[str, ...]) -> HttpResponse:
    return HttpResponse(
        status, _JSON_HEADERS, encode_json({'findings': findings})
    )
