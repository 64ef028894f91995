"""The WSGI application: console of forms and administration API."""

import asyncio
import time
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl

from merlintrail.console._fleet import collect_fleet
from merlintrail.console._form_reading import edit_rows, read_form
from merlintrail.console._forms import build_context, render_form
from merlintrail.console._operators import (
    COOKIE,
    Operators,
    compute_form_token,
    read_session_token,
)
from merlintrail.console._pages import (
    build_conflict,
    build_form_page,
    build_history_page,
    build_login_page,
    build_message,
    build_overview,
)
from merlintrail.coordination import (
    ChangeConflict,
    ChangeInvalid,
    ConfigurationChange,
    StoreClient,
    StoredDocument,
    StoreFailure,
    apply_change,
    create_store_client,
    read_history,
    read_stored_document,
)
from merlintrail.node import Node
from merlintrail.protocol import decode_json, encode_json
from merlintrail.state import (
    Envelope,
    find_differences,
    validate_document,
)

#: Bytes of the largest request.
MAX_BODY_BYTES: Final = 2097152
#: Seconds to wait for the node's own thread.
LOOP_TIMEOUT_S: Final = 10.0
#: Earlier documents that are shown.
HISTORY_COUNT: Final = 20
_REASONS: Final = {
    200: 'OK',
    303: 'See Other',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    503: 'Service Unavailable',
}


class AdminRequest(NamedTuple):
    """A request of an operator."""

    method: str
    path: str
    body: bytes
    #: Name of the operator, ``None`` when not recognised.
    operator: str | None
    #: Token of the browser's session, empty for a key.
    session: str


