"""What a server and a pool do when memory or connections run out."""

import asyncio
import unittest
from typing import Final

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    MemoryBudget,
    create_memory,
    create_pool,
    start_server,
)
from merlintrail.transport._connection_state import EndLimits
from merlintrail.transport.tests.slow_callers import (
    build_request,
    connect_slowly,
)

_REQUEST: Final = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
_PARTIAL_BODY: Final = (
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n'
    + bytes(59_000)
)
_LARGE: Final = bytes(1_000_000)
_ADDRESS: Final = '127.0.0.1'


class _Rig:
    """A server that holds each request until it is released."""

    def __init__(self, limit_bytes: int, max_connections: int = 100) -> None:
        self.budget = MemoryBudget(limit_bytes)
        self._max_connections = max_connections
        self.released = asyncio.Event()
        self.begun = 0

    async def start(self) -> HttpServer:
        """Start the server."""
        memory = create_memory(self.budget)
        return await start_server(
            self._answer,
            _ADDRESS,
            0,
            memory=memory._replace(max_connections=self._max_connections),
        )

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        self.begun += 1
        await self.released.wait()
        return HttpResponse(200, (), b'')


class CrowdedServerTest(unittest.IsolatedAsyncioTestCase):
    """Ordinary callers are served beside others."""

    async def start(
        self, limit_bytes: int, max_connections: int = 100
    ) -> tuple[_Rig, HttpServer]:
        """Start a server that is closed at the end of the test."""
        rig = _Rig(limit_bytes, max_connections)
        server = await rig.start()
        self.addCleanup(server.close)
        return rig, server

    async def send(
        self, server: HttpServer, payload: bytes
    ) -> asyncio.StreamReader:
        """Send bytes on a new connection, and let the server read them."""
        reader, writer = await asyncio.open_connection(_ADDRESS, server.port)
        self.addCleanup(writer.close)
        writer.write(payload)
        await writer.drain()
        await asyncio.sleep(0.02)
        return reader

    async def test_bodies_that_arrive_keep_a_request_out(self) -> None:
        """Those that hold most are refused as not run, and come back later."""
        rig, server = await self.start(500_000)
        senders = [await self.send(server, _PARTIAL_BODY) for _ in range(12)]
        rig.released.set()
        reader = await self.send(server, _REQUEST)
        self.assertIn(b' 200 ', await reader.readline())
        self.assertLessEqual(rig.budget.taken_bytes, 500_000)
        self.assertEqual(rig.begun, 1)
        await asyncio.sleep(0.1)
        heads = [
            await sender.readuntil(b'\r\n\r\n')
            for sender in senders
            if sender._buffer  # type: ignore[attr-defined]  # noqa: SLF001
        ]
        self.assertGreater(len(heads), 2)
        for head in heads:
            self.assertIn(b' 503 ', head)
            self.assertIn(b'merlintrail-outcome: not-run', head)
            self.assertIn(b'retry-after: 1', head)

    async def test_request_that_was_passed_on_is_given_up(self) -> None:
        """What waits behind it is refused, it is answered itself."""
        rig, server = await self.start(200_000)
        reader = await self.send(server, _REQUEST * 15)
        await self.send(server, _PARTIAL_BODY)
        await self.send(server, _PARTIAL_BODY)
        begun = rig.begun
        rig.released.set()
        async with asyncio.timeout(5):
            received = await reader.readuntil(b'"no-room"}')
        self.assertEqual(received.count(b'HTTP/1.1 200'), begun)
        self.assertEqual(rig.begun, begun)

    async def test_silent_connections_keep_a_caller_out(self) -> None:
        """They are closed first, and a request that is served is kept."""
        rig, server = await self.start(10_000_000, 8)
        served = await self.send(server, _REQUEST)
        silent = [await self.send(server, b'') for _ in range(7)]
        begun = await self.send(server, b'GET')
        reader = await self.send(server, _REQUEST)
        self.assertEqual(await silent[0].read(), b'')
        self.assertLessEqual(len(server.connections), 8)
        self.assertFalse(begun.at_eof())
        rig.released.set()
        for caller in (served, reader):
            self.assertIn(b' 200 ', await caller.readline())
        self.assertEqual(server.displaced_connections, 2)

    async def test_callers_that_read_nothing_keep_a_caller_out(self) -> None:
        """They do so for more than the short time, with answers on the way."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), _LARGE)

        memory = create_memory()._replace(max_connections=4)
        server = await start_server(answer, _ADDRESS, 0, memory=memory)
        self.addCleanup(server.close)
        for _ in range(4):
            caller = await connect_slowly(server)
            self.addCleanup(caller.close)
            caller.send(build_request(1))
        await asyncio.sleep(EndLimits().short_stall_s + 1.0)
        reader = await self.send(server, _REQUEST)
        self.assertIn(b' 200 ', await reader.readline())

    async def test_requests_of_one_read_are_all_parsed(self) -> None:
        """A caller sends 5,000 at once; few wait, and the rest as bytes."""
        rig, server = await self.start(50_000_000)
        await self.send(server, _REQUEST * 5000)
        await asyncio.sleep(0.1)
        self.assertLessEqual(rig.begun, 32)
        self.assertLess(rig.budget.taken_bytes, 1_000_000)


class CrowdedPoolTest(unittest.IsolatedAsyncioTestCase):
    """Answers wait for room, in their order."""

    async def serve(self, payload: bytes) -> str:
        """Start a server that sends some bytes; return its address."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(payload)
            await writer.drain()

        server = await asyncio.start_server(answer, _ADDRESS, 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f'{_ADDRESS}:{port}'

    async def test_answers_of_all_servers_are_read_at_once(self) -> None:
        """Each is whole, and few of them are held at a time."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), _LARGE)

        server = await start_server(answer, _ADDRESS, 0)
        self.addCleanup(server.close)
        pool = create_pool()
        pool.budget = MemoryBudget(4_500_000)
        most = 0

        async def fetch() -> int:
            nonlocal most  # noqa: WPS420
            received = await pool.exchange(
                f'{_ADDRESS}:{server.port}', 'GET', '/', (), b'', timeout_s=10
            )
            assert isinstance(received, HttpResponse), received
            most = max(most, pool.budget.taken_bytes)
            await asyncio.sleep(0.01)
            return len(received.body)

        sizes = await asyncio.gather(*(fetch() for _ in range(20)))
        self.assertEqual(sizes, [len(_LARGE)] * 20)
        self.assertLess(most, 4_500_000)
        await asyncio.sleep(0)
        self.assertEqual(pool.budget.taken_bytes, 0)

    async def test_answer_that_waits_is_given_up(self) -> None:
        """Its time runs out; those behind it get the room that it left."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), _LARGE)

        server = await start_server(answer, _ADDRESS, 0)
        self.addCleanup(server.close)
        pool = create_pool()
        pool.budget = MemoryBudget(1_000_000)
        hold = pool.budget.open_hold()
        hold.add(900_000)
        held = HttpResponse(200, (), b'', hold)

        async def fetch(timeout_s: float) -> object:
            return await pool.exchange(
                f'{_ADDRESS}:{server.port}',
                'GET',
                '/',
                (),
                b'',
                timeout_s=timeout_s,
            )

        first = asyncio.create_task(fetch(0.2))
        second = asyncio.create_task(fetch(5.0))
        self.assertNotIsInstance(await first, HttpResponse)
        self.assertTrue(pool.budget.is_exhausted)
        del held, hold
        self.assertIsInstance(await second, HttpResponse)

    async def test_answer_that_waits_is_replaced_by_the_next(self) -> None:
        """The server sends a late one behind it, in the same bytes."""
        lines = b''.join(b'x%d: \r\n' % number for number in range(5000))
        payload = b''.join(
            b'HTTP/1.1 200 OK\r\n%bcontent-length: 5\r\n\r\n%b' % (head, body)
            for head, body in ((lines, b'first'), (b'', b'other'))
        )

        address = await self.serve(payload)
        pool = create_pool()
        pool.budget = MemoryBudget(1_000_000)
        hold = pool.budget.open_hold()
        hold.add(900_000)
        answer = await pool.exchange(address, 'GET', '/', (), b'', timeout_s=1)
        assert isinstance(answer, HttpResponse), answer
        self.assertEqual(answer.body, b'first')

    async def test_small_answer_of_unknown_length_takes_a_large_room(
        self,
    ) -> None:
        """It is sent in chunks, and counts with its own bytes."""
        payload = (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'2\r\nhi\r\n0\r\n\r\n'
        )

        address = await self.serve(payload)
        pool = create_pool()
        answer = await pool.exchange(address, 'GET', '/', (), b'', timeout_s=1)
        assert isinstance(answer, HttpResponse), answer
        self.assertEqual(answer.body, b'hi')
        self.assertLess(pool.budget.taken_bytes, 2000)
