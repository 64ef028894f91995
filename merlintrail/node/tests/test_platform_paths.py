"""Paths of the call address on a platform."""

import unittest

from merlintrail.node import PlatformSettings
from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.protocol import encode_json
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_HOST = 'desk.example'
_ROUTE = {
    'name': 'about',
    'host': _HOST,
    'prefix': '/-/',
    'service': 'svc',
    'importance': 'normal',
    'idempotent': True,
    'timeout_ms': 1000,
    'attempts': 1,
    'objective_ms': 300,
}
_DOCUMENT = {
    **build_document({'svc': [build_kind('read', deadline_ms=1000)]}),
    'routes': [_ROUTE],
}
_PLATFORM = PlatformSettings(
    'one:4', 'one:5', 'svc', 'one:svc', {}, 6.0, 0.2, 50, 10.0
)


def _create_session() -> Session:
    session = Session(_DOCUMENT, ('one',), platform=_PLATFORM)
    session.add_backend('one', 'svc', answer_after(0.01))
    return session


async def _send(session: Session, target: str, body: bytes) -> HttpResponse:
    """Send a request from the instance itself."""
    request = HttpRequest('POST', target, {'host': _HOST}, body, 'one')
    return await session.send_request(request)


class PlatformPathsTest(unittest.TestCase):
    """All paths belong to the routes; the node has addresses of its own."""

    def test_route_under_the_nodes_own_path_gets_the_nodes_answer(
        self,
    ) -> None:
        """The backend server answers, also to an unknown page."""

        async def scenario() -> None:
            session = _create_session()
            for page in ('health', 'shops', 'announce', 'drain'):
                answer = await _send(session, f'/-/{page}', b'body')
                self.assertEqual((answer.status, answer.body), (200, b'body'))

        run_virtually(scenario())

    def test_caller_drains_a_backend_server_on_the_call_address(self) -> None:
        """It is a request as any other, and the server stays ready."""

        async def scenario() -> None:
            session = _create_session()
            order = encode_json({'service': 'svc'})
            await _send(session, '/-/drain', order)
            backend = session.nodes['one'].gateway.gates['svc'].backend
            self.assertTrue(backend.announcement.is_ready)

        run_virtually(scenario())