class AdminAnswer(NamedTuple):
    """An answer to an operator."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


def _answer_json(status: int, document: object) -> AdminAnswer:
    return AdminAnswer(status, encode_json(document))


def _answer_page(status: int, page: str) -> AdminAnswer:
    return AdminAnswer(status, page.encode(), 'text/html; charset=utf-8')


def _redirect(place: str, *headers: tuple[str, str]) -> AdminAnswer:
    return AdminAnswer(303, b'', 'text/plain', (('Location', place), *headers))


class Application:
    """Answers operators; changes go through the same code as in the CLI."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        client: StoreClient,
    ) -> None:
        self._node = node
        self._loop = loop
        self._client = client
        self._operators = Operators(node.settings.operator_keys)
        self._api: Mapping[
            tuple[str, str], Callable[[AdminRequest], AdminAnswer]
        ] = {
            ('GET', '/v1/status'): self._tell_status,
            ('GET', '/v1/members'): self._tell_members,
            ('GET', '/v1/metrics'): self._tell_metrics,
            ('GET', '/v1/fleet'): self._tell_fleet,
            ('GET', '/v1/configuration'): self._tell_configuration,
            ('POST', '/v1/configuration'): self._apply_by_api,
            ('POST', '/v1/configuration/check'): self._check_by_api,
            ('GET', '/v1/configuration/history'): self._tell_history,
        }
        self._console: Mapping[
            tuple[str, str], Callable[[AdminRequest], AdminAnswer]
        ] = {
            ('GET', '/'): self._show_overview,
            ('GET', '/configuration'): self._show_form,
            ('POST', '/configuration'): self._take_form,
            ('GET', '/history'): self._show_history,
        }

    def answer(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI has it."""
        answer = self._serve(environ)
        reason = _REASONS.get(answer.status, 'Unknown')
        start_response(
            f'{answer.status} {reason}',
            [
                ('Content-Type', answer.content_type),
                ('Content-Length', str(len(answer.body))),
                ('Cache-Control', 'no-store'),
                (
                    'Content-Security-Policy',
                    "default-src 'self' 'unsafe-inline'",
                ),
                *answer.headers,
            ],
        )
        return [answer.body]

    def _serve(self, environ: Mapping[str, Any]) -> AdminAnswer:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > MAX_BODY_BYTES:
            return _answer_json(413, {'error': 'body too large'})
        session = read_session_token(environ.get('HTTP_COOKIE', ''))
        operator = self._operators.find_by_header(
            environ.get('HTTP_AUTHORIZATION', '')
        ) or self._operators.find_by_session(session)
        request = AdminRequest(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            environ['wsgi.input'].read(length) if length else b'',
            operator,
            session,
        )
        if request.path.startswith('/v1/'):
            return self._serve_api(request)
        return self._serve_console(request)

    def _serve_api(self, request: AdminRequest) -> AdminAnswer:
        if request.operator is None:
            return _answer_json(401, {'error': 'operator key missing or wrong'})
        handle = self._api.get((request.method, request.path))
        if handle is None:
            return _answer_json(404, {'error': 'no such resource'})
        return handle(request)

    def _serve_console(self, request: AdminRequest) -> AdminAnswer:
        if request.path == '/login' and request.method == 'POST':
            return self._sign_in(request)
        if request.operator is None:
            return _answer_page(401, build_login_page(''))
        handle = self._console.get((request.method, request.path))
        if handle is None:
            return _answer_json(404, {'error': 'no such page'})
        return handle(request)

    def _sign_in(self, request: AdminRequest) -> AdminAnswer:
        fields = _read_fields(request.body)
        operator = self._operators.find_by_key(fields.get('key', ''))
        if operator is None:
            return _answer_page(401, build_login_page('The key is not known.'))
        token = self._operators.open_session(operator)
        cookie = f'{COOKIE}={token}; HttpOnly; SameSite=Strict; Path=/'
        return _redirect('/', ('Set-Cookie', cookie))

    # administration API

    def _tell_status(self, _: AdminRequest) -> AdminAnswer:
        return _answer_json(200, self._call_node(self._node.build_status))

    def _tell_members(self, _: AdminRequest) -> AdminAnswer:
        return _answer_json(200, self._call_node(self._node.list_members))

    def _tell_metrics(self, _: AdminRequest) -> AdminAnswer:
        return _answer_json(200, self._node.metrics.read_all())

    def _tell_fleet(self, _: AdminRequest) -> AdminAnswer:
        """Ask every member for its state."""
        collected = asyncio.run_coroutine_threadsafe(
            collect_fleet(self._node), self._loop
        )
        return _answer_json(200, collected.result(LOOP_TIMEOUT_S))

    def _tell_configuration(self, _: AdminRequest) -> AdminAnswer:
        stored = read_stored_document(self._client)
        if isinstance(stored, StoreFailure):
            return self._tell_store_failure(stored)
        return _answer_json(200, stored.envelope._asdict())

    def _tell_history(self, _: AdminRequest) -> AdminAnswer:
        envelopes = self._read_history()
        if isinstance(envelopes, StoreFailure):
            return self._tell_store_failure(envelopes)
        return _answer_json(200, [envelope._asdict() for envelope in envelopes])

    def _check_by_api(self, request: AdminRequest) -> AdminAnswer:
        document = decode_json(request.body)
        if not isinstance(document, dict):
            return _answer_json(400, {'error': 'not a JSON object'})
        findings = validate_document(document)
        return _answer_json(
            422 if findings else 200,
            {'findings': [finding._asdict() for finding in findings]},
        )

    def _apply_by_api(self, request: AdminRequest) -> AdminAnswer:
        body = decode_json(request.body)
        is_complete = isinstance(body, dict) and isinstance(
            body.get('document'), dict
        )
        if not is_complete or not isinstance(body.get('seen_generation'), int):
            return _answer_json(
                400, {'error': 'needs document and seen_generation'}
            )
        outcome = self._apply(
            request,
            body['document'],
            body['seen_generation'],
            str(body.get('change_id') or uuid.uuid4()),
        )
        if isinstance(outcome, Envelope):
            return _answer_json(200, {'generation': outcome.generation})
        if isinstance(outcome, ChangeConflict):
            return _answer_json(409, {'current': outcome.current._asdict()})
        if isinstance(outcome, ChangeInvalid):
            findings = [finding._asdict() for finding in outcome.findings]
            return _answer_json(422, {'findings': findings})
        return self._tell_store_failure(outcome)

    # console

    def _show_overview(self, _: AdminRequest) -> AdminAnswer:
        status = self._call_node(self._node.build_status)
        members = self._call_node(self._node.list_members)
        return _answer_page(200, build_overview(status, members))

    def _show_history(self, _: AdminRequest) -> AdminAnswer:
        envelopes = self._read_history()
        if isinstance(envelopes, StoreFailure):
            return self._tell_store_failure(envelopes)
        return _answer_page(200, build_history_page(envelopes))

    def _show_form(self, request: AdminRequest) -> AdminAnswer:
        stored = read_stored_document(self._client)
        if isinstance(stored, StoreFailure):
            return self._tell_store_failure(stored)
        return self._build_form(
            200,
            request,
            dict(stored.envelope.document),
            stored.envelope.generation,
        )

    def _take_form(self, request: AdminRequest) -> AdminAnswer:
        fields = _read_fields(request.body)
        if fields.get('token') != compute_form_token(request.session):
            return _answer_json(403, {'error': 'the form is not of a session'})
        document = read_form(fields)
        seen = int(fields.get('seen', '0') or 0)
        action = fields.get('do', 'check')
        if ':' in action:
            edited = edit_rows(document, action)
            return self._build_form(200, request, edited, seen)
        if action == 'apply':
            return self._apply_form(request, document, seen)
        findings = validate_document(document)
        message = build_message(
            f'{len(findings)} findings' if findings else 'No findings.',
            is_error=bool(findings),
        )
        return self._build_form(
            422 if findings else 200, request, document, seen, message
        )

    def _apply_form(
        self, request: AdminRequest, document: dict[str, Any], seen: int
    ) -> AdminAnswer:
        outcome = self._apply(request, document, seen, str(uuid.uuid4()))
        if isinstance(outcome, Envelope):
            message = build_message(
                f'Generation {outcome.generation} is accepted.', is_error=False
            )
            return self._build_form(
                200, request, document, outcome.generation, message
            )
        if isinstance(outcome, ChangeConflict):
            current = outcome.current
            differences = list(find_differences(document, current.document))
            return self._build_form(
                409,
                request,
                document,
                current.generation,
                build_conflict(current, differences),
            )
        text = f'{len(getattr(outcome, "findings", ()))} findings'
        if isinstance(outcome, StoreFailure):
            text = f'The store did not answer: {outcome.reason}. Try again.'
        return self._build_form(
            422, request, document, seen, build_message(text, is_error=True)
        )

    def _build_form(
        self,
        status: int,
        request: AdminRequest,
        document: dict[str, Any],
        generation: int,
        message: str = '',
    ) -> AdminAnswer:
        findings = validate_document(document) if message else []
        fields = render_form(build_context(findings), document)
        token = compute_form_token(request.session)
        return _answer_page(
            status, build_form_page(fields, token, generation, message)
        )

    # both

    def _apply(
        self,
        request: AdminRequest,
        document: Mapping[str, Any],
        seen: int,
        change_id: str,
    ) -> Envelope | ChangeConflict | ChangeInvalid | StoreFailure:
        change = ConfigurationChange(
            document, seen, str(request.operator), change_id, time.time()
        )
        return apply_change(self._client, change)

    def _read_history(self) -> list[Envelope] | StoreFailure:
        stored: StoredDocument | StoreFailure
        stored = read_stored_document(self._client)
        if isinstance(stored, StoreFailure):
            return stored
        return read_history(
            self._client, stored.envelope.generation, HISTORY_COUNT
        )

    def _tell_store_failure(self, failure: StoreFailure) -> AdminAnswer:
        return _answer_json(
            503, {'error': f'store {failure.fault}: {failure.reason}'}
        )

    def _call_node(self, read: Callable[[], Any]) -> Any:
        """Run a function on the node's own thread."""

        async def call() -> Any:
            return read()

        future = asyncio.run_coroutine_threadsafe(call(), self._loop)
        return future.result(LOOP_TIMEOUT_S)


def _read_fields(body: bytes) -> dict[str, str]:
    return dict(parse_qsl(body.decode(), keep_blank_values=True))


def create_application(
    node: Node, loop: asyncio.AbstractEventLoop
) -> Application:
    """Create the application of a node."""
    return Application(
        node, loop, create_store_client(node.settings.store_addresses)
    )
