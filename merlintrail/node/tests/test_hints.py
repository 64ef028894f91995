"""Wrong health and load endpoints do not affect routing."""

import asyncio
import unittest

from merlintrail.node.backend._backend import Announcement
from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_DOCUMENT = build_document({'svc': [build_kind('read')]})


def _create_session(health_status: int) -> Session:
    """Create a session with a health status of its backend servers."""
    session = Session(_DOCUMENT, ('ingress', 'one', 'two'))
    serve = answer_after(0.01)

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.target == '/health':
            return HttpResponse(health_status, (), b'')
        if request.target == '/load':
            return HttpResponse(200, (), b'{"running": 999}')
        return await serve(request)

    for name in ('one', 'two'):
        session.add_backend(name, 'svc', handle)
        session.nodes[name].gateway.registry.announce(
            Announcement(
                'svc',
                f'{name}:svc',
                4,
                ttl_s=1.0e6,
                health_path='/health',
                load_path='/load',
            )
        )
    return session


class HintTest(unittest.TestCase):
    """Connections and answers decide, not the polled endpoints."""

    def test_bad_health_of_a_server_that_works(self) -> None:
        """Every request is served; the hint is shown to operators."""

        async def scenario() -> None:
            session = _create_session(500)
            for name in ('one', 'two'):
                await session.nodes[name].gateway.refresh_hints()
            await asyncio.sleep(10)
            for number in range(6):
                answer = await session.call('ingress', '/svc/read', f'{number}')
                self.assertEqual(answer.status, 200)
            shown = session.nodes['one'].build_status()['backend_servers'][0]
            self.assertTrue(shown['health_hint'].startswith('500'))
            self.assertIn('999', shown['load_hint'])

        run_virtually(scenario())

    def test_good_health_of_a_server_that_refuses_connections(self) -> None:
        """It reported good health 10 s ago and now refuses connections."""

        async def scenario() -> None:
            session = _create_session(200)
            for name in ('one', 'two'):
                await session.nodes[name].gateway.refresh_hints()
            await asyncio.sleep(10)
            session.network.refusing.add('one:svc')
            for number in range(6):
                answer = await session.call('ingress', '/svc/read', f'{number}')
                self.assertEqual(answer.status, 200)
            backend = session.nodes['one'].gateway.gates['svc'].backend
            self.assertTrue(backend.health_hint.startswith('200'))
            self.assertLessEqual(session.network.counts['one:svc'], 4)

        run_virtually(scenario())
