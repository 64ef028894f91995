"""Heartbeats of the platform's backend servers, as announcements."""

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

_HEARTBEAT_PATH: Final = '/Instances.Heartbeat/'
_LEAVE_PATH: Final = '/Instances.Leave/'
_STATES: Final[Mapping[str, bool]] = {'ready': True, 'draining': False}
_JSON: Final = (('content-type', 'application/json'),)
_DONE: Final = HttpResponse(200, _JSON, b'{}')


class HeartbeatParts(NamedTuple):
    """What takes the announcements."""

    announce: Callable[[Announcement], AnnouncementOrder]
    #: Takes identity and start of a backend server that leaves.
    dismiss: Callable[[str, int | None], bool]
    #: Tells whether the configuration names a service.
    is_service: Callable[[str], bool]
    #: Returns the address of the backend server beside the node.
    find_address: Callable[[], str]


class HeartbeatService:
    """Answers the backend server beside the node."""

    def __init__(self, parts: HeartbeatParts) -> None:
        self._parts = parts

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Take one heartbeat or leave."""
        target = request.target.partition('?')[0]
        if request.method != 'POST':
            return _build_error(404, ('no such call',))
        if target.startswith(_HEARTBEAT_PATH):
            identity = target.removeprefix(_HEARTBEAT_PATH)
            return self._take_heartbeat(identity, request.body)
        if target.startswith(_LEAVE_PATH):
            identity = target.removeprefix(_LEAVE_PATH)
            is_known = self._parts.dismiss(identity, _read_start(request.body))
            log_decision(
                'backend-server-leave', identity=identity, is_known=is_known
            )
            return _DONE
        return _build_error(404, ('no such call',))

    def _take_heartbeat(self, identity: str, body: bytes) -> HttpResponse:
        announcement = read_heartbeat(identity, decode_json(body))
        if isinstance(announcement, Announcement):
            announcement = self._check_place(announcement)
        if isinstance(announcement, InvalidAnnouncement):
            log_decision(
                'backend-server-ignored',
                identity=identity,
                findings=announcement.findings,
            )
            return _build_error(400, announcement.findings)
        self._parts.announce(announcement)
        return _DONE

    def _check_place(
        self, announcement: Announcement
    ) -> Announcement | InvalidAnnouncement:
        findings = []
        if not self._parts.is_service(announcement.service):
            findings.append(f'no service {announcement.service!r}')
        if announcement.address != self._parts.find_address():
            findings.append(f'{announcement.address} is not beside this node')
        return (
            InvalidAnnouncement(tuple(findings)) if findings else announcement
        )


def read_heartbeat(
    identity: str, document: Any
) -> Announcement | InvalidAnnouncement:
    """Read a heartbeat; all its faults come together."""
    if not isinstance(document, dict):
        return InvalidAnnouncement(('not a JSON object',))
    findings = []
    state = document.get('State')
    if state not in _STATES:
        findings.append(f'State: unknown {state!r}')
    cold = document.get('ColdRemaining', '0ms')
    if not isinstance(cold, str) or parse_duration(cold) is None:
        findings.append('ColdRemaining: not a duration')
    for name in ('Sequence', 'born'):
        if not isinstance(document.get(name), int):
            findings.append(f'{name}: needs a whole number')
    announcement = read_announcement(
        {
            'service': document.get('Service'),
            'address': document.get('Address'),
            'slots': document.get('Slots'),
            'is_ready': bool(_STATES.get(str(state))),
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


def _read_start(body: bytes) -> int | None:
    """Return the start that a leave tells, ``None`` when it tells none."""
    document = decode_json(body or b'{}')
    started = document.get('born') if isinstance(document, dict) else None
    return started if isinstance(started, int) else None


def _build_error(status: int, findings: tuple[str, ...]) -> HttpResponse:
    return HttpResponse(status, _JSON, encode_json({'findings': findings}))
