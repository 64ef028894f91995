"""What callers get when a connection behind their node ends."""

import unittest

from merlintrail.node.tests.session import READ_AND_WRITE, Session, answer_after
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse


async def _end_connection(request: HttpRequest) -> HttpResponse:
    raise ConnectionAbortedError


class UpstreamEndsTest(unittest.TestCase):
    """A backend server cuts the connection of each request."""

    def test_cut_of_an_idempotent_request_reaches_its_caller(self) -> None:
        """Another server answers it."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('ingress', 'one', 'two'))
            session.add_backend('one', 'svc', _end_connection)
            session.add_backend('two', 'svc', answer_after(0.01))
            for _ in range(10):
                answer = await session.call('ingress', '/svc/read')
                self.assertEqual(answer.status, 200)

        run_virtually(scenario())

    def test_cut_of_another_request_is_hidden(self) -> None:
        """It may have run, and is not sent again."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('ingress', 'one'))
            session.add_backend('one', 'svc', _end_connection)
            answer = await session.call('ingress', '/svc/write')
            self.assertEqual(answer.status, 502)
            self.assertEqual(
                answer.find_header('merlintrail-outcome'), 'may-have-run'
            )

        run_virtually(scenario())
