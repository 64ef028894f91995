"""Room that request bodies of all connections share."""

import asyncio
import unittest
from typing import Final

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    MemoryBudget,
    ServerLimits,
    create_memory,
    start_server,
)

_BODY_BYTES: Final = 2_000_000
_LIMITS: Final = ServerLimits(max_body_bytes=3_000_000)
_HEAD: Final = b'POST /x HTTP/1.1\r\nhost: a\r\n'
_SIZED: Final = _HEAD + b'content-length: 2000000\r\n\r\n'
_CHUNKED: Final = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_PART: Final = b'x' * 100_000
#: Memory in bytes of two requests without their bodies, and three connections.
_OTHER_BYTES: Final = 50_000
_CHUNK: Final = b'186a0\r\n' + _PART + b'\r\n'


class _Rig:
    """A server that holds each request until it is released."""

    def __init__(self) -> None:
        self.budget = MemoryBudget(3_000_000)
        self.released = asyncio.Event()
        self.sizes: list[int] = []

    async def start(self) -> HttpServer:
        """Start the server."""
        return await start_server(
            self._answer,
            '127.0.0.1',
            0,
            limits=_LIMITS,
            memory=create_memory(self.budget),
        )

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        self.sizes.append(len(request.body))
        await self.released.wait()
        return HttpResponse(200, (), b'')


async def _begin(
    server: HttpServer, sent: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(sent)
    return reader, writer


async def _wait_for(rig: _Rig, taken_bytes: int) -> None:
    """Wait until bodies take some bytes beside heads and connections."""
    while not 0 <= rig.budget.taken_bytes - taken_bytes <= _OTHER_BYTES:
        await asyncio.sleep(0.01)


async def _wait_for_nothing(rig: _Rig) -> None:
    while rig.budget.taken_bytes:
        await asyncio.sleep(0.01)


class MemoryBudgetTest(unittest.IsolatedAsyncioTestCase):
    """A body that does not fit is refused before it is read."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.rig = _Rig()
        self.server = await self.rig.start()
        self.addCleanup(self.server.close)

    async def test_bodies_of_all_connections_without_a_limit(self) -> None:
        """The second one comes back later, small ones pass, room is freed."""
        first, first_writer = await _begin(
            self.server, _SIZED + b'x' * _BODY_BYTES
        )
        await _wait_for(self.rig, _BODY_BYTES)
        for sent in (_SIZED, _CHUNKED + _CHUNK * 20):
            reader, writer = await _begin(self.server, sent)
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            self.assertIn(b' 503 ', head)
            self.assertIn(b'retry-after: 1', head)
            self.assertIn(b'merlintrail-outcome: not-run', head)
            writer.close()
        self.rig.released.set()
        self.assertIn(b' 200 ', await first.readline())
        small, small_writer = await _begin(
            self.server, _HEAD + b'content-length: 2\r\n\r\nhi'
        )
        self.assertIn(b' 200 ', await small.readline())
        self.assertEqual(self.rig.sizes, [_BODY_BYTES, 2])
        self.assertEqual(self.rig.budget.refusals, 2)
        for writer in (first_writer, small_writer):
            writer.close()
        await _wait_for_nothing(self.rig)

    async def test_callers_that_leave_keep_their_room(self) -> None:
        """While they send, while they wait, and behind another request."""
        half = b'x' * (_BODY_BYTES // 2)
        whole = _SIZED + half * 2
        waiting = _HEAD + b'content-length: 2\r\n\r\nhi'
        for sent, taken in (
            (_SIZED + half, _BODY_BYTES),
            (whole, _BODY_BYTES),
            (waiting + whole, _BODY_BYTES),
            (_CHUNKED + _CHUNK * 15, 2 * 1048576),
        ):
            _, writer = await _begin(self.server, sent)
            await _wait_for(self.rig, taken)
            writer.transport.abort()
            await _wait_for_nothing(self.rig)

    async def test_chunked_body(self) -> None:
        """Its room grows with it, and it arrives whole."""
        self.rig.released.set()
        reader, writer = await _begin(
            self.server, _CHUNKED + _CHUNK * 20 + b'0\r\n\r\n'
        )
        self.assertIn(b' 200 ', await reader.readline())
        self.assertEqual(self.rig.sizes, [_BODY_BYTES])
        await _wait_for(self.rig, 0)
        writer.close()
        await _wait_for_nothing(self.rig)


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """A large body may take longer than the time for a small one."""

    async def test_large_body_that_goes_on_arriving(self) -> None:
        """It is read to its end; one that stands still is given up."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), b'')

        server = await start_server(
            answer,
            '127.0.0.1',
            0,
            limits=_LIMITS._replace(receive_timeout_s=0.2, body_timeout_s=0.2),
        )
        self.addCleanup(server.close)
        reader, writer = await _begin(server, _SIZED)
        for _ in range(20):
            await asyncio.sleep(0.05)
            writer.write(_PART)
        self.assertIn(b' 200 ', await reader.readline())
        writer.close()
        reader, writer = await _begin(server, _SIZED + _PART)
        self.assertIn(b' 408 ', await reader.readline())
        writer.close()
