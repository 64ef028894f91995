"""Requests on the call address, including those of local backend servers."""

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

from merlintrail.node.backend import (
    BackendGateway,
    InvalidAnnouncement,
    is_local_sender,
    read_announcement,
)
from merlintrail.observability import log_decision
from merlintrail.protocol import decode_json, encode_json
from merlintrail.transport import HttpRequest, HttpResponse, RequestHandler

#: Path prefix of requests to the node itself.
LOCAL_PATH: Final = '/-/'
_JSON: Final = (('content-type', 'application/json'),)


def _build_answer(status: int, document: Mapping[str, Any]) -> HttpResponse:
    return HttpResponse(status, _JSON, encode_json(document))


class LocalService:
    """Serves the call address of a node.

    Answers health checks, announcements and drain requests under
    :data:`LOCAL_PATH` and passes every other request to the ingress. On a
    platform these have addresses of their own, and every path belongs to the
    routes.
    """

    def __init__(
        self,
        gateway: BackendGateway,
        serve: RequestHandler,
        own_host: str,
        build_health: Callable[[], Mapping[str, Any]],
        *,
        has_own_paths: bool,
    ) -> None:
        """Initialize the service.

        :param has_own_paths: whether it answers under :data:`LOCAL_PATH`.
        """
        self._gateway = gateway
        self._serve = serve
        self._own_host = own_host
        self._build_health = build_health
        self._has_own_paths = has_own_paths

    def handle(self, request: HttpRequest) -> Awaitable[HttpResponse]:
        """Answer a request on the call address."""
        if self._has_own_paths and request.target.startswith(LOCAL_PATH):
            return self._handle_local(request)
        return self._serve(request)

    async def _handle_local(self, request: HttpRequest) -> HttpResponse:
        subject = request.target.removeprefix(LOCAL_PATH)
        if subject == 'health':
            health = self._build_health()
            return _build_answer(200 if health['is_ready'] else 503, health)
        if not is_local_sender(request, self._own_host):
            return _build_answer(
                403, {'error': 'only for backend servers of this instance'}
            )
        if request.method != 'POST' or subject not in {'announce', 'drain'}:
            return _build_answer(404, {'error': f'no {subject!r} here'})
        document = decode_json(request.body)
        if not isinstance(document, dict):
            return _build_answer(400, {'error': 'not a JSON object'})
        if subject == 'drain':
            return self._drain(document)
        return self._announce(document)

    def _announce(self, document: Mapping[str, Any]) -> HttpResponse:
        announcement = read_announcement(document)
        if isinstance(announcement, InvalidAnnouncement):
            return _build_answer(400, {'findings': announcement.findings})
        self._gateway.registry.announce(announcement)
        return _build_answer(200, {'ttl_s': announcement.ttl_s})

    def _drain(self, document: Mapping[str, Any]) -> HttpResponse:
        service = document.get('service')
        gate = self._gateway.gates.get(str(service))
        if gate is None:
            names = json.dumps(sorted(self._gateway.gates))
            return _build_answer(
                404, {'error': f'{service!r} is not announced; known: {names}'}
            )
        current = gate.backend.announcement
        sequence = None if current.sequence is None else current.sequence + 1
        announcement = current._replace(is_ready=False, sequence=sequence)
        self._gateway.registry.announce(announcement)
        log_decision('drain', service=announcement.service)
        return _build_answer(200, {'running': gate.admission.running})
