"""The WSGI application that serves the console and the API."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from prometheus_client import CONTENT_TYPE_LATEST

from merlintrail.console._access import NodeAccess
from merlintrail.console._api import AdminApi
from merlintrail.console._form_console import FormConsole
from merlintrail.console._messages import (
    AdminAnswer,
    AdminRequest,
    answer_json,
)
from merlintrail.console._operators import OperatorRegistry, read_session_token
from merlintrail.coordination import create_store_client
from merlintrail.node import Node

#: Maximum size of a request body in bytes.
MAX_BODY_BYTES: Final = 2097152
#: Path of the metrics in the Prometheus text format, served without a key.
METRICS_PATH: Final = '/metrics'
_REASON_PHRASES: Final = {
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


class Application:
    """Authenticates operators and dispatches their requests."""

    def __init__(self, access: NodeAccess) -> None:
        self._operators = OperatorRegistry(access.node.settings.operator_keys)
        self._metrics = access.node.metrics
        self._api = AdminApi(access)
        self._console = FormConsole(access, self._operators)

    def answer(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request; the WSGI callable."""
        answer = self._serve(environ)
        reason = _REASON_PHRASES.get(answer.status, 'Unknown')
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
            return answer_json(413, {'error': 'body too large'})
        session_token = read_session_token(environ.get('HTTP_COOKIE', ''))
        operator = self._operators.find_by_header(
            environ.get('HTTP_AUTHORIZATION', '')
        ) or self._operators.find_by_session(session_token)
        request = AdminRequest(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            environ['wsgi.input'].read(length) if length else b'',
            operator,
            session_token,
        )
        if request.path == METRICS_PATH:
            text = self._metrics.render_text()
            return AdminAnswer(200, text, CONTENT_TYPE_LATEST)
        if request.path.startswith('/v1/'):
            return self._api.serve(request)
        return self._console.serve(request)


def create_application(
    node: Node, loop: asyncio.AbstractEventLoop
) -> Application:
    """Create the application of a node."""
    client = create_store_client(node.settings.store_addresses)
    return Application(NodeAccess(node, loop, client))
