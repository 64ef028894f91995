"""Answers that are not yet handed over when a server is about to end."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Final

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    start_server,
)

_BODY: Final = b'x' * 4_000_000
_REQUEST: Final = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
_LAST_ANSWER: Final = HttpResponse(504, (), b'the process ends')


async def _send_large(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), _BODY)


async def _never_end(request: HttpRequest) -> HttpResponse:
    await asyncio.sleep(60)
    return HttpResponse(200, (), b'')


async def _serve(
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]],
    payload: bytes,
) -> tuple[HttpServer, asyncio.StreamReader, asyncio.StreamWriter]:
    """Start a server and send a payload to it."""
    server = await start_server(handler, '127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', server.port, limit=1024
    )
    writer.write(payload)
    await asyncio.sleep(0.2)
    return server, reader, writer


class UnfinishedAnswersTest(unittest.TestCase):
    """Connections count as busy until the last byte is handed over."""

    def test_answer_that_a_caller_still_reads_counts_as_ended(self) -> None:
        """It is built, and most of it has not left."""

        async def scenario() -> None:
            server, reader, writer = await _serve(_send_large, _REQUEST)
            self.assertEqual(server.count_busy(), 1)
            received = 0
            while received < len(_BODY):
                received += len(await reader.read(65536))
            await asyncio.sleep(0.1)
            self.assertEqual(server.count_busy(), 0)
            writer.close()
            server.close()

        asyncio.run(scenario())

    def test_requests_that_run_at_the_end_get_no_answer(self) -> None:
        """Each of the pipelined ones gets the last answer, in order."""

        async def scenario() -> None:
            server, reader, writer = await _serve(_never_end, 2 * _REQUEST)
            server.answer_unfinished(lambda _: _LAST_ANSWER)
            received = await reader.read()
            self.assertEqual(received.count(b'HTTP/1.1 504'), 2)
            self.assertEqual(received.count(_LAST_ANSWER.body), 2)
            self.assertEqual(received.count(b'connection: close'), 1)
            writer.close()
            server.close()

        asyncio.run(scenario())

    def test_last_answer_is_written_into_another(self) -> None:
        """A caller that still reads gets that answer alone, and whole."""

        async def scenario() -> None:
            server, reader, writer = await _serve(_send_large, 2 * _REQUEST)
            server.answer_unfinished(lambda _: _LAST_ANSWER)
            received = b''
            while len(received) < 2 * len(_BODY):
                received += await reader.read(65536)
            self.assertNotIn(_LAST_ANSWER.body, received)
            writer.close()
            server.close()

        asyncio.run(scenario())
