"""The JSON administration API."""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from typing import TypeAlias

from merlintrail.console._access import (
    LOOP_TIMEOUT_S,
    NodeAccess,
    answer_store_failure,
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
    """Serves the resources below ``/v1/`` to authenticated operators."""

    def __init__(self, access: NodeAccess) -> None:
        self._access = access
        self._handlers: Mapping[tuple[str, str], Handler] = {
            ('GET', '/v1/status'): self._answer_status,
            ('GET', '/v1/members'): self._answer_members,
            ('GET', '/v1/routes'): self._answer_routes,
            ('GET', '/v1/metrics'): self._answer_metrics,
            ('GET', '/v1/fleet'): self._answer_fleet,
            ('GET', '/v1/configuration'): self._answer_configuration,
            ('POST', '/v1/configuration'): self._apply_document,
            ('POST', '/v1/configuration/check'): self._check_document,
            ('GET', '/v1/configuration/history'): self._answer_history,
        }

    def serve(self, request: AdminRequest) -> AdminAnswer:
        """Answer one request."""
        if request.operator is None:
            return answer_json(401, {'error': 'operator key missing or wrong'})
        handle = self._handlers.get((request.method, request.path))
        if handle is None:
            return answer_json(404, {'error': 'no such resource'})
        return handle(request)

    def _answer_status(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(
            200, self._access.run_on_node(self._access.node.build_status)
        )

    def _answer_members(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(
            200, self._access.run_on_node(self._access.node.list_members)
        )

    def _answer_routes(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(
            200, self._access.run_on_node(self._access.node.list_routes)
        )

    def _answer_metrics(self, _: AdminRequest) -> AdminAnswer:
        return answer_json(200, self._access.node.metrics.read_all())

    def _answer_fleet(self, _: AdminRequest) -> AdminAnswer:
        """Answer with the state that each member reports."""
        collected = asyncio.run_coroutine_threadsafe(
            collect_fleet(self._access.node), self._access.loop
        )
        return answer_json(200, collected.result(LOOP_TIMEOUT_S))

    def _answer_configuration(self, _: AdminRequest) -> AdminAnswer:
        stored = self._access.read_document()
        if isinstance(stored, StoreFailure):
            return answer_store_failure(stored)
        return answer_json(200, stored.envelope._asdict())

    def _answer_history(self, _: AdminRequest) -> AdminAnswer:
        envelopes = self._access.read_history()
        if isinstance(envelopes, StoreFailure):
            return answer_store_failure(envelopes)
        return answer_json(200, [envelope._asdict() for envelope in envelopes])

    def _check_document(self, request: AdminRequest) -> AdminAnswer:
        document = decode_json(request.body)
        if not isinstance(document, dict):
            return answer_json(400, {'error': 'not a JSON object'})
        findings = validate_document(document)
        return answer_json(
            422 if findings else 200,
            {'findings': [finding._asdict() for finding in findings]},
        )

    def _apply_document(self, request: AdminRequest) -> AdminAnswer:
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
        return answer_store_failure(outcome)
