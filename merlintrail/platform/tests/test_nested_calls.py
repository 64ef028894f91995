"""Nested calls, with and without a hint of the parent call."""

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


def _build_answer(request: HttpRequest, status: int = 200) -> HttpResponse:
    echo = ('attempt-id', request.headers['attempt-id'])
    return HttpResponse(status, (echo, ('response-seal', 's')), b'done')


def _create_session(id_template: str) -> Session:
    """Create two services, of which ``upper`` makes two nested calls each time.

    :param id_template: form of the attempt identifiers of the nested calls.
    """
    session = Session(_DOCUMENT, ('upper', 'lower'), PlatformDialect())

    async def serve_upper(request: HttpRequest) -> HttpResponse:
        for number in range(2):
            parent = request.headers['attempt-id']
            nested_id = id_template.format(parent=parent, number=number)
            answer = await session.nodes['upper'].local_service.handle(
                _build_request('lower', nested_id)
            )
            if answer.status != 200:
                return _build_answer(request, 500)
        return _build_answer(request)

    async def serve_lower(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.01)
        return _build_answer(request)

    session.add_backend('upper', 'upper', serve_upper)
    session.add_backend('lower', 'lower', serve_lower)
    return session


class NestedCallsTest(unittest.TestCase):
    """A request whose backend server makes two nested calls."""

    def test_parent_hint_is_optional(self) -> None:
        """Nested calls succeed without a hint and with an unknown parent."""
        for id_template in (
            '{parent}.{number}',
            'unrelated{number}',
            'unknown.{number}',
        ):
            with self.subTest(id_template):
                run_virtually(self.serve_request(id_template))

    async def serve_request(self, id_template: str) -> None:
        """Serve one request and count the nested calls that ran."""
        session = _create_session(id_template)
        answer = await session.nodes['upper'].local_service.handle(
            _build_request('upper', 'request-1')
        )
        self.assertEqual((answer.status, answer.body), (200, b'done'))
        self.assertEqual(session.executions['lower '], 2)

    def test_cancelled_request_cancels_nested_calls(self) -> None:
        """A nested call that hints at its parent is cancelled with it."""

        async def scenario() -> None:
            session = _create_session('{parent}.{number}')
            call_task = asyncio.create_task(
                session.send_request(_build_request('upper', 'request-1'))
            )
            await asyncio.sleep(0.006)
            call_task.cancel()
            await asyncio.sleep(0.1)
            self.assertEqual(session.nodes['lower'].gateway.running, 0)
            self.assertLessEqual(session.executions['lower '], 1)

        run_virtually(scenario())
