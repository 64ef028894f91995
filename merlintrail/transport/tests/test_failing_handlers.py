"""A handler that fails costs its request one answer, and nothing else."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from merlintrail.transport import HttpRequest, HttpResponse, start_server
from merlintrail.transport.tests.slow_callers import (
    Received,
    build_request,
    connect_slowly,
)


async def _cancel_itself() -> None:
    """Await something that others cancel."""
    waiting = asyncio.get_running_loop().create_future()
    waiting.cancel()
    await waiting


async def _raise_lookup_error() -> None:
    raise LookupError('a fault of the handler')


async def _exchange(
    fail: Callable[[], Awaitable[None]], failing: str
) -> Received:
    """Send three requests at once, one of which fails."""

    async def handle(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.02)
        if request.target == failing:
            await fail()
        await asyncio.sleep(0.05)
        return HttpResponse(200, (), request.target.encode())

    server = await start_server(handler=handle, host='127.0.0.1', port=0)
    caller = await connect_slowly(server)
    caller.send(build_request(1) + build_request(2))
    caller.send(build_request(3, 'connection: close\r\n'))
    received = await caller.read_all(limit_s=2)
    caller.close()
    server.close()
    return received


class FailingHandlersTest(unittest.IsolatedAsyncioTestCase):
    """Three requests are sent at once, and one of them fails."""

    async def test_exception_cuts_the_requests_beside_it(self) -> None:
        """Each is answered, the failing one with status 500."""
        await self._check(_raise_lookup_error)

    async def test_cancelled_handler_cuts_the_requests_beside_it(self) -> None:
        """Something that it waits for is cancelled, not the request."""
        await self._check(_cancel_itself)

    async def _check(self, fail: Callable[[], Awaitable[None]]) -> None:
        for failing in ('/1', '/2', '/3'):
            received = await _exchange(fail, failing)
            expected = [
                b'internal-error' if target == failing else target.encode()
                for target in ('/1', '/2', '/3')
            ]
            self.assertEqual(len(received.bodies), 3, received)
            for body, text in zip(received.bodies, expected, strict=True):
                self.assertIn(text, body)
            self.assertEqual(received.payload.count(b'HTTP/1.1 500'), 1)
            self.assertEqual(received.error, '')
