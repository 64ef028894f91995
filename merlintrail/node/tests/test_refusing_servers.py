"""Calls that the server of another node refuses before it knows them."""

import unittest
from typing import Final

from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import Session, create_read_write_session
from merlintrail.protocol import CALL_HEADER, OUTCOME_HEADER, Outcome
from merlintrail.testing import run_virtually
from merlintrail.transport import BadRequest, HttpRequest, HttpResponse
from merlintrail.transport._own_answers import build_refusal

_PEER_ADDRESS: Final = 'server:2'


def _refuse_calls(session: Session, status: int, reason: str) -> None:
    """Let the server of a node refuse calls, and take other messages."""
    serve = session.network.handlers[_PEER_ADDRESS]

    async def handle(request: HttpRequest) -> HttpResponse:
        if CALL_HEADER in request.headers:
            return build_refusal(BadRequest(status, reason))
        return await serve(request)

    session.network.handlers[_PEER_ADDRESS] = handle


class RefusingServerTest(unittest.TestCase):
    """The caller learns that its request has not run."""

    def test_no_room(self) -> None:
        """The other node has no memory for the call."""
        self.check_refusal(503, 'no-room')

    def test_large_headers(self) -> None:
        """The other node has lower limits."""
        self.check_refusal(431, 'headers-too-large')

    def check_refusal(self, status: int, reason: str) -> None:
        """Check the answer to a request that may not be repeated."""

        async def scenario() -> None:
            session = create_read_write_session('server')
            _refuse_calls(session, status, reason)
            answer = await session.call('ingress', '/svc/write', 'x')
            self.assertEqual(
                get_header(answer, OUTCOME_HEADER), Outcome.NOT_RUN
            )
            self.assertTrue(get_header(answer, 'retry-after'))
            self.assertFalse(session.executions)

        run_virtually(scenario())
