"""Calls of a backend server, with and without a hint at their parent."""

import asyncio
import unittest
from typing import Final

from merlintrail.node.tests.session import Session
from merlintrail.platform import PlatformDialect
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse


def _build_route(name: str) -> dict[str, object]:
    return {
        'name': name,
        'host': 'h',
        'prefix': f'/{name}/',
        'service': name,
        'importance': 'normal',
        'idempotent': True,
        'timeout_ms': 1000,
        'attempts': 2,
    }


_DOCUMENT: Final = {
    'format': 1,
    'services': [
        {'name': 'upper', 'warmup_s': 0},
        {'name': 'lower', 'warmup_s': 0},
    ],
    'routes': [_build_route('upper'), _build_route('lower')],
    'regions': [{'name': 'one', 'data_centres': ['dc']}],
}


def _build_request(name: str, attempt_id: str) -> HttpRequest:
    headers = {'host': 'h', 'attempt-id': attempt_id, 'timeout-ms': '900'}
    return HttpRequest('GET', f'/{name}/x', headers, b'', '127.0.0.1')


def _answer(request: HttpRequest, status: int = 200) -> HttpResponse:
    echo = ('attempt-id', request.headers['attempt-id'])
    return HttpResponse(status, (echo, ('response-seal', 's')), b'done')


def _create_session(child_id: str) -> Session:
    """Create a chain whose upper server makes two calls below each."""
    session = Session(_DOCUMENT, ('upper', 'lower'), PlatformDialect())

    async def serve_upper(request: HttpRequest) -> HttpResponse:
        for number in range(2):
            parent = request.headers['attempt-id']
            identifier = child_id.format(parent=parent, number=number)
            answer = await session.nodes['upper'].local_service.handle(
                _build_request('lower', identifier)
            )
            if answer.status != 200:
                return _answer(request, 500)
        return _answer(request)

    async def serve_lower(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.01)
        return _answer(request)

    session.add_backend('upper', 'upper', serve_upper)
    session.add_backend('lower', 'lower', serve_lower)
    return session


class CallsBelowTest(unittest.TestCase):
    """A request that makes two calls."""

    def test_served_with_and_without_a_hint(self) -> None:
        """Also with one that names a call that does not run here."""
        for child_id in (
            '{parent}.{number}',
            'unrelated{number}',
            'gone.{number}',
        ):
            with self.subTest(child_id):
                run_virtually(self.serve(child_id))

    async def serve(self, child_id: str) -> None:
        """Serve one request and count what ran."""
        session = _create_session(child_id)
        answer = await session.nodes['upper'].local_service.handle(
            _build_request('upper', 'request-1')
        )
        self.assertEqual((answer.status, answer.body), (200, b'done'))
        self.assertEqual(session.executions['lower '], 2)

    def test_caller_that_leaves_ends_its_calls(self) -> None:
        """Known by the hint, the call below ends with its parent."""

        async def scenario() -> None:
            session = _create_session('{parent}.{number}')
            serving = asyncio.create_task(
                session.call_with(_build_request('upper', 'request-1'))
            )
            await asyncio.sleep(0.006)
            serving.cancel()
            await asyncio.sleep(0.1)
            self.assertEqual(session.nodes['lower'].gatekeeper.running, 0)
            self.assertLessEqual(session.executions['lower '], 1)

        run_virtually(scenario())
