"""A backend server that loses a single answer stays in use."""

import unittest

from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_DOCUMENT = build_document({'svc': [build_kind('read', idempotent=False)]})


class LostAnswerTest(unittest.TestCase):
    """One backend server, called through another node."""

    def test_next_call_goes_to_the_same_server(self) -> None:
        """The reset of one connection does not exclude a working server."""

        async def scenario() -> None:
            session = Session(_DOCUMENT, ('ingress', 'one'))
            serve = answer_after(0.01)
            served: list[bytes] = []

            async def lose_first(request: HttpRequest) -> HttpResponse:
                answer = await serve(request)
                served.append(request.body)
                if len(served) == 1:
                    raise ConnectionAbortedError
                return answer

            session.add_backend('one', 'svc', lose_first)
            lost = await session.call('ingress', '/svc/read', 'first')
            self.assertEqual(lost.status, 502)
            answer = await session.call('ingress', '/svc/read', 'second')
            self.assertEqual(answer.status, 200)

        run_virtually(scenario())
