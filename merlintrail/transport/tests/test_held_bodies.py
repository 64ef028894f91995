"""Memory that bodies of messages take after they were handed over."""

import asyncio
import gc
import tracemalloc
import unittest
from collections.abc import Coroutine
from typing import Any, Final

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    create_pool,
    start_server,
)
from merlintrail.transport._body import BodyBuffer

_BODY: Final = b'x' * 500_000
_MESSAGES: Final = 20
#: Bytes of memory that all of them may take when they are done.
_HELD_BYTES: Final = 2 * len(_BODY)
_CLOSING: Final = (('connection', 'close'),)


async def _accept(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), b'')


async def _send_large(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, _CLOSING, _BODY[:-1] + b'y')


async def _upload(server: HttpServer, *, closes: bool) -> asyncio.StreamWriter:
    """Send a body and read the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    end = 'connection: close\r\n' if closes else ''
    head = f'PUT /x HTTP/1.1\r\nhost: a\r\n{end}content-length: {len(_BODY)}'
    writer.write(f'{head}\r\n\r\n'.encode())
    writer.write(_BODY)
    await reader.readuntil(b'\r\n\r\n')
    return writer


def _run_traced(work: Coroutine[Any, Any, None]) -> None:
    """Run work with memory traced and without the collector of cycles."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        asyncio.run(work)
    finally:
        tracemalloc.stop()
        gc.enable()


class HeldBodiesTest(unittest.TestCase):
    """Bodies are freed as soon as they were handed over."""

    def setUp(self) -> None:
        """Measure nothing yet."""
        self.held_bytes = 0

    def test_closed_connection_of_a_caller_keeps_its_upload(self) -> None:
        """Nothing of it is left for the collector of reference cycles."""

        async def scenario() -> None:
            server = await start_server(_accept, '127.0.0.1', 0)
            for _ in range(_MESSAGES):
                writer = await _upload(server, closes=True)
                writer.close()
                await writer.wait_closed()
            await asyncio.sleep(0.1)
            self.held_bytes = tracemalloc.get_traced_memory()[0]
            server.close()

        _run_traced(scenario())
        self.assertLess(self.held_bytes, _HELD_BYTES)

    def test_idle_connection_of_a_caller_keeps_its_upload(self) -> None:
        """It stays open for the next request, and holds no body."""

        async def scenario() -> None:
            server = await start_server(_accept, '127.0.0.1', 0)
            writers = [
                await _upload(server, closes=False) for _ in range(_MESSAGES)
            ]
            await asyncio.sleep(0.1)
            self.held_bytes = tracemalloc.get_traced_memory()[0]
            for writer in writers:
                writer.close()
            server.close()

        _run_traced(scenario())
        self.assertLess(self.held_bytes, _HELD_BYTES)

    def test_closed_connection_to_a_server_keeps_its_answer(self) -> None:
        """The answer is gone once its receiver has dropped it."""

        async def scenario() -> None:
            server = await start_server(_send_large, '127.0.0.1', 0)
            pool = create_pool()
            address = f'127.0.0.1:{server.port}'
            for _ in range(_MESSAGES):
                answer = await pool.exchange(
                    address, 'GET', '/x', (('host', 'a'),), b'', timeout_s=5
                )
                assert isinstance(answer, HttpResponse)
                self.assertEqual(len(answer.body), len(_BODY))
            del answer
            await asyncio.sleep(0.1)
            self.held_bytes = tracemalloc.get_traced_memory()[0]
            server.close()

        _run_traced(scenario())
        self.assertLess(self.held_bytes, _HELD_BYTES)

    def test_idle_connection_of_a_caller_keeps_its_answer(self) -> None:
        """The answer is gone once its caller has taken it."""

        async def send_large(_: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), _BODY[:-1] + b'y')

        async def scenario() -> None:
            server = await start_server(send_large, '127.0.0.1', 0)
            writers = []
            for _ in range(_MESSAGES):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', server.port
                )
                writer.write(b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n')
                await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(len(_BODY))
                writers.append(writer)
            await asyncio.sleep(0.1)
            self.held_bytes = tracemalloc.get_traced_memory()[0]
            for writer in writers:
                writer.close()
            server.close()

        _run_traced(scenario())
        self.assertLess(self.held_bytes, _HELD_BYTES)

    def test_body_in_tiny_parts_takes_many_times_its_size(self) -> None:
        """Its memory follows its bytes."""
        tracemalloc.start()
        buffer = BodyBuffer()
        for _ in range(len(_BODY) // 2):
            buffer.append(bytes(2))
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertEqual(len(buffer.take()), len(_BODY))
        self.assertLess(peak_bytes, 3 * len(_BODY))
