"""The web console, which edits the document in a form."""

import uuid
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias
from urllib.parse import parse_qsl

from merlintrail.console._access import NodeAccess, answer_store_failure
from merlintrail.console._form_reading import edit_rows, read_form
from merlintrail.console._forms import build_context, render_form
from merlintrail.console._messages import (
    AdminAnswer,
    AdminRequest,
    answer_json,
    answer_page,
    redirect,
)
from merlintrail.console._operators import (
    COOKIE,
    OperatorRegistry,
    compute_form_token,
)
from merlintrail.console._pages import (
    build_conflict,
    build_form_page,
    build_history_page,
    build_login_page,
    build_message,
    build_overview,
)
from merlintrail.coordination import ChangeConflict, StoreFailure
from merlintrail.state import (
    Difference,
    Envelope,
    find_differences,
    validate_document,
)

Handler: TypeAlias = Callable[[AdminRequest], AdminAnswer]


class FormConsole:
    """Serves the pages; applying a form replaces the whole document."""

    def __init__(self, access: NodeAccess, operators: OperatorRegistry) -> None:
        self._access = access
        self._operators = operators
        self._handlers: Mapping[tuple[str, str], Handler] = {
            ('GET', '/'): self._show_overview,
            ('GET', '/configuration'): self._show_form,
            ('POST', '/configuration'): self._submit_form,
            ('GET', '/history'): self._show_history,
        }

    def serve(self, request: AdminRequest) -> AdminAnswer:
        """Answer one request, with the login page if not authenticated."""
        if request.path == '/login' and request.method == 'POST':
            return self._sign_in(request)
        if request.operator is None:
            return answer_page(401, build_login_page(''))
        handle = self._handlers.get((request.method, request.path))
        if handle is None:
            return answer_json(404, {'error': 'no such page'})
        return handle(request)

    def _sign_in(self, request: AdminRequest) -> AdminAnswer:
        fields = _read_fields(request.body)
        operator = self._operators.find_by_key(fields.get('key', ''))
        if operator is None:
            return answer_page(401, build_login_page('The key is not known.'))
        token = self._operators.open_session(operator)
        cookie = f'{COOKIE}={token}; HttpOnly; SameSite=Strict; Path=/'
        return redirect('/', ('Set-Cookie', cookie))

    def _show_overview(self, _: AdminRequest) -> AdminAnswer:
        status = self._access.run_on_node(self._access.node.build_status)
        members = self._access.run_on_node(self._access.node.list_members)
        return answer_page(200, build_overview(status, members))

    def _show_history(self, _: AdminRequest) -> AdminAnswer:
        envelopes = self._access.read_history()
        if isinstance(envelopes, StoreFailure):
            return answer_store_failure(envelopes)
        return answer_page(200, build_history_page(envelopes))

    def _show_form(self, request: AdminRequest) -> AdminAnswer:
        stored = self._access.read_document()
        if isinstance(stored, StoreFailure):
            return answer_store_failure(stored)
        return self._build_form(
            200,
            request,
            dict(stored.envelope.document),
            stored.envelope.generation,
        )

    def _submit_form(self, request: AdminRequest) -> AdminAnswer:
        fields = _read_fields(request.body)
        if fields.get('token') != compute_form_token(request.session_token):
            return answer_json(403, {'error': 'the form is not of a session'})
        document = read_form(fields)
        seen_generation = int(fields.get('seen', '0') or 0)
        action = fields.get('do', 'check')
        if ':' in action:
            edited = edit_rows(document, action)
            return self._build_form(200, request, edited, seen_generation)
        if action == 'apply':
            return self._apply_form(request, document, seen_generation)
        findings = validate_document(document)
        message = build_message(
            f'{len(findings)} findings' if findings else 'No findings.',
            is_error=bool(findings),
        )
        return self._build_form(
            422 if findings else 200,
            request,
            document,
            seen_generation,
            message,
        )

    def _apply_form(
        self,
        request: AdminRequest,
        document: dict[str, Any],
        seen_generation: int,
    ) -> AdminAnswer:
        outcome = self._access.apply(
            request, document, seen_generation, str(uuid.uuid4())
        )
        if isinstance(outcome, Envelope):
            message = build_message(
                f'Generation {outcome.generation} is accepted.', is_error=False
            )
            return self._build_form(
                200, request, document, outcome.generation, message
            )
        if isinstance(outcome, ChangeConflict):
            current = outcome.current
            differences = self._find_concurrent_changes(
                seen_generation, current
            )
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
            422,
            request,
            document,
            seen_generation,
            build_message(text, is_error=True),
        )

    def _find_concurrent_changes(
        self, seen_generation: int, current: Envelope
    ) -> list[Difference]:
        """Return the changes applied since the generation that was shown."""
        earlier = self._access.read_generation(seen_generation)
        document = earlier[0].document if earlier else {}
        return list(find_differences(document, current.document))

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
        token = compute_form_token(request.session_token)
        return answer_page(
            status, build_form_page(fields, token, generation, message)
        )


def _read_fields(body: bytes) -> dict[str, str]:
    return dict(parse_qsl(body.decode(), keep_blank_values=True))
