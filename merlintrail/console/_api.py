"""The administration API."""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from typing import TypeAlias

from merlintrail.console._access import (
    LOOP_TIMEOUT_S,
    NodeAccess,
    tell_store_failure,
)
from merlintrail.console._fleet import collect_fleet
from merlintrail.console._messages import (
    AdminAnswer,
    AdminRequest,
    answer_json,
)
from merlintrail.coordination import (
    ChangeConflict,
    ChangeInvalid,
    StoreFailure,
)
from merlintrail.protocol import decode_json
from merlintrail.state import Envelope, validate_document

Handler: TypeAlias = Callable[[AdminRequest], AdminAnswer]


class AdminApi:
    """Answers JSON to operators and their programs."""

    def __init__(self, access: NodeAccess) -> None:
        self._access = access
        self._handlers: Mapping[tuple[str, str], Handler] = {
            ('GET', '/v1/status'): self._tell_status,
            ('GET', '/v1/members'): self._tell_members,
            ('GET', '/v1/routes'): self._tell_routes,
            ('GET', '/v1/metrics'): self._tell_metrics,
            ('GET', '/v1/fleet'): self._tell_fleet,
            ('GET', '/v1/configuration'): self._tell_configuration,
            ('POST', '/v1/configuration'): self._apply_by_api,
            ('POST', '/v1/configuration/check'): self._check_by_api,
            ('GET', '/v1/configuration/history'): self._tell_history,
        }

    def serve(self, request: AdminRequest) -> AdminAnswer:
        """Answer one request."""
        if request.operator is None:
            return answer_json(401, {'error': 'operator key missing or wrong'})
        handle = self._handlers.get((request.method, request.path))
        if handle is None:
            return answer_json(404, {'error': 'no such resource'})
        return handle(request)

    def _tell_status(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(
            200, self._access.call_node(self._access.node.build_status)
        )

    def _tell_members(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(
            200, self._access.call_node(self._access.node.list_members)
        )

    def _tell_routes(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(
            200, self._access.call_node(self._access.node.list_routes)
        )

    def _tell_metrics(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(200, self._access.node.metrics.read_all())

    def _tell_fleet(self, _: AdminRequest) -> AdminAnswer:
        """Ask every member for its state."""
        collected = asyncio.run_coroutine_threadsafe(
            collect_fleet(self._access.node), self._access.loop
        )
        return answer_json(200, collected.result(LOOP_TIMEOUT_S))

    def _tell_configuration(self, _: AdminRequest) -> AdminAnswer:
        stored = self._access.read_document()
        if isinstance(stored, StoreFailure):
            return tell_store_failure(stored)
        return answer_json(200, stored.envelope._asdict())

    def _tell_history(self, _: AdminRequest) -> AdminAnswer:
        envelopes = self._access.read_history()
        if isinstance(envelopes, StoreFailure):
            return tell_store_failure(envelopes)
        return answer_json(200, [envelope._asdict() for envelope in envelopes])

    def _check_by_api(self, request: AdminRequest) -> AdminAnswer:
        document = decode_json(request.body)
        if not isinstance(document, dict):
            return answer_json(400, {'error': 'not a JSON object'})
        findings = validate_document(document)
        return answer_json(
            422 if findings else 200,
            {'findings': [finding._asdict() for finding in findings]},
        )

    def _apply_by_api(self, request: AdminRequest) -> AdminAnswer:
        body = decode_json(request.body)
        is_complete = isinstance(body, dict) and isinstance(
            body.get('document'), dict
        )
        if not is_complete or not isinstance(body.get('seen_generation'), int):
            return answer_json(
                400, {'error': 'needs document and seen_generation'}
            )
        outcome = self._access.apply(
            request,
            body['document'],
            body['seen_generation'],
            str(body.get('change_id') or uuid.uuid4()),
        )
        if isinstance(outcome, Envelope):
            return answer_json(200, {'generation': outcome.generation})
        if isinstance(outcome, ChangeConflict):
            return answer_json(409, {'current': outcome.current._asdict()})
        if isinstance(outcome, ChangeInvalid):
            findings = [finding._asdict() for finding in outcome.findings]
            return answer_json(422, {'findings': findings})
        return tell_store_failure(outcome)
