"""Callers that read slowly get every answer of a connection that ends."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Final

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
    UntakenAnswers,
    create_memory,
    start_server,
)
from merlintrail.transport.tests.slow_callers import (
    SlowCaller,
    build_request,
    connect_slowly,
)

_LARGE: Final = b'x' * 1_000_000
_LAST_ANSWER: Final = HttpResponse(504, (), b'the process ends')
_CHUNKED: Final = (
    b'POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_CHUNK: Final = b'10000\r\n' + b'y' * 65536 + b'\r\n'


async def _answer_large(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), _LARGE)


class _Handler:
    """Answers each request after the delay that is set for its target."""

    def __init__(self, delays_s: dict[str, float], large: str = '/1') -> None:
        self._delays_s = delays_s
        self._large = large
        #: Targets of the requests that were passed on.
        self.begun: list[str] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with the target, or with a large body."""
        self.begun.append(request.target)
        await asyncio.sleep(self._delays_s.get(request.target, 0.02))
        if request.target == self._large:
            return HttpResponse(200, (), _LARGE)
        return HttpResponse(200, (), request.target.encode())


class SlowCallersTest(unittest.IsolatedAsyncioTestCase):
    """One caller with a small window."""

    async def test_answer_that_is_still_read_is_reset(self) -> None:
        """The server closes the connection; the caller sends on."""
        server, caller = await self._connect(_answer_large)
        server.is_closing = True
        caller.send(build_request(1))
        await asyncio.sleep(1.0)
        caller.send(build_request(2))
        received = await caller.read_all(0.001)
        self.assertEqual((received.bodies, received.error), ([_LARGE], ''))

    async def test_connection_with_an_untaken_answer_counts_as_idle(
        self,
    ) -> None:
        """The process would end before the caller has read the answer."""
        server, caller = await self._connect(_answer_large)
        server.is_closing = True
        caller.send(build_request(1))
        await asyncio.sleep(0.1)
        self.assertGreater(server.list_ending()[0].untaken_bytes, 500_000)
        read_bytes = 0
        while read_bytes < len(_LARGE):
            self.assertEqual(server.count_busy(), 1)
            read_bytes += len(await caller.read_part())
            await asyncio.sleep(0.005)
        caller.close()
        await asyncio.sleep(0.5)
        self.assertEqual(server.count_busy(), 0)

    async def test_request_behind_the_last_answer_is_passed_on_and_cut(
        self,
    ) -> None:
        """It arrives while that answer waits for room to be written."""
        handler = _Handler({}, '/2')
        server, caller = await self._connect(handler.handle)
        caller.send(build_request(2))
        await asyncio.sleep(0.2)
        server.is_closing = True
        caller.send(build_request(3))
        await asyncio.sleep(0.2)
        caller.send(build_request(4))
        await asyncio.sleep(0.2)
        received = await caller.read_all()
        answers = [body for body in received.bodies if body != _LARGE]
        begun = [name.encode() for name in handler.begun[1:]]
        self.assertEqual(answers, begun)
        self.assertEqual(received.error, '')

    async def test_request_behind_a_slow_answer_gets_none_at_the_end(
        self,
    ) -> None:
        """The time of a stop is over: one is known, the other at work."""
        handler = _Handler({'/1': 0.0, '/3': 30.0})
        server, caller = await self._connect(handler.handle)
        caller.send(b''.join(build_request(number) for number in (1, 2, 3)))
        await asyncio.sleep(0.3)
        server.is_closing = True
        server.answer_unfinished(lambda _: _LAST_ANSWER)
        received = await caller.read_all()
        self.assertEqual(
            received.bodies, [_LARGE, b'/2', _LAST_ANSWER.body], received.error
        )

    async def test_refused_upload_is_reset_before_its_answer_is_read(
        self,
    ) -> None:
        """The caller goes on sending for a second before it reads."""
        server, caller = await self._connect(_answer_large)
        caller.send(_CHUNKED)
        for _ in range(100):
            caller.send(_CHUNK)
            await asyncio.sleep(0.01)
        await caller.drain()
        received = await caller.read_all(limit_s=2)
        self.assertIn(b'HTTP/1.1 413', received.payload)
        self.assertIn(b'body-too-large', received.payload)

    async def test_idle_time_runs_out_while_an_answer_is_read(self) -> None:
        """It counts from the moment at which the caller has the answer."""
        limits = ServerLimits(idle_timeout_s=1.0)
        handler = _Handler({})
        server, caller = await self._connect(handler.handle, limits)
        caller.send(build_request(1))
        read_bytes = 0
        while read_bytes < len(_LARGE):
            read_bytes += len(await caller.read_part())
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.75)
        caller.send(build_request(2, 'connection: close\r\n'))
        received = await caller.read_all(limit_s=2)
        self.assertTrue(received.payload.endswith(b'\r\n\r\n/2'), received)

    async def test_idle_time_runs_out_while_a_body_arrives(self) -> None:
        """The limits on a body apply to it, and it gets its answer."""
        limits = ServerLimits(idle_timeout_s=0.4)
        _, caller = await self._connect(_Handler({}).handle, limits)
        caller.send(
            b'POST /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n'
            b'content-length: 4\r\n\r\n'
        )
        for _ in range(4):
            await asyncio.sleep(0.6)
            caller.send(b'x')
        received = await caller.read_all(limit_s=2)
        self.assertEqual(received.bodies, [b'/2'])

    async def test_caller_that_never_reads_is_kept(self) -> None:
        """It takes no byte for the time to send, with or without an end."""
        limits = ServerLimits(send_timeout_s=0.6)
        for headers in ('', 'connection: close\r\n'):
            server, caller = await self._connect(_answer_large, limits)
            caller.send(build_request(1, headers))
            await asyncio.sleep(0.3)
            self.assertEqual(len(server.connections), 1)
            await self._wait_for_end(server)

    async def test_callers_that_never_read_take_all_memory(self) -> None:
        """Together they hold too much; one that reads slowly is kept."""
        untaken = UntakenAnswers(3 * len(_LARGE))
        server = await start_server(
            _answer_large, '127.0.0.1', 0, memory=create_memory(answers=untaken)
        )
        self.addCleanup(server.close)
        callers = [await connect_slowly(server) for _ in range(6)]
        for caller in callers:
            self.addCleanup(caller.close)
            caller.send(build_request(1, 'connection: close\r\n'))
        received = await callers[0].read_all(0.03, limit_s=12)
        self.assertEqual((received.bodies, received.error), ([_LARGE], ''))
        async with asyncio.timeout(10):
            while untaken.total_bytes > 3 * len(_LARGE):
                await asyncio.sleep(0.1)

    async def test_caller_that_closes_its_end_and_never_reads_is_kept(
        self,
    ) -> None:
        """The same bound holds for what it does not take."""
        limits = ServerLimits(send_timeout_s=0.6)
        server, caller = await self._connect(_answer_large, limits)
        caller.send(build_request(1))
        await asyncio.sleep(0.1)
        caller.send_end()
        await asyncio.sleep(0.2)
        self.assertEqual(len(server.connections), 1)
        await self._wait_for_end(server)

    async def test_caller_that_closes_its_end_loses_a_written_answer(
        self,
    ) -> None:
        """It reads slowly what was written before."""
        server, caller = await self._connect(_answer_large)
        caller.send(build_request(1))
        await asyncio.sleep(0.1)
        caller.send_end()
        received = await caller.read_all(0.01)
        self.assertEqual((received.bodies, received.error), ([_LARGE], ''))
        await self._wait_for_end(server)

    async def test_request_that_arrives_at_the_end_gets_no_answer(self) -> None:
        """It is refused as not run, and its caller goes on sending."""
        server, caller = await self._connect(_answer_large)
        caller.send(_CHUNKED + _CHUNK)
        await asyncio.sleep(0.1)
        server.refuse_incomplete('draining')
        for _ in range(10):
            caller.send(_CHUNK)
            await asyncio.sleep(0.01)
        received = await caller.read_all(limit_s=3)
        self.assertIn(b'HTTP/1.1 503', received.payload)
        self.assertIn(b'retry-after: 1', received.payload)
        self.assertEqual(received.error, '')

    async def test_stop_raises_an_error_for_a_caller_that_closed_its_end(
        self,
    ) -> None:
        """One request is dropped, and the answer before it is handed over."""
        server, caller = await self._connect(_Handler({'/2': 30.0}).handle)
        caller.send(build_request(1) + build_request(2))
        await asyncio.sleep(0.1)
        caller.send_end()
        await asyncio.sleep(0.1)
        server.answer_unfinished(lambda _: _LAST_ANSWER)
        received = await caller.read_all()
        self.assertEqual((received.bodies, received.error), ([_LARGE], ''))

    async def _wait_for_end(self, server: HttpServer) -> None:
        async with asyncio.timeout(5):
            while server.connections:
                await asyncio.sleep(0.05)

    async def _connect(
        self,
        handler: Callable[[HttpRequest], Awaitable[HttpResponse]],
        limits: ServerLimits | None = None,
    ) -> tuple[HttpServer, SlowCaller]:
        server = await start_server(handler, '127.0.0.1', 0, limits=limits)
        self.addCleanup(server.close)
        caller = await connect_slowly(server)
        self.addCleanup(caller.close)
        return server, caller
