"""Ends of connections that leave something undelivered are reported."""

import asyncio
import gc
import socket
import unittest
import weakref
from typing import Final

import uvloop

from merlintrail.transport import (
    ConnectionEnd,
    EndCause,
    HttpRequest,
    HttpResponse,
    ServerReports,
    start_server,
)

_REQUEST: Final = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
#: Makes a close reset the connection.
_LINGER: Final = b'\x01\x00\x00\x00\x00\x00\x00\x00'
_LARGE: Final = b'x' * 4_000_000


async def _answer_large(_: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), _LARGE)


async def _never_answer(_: HttpRequest) -> HttpResponse:
    await asyncio.sleep(60)
    return HttpResponse(200, (), b'')


class ConnectionEndTest(unittest.IsolatedAsyncioTestCase):
    """One connection to a server that records the reports."""

    async def asyncSetUp(self) -> None:
        self.ends: list[ConnectionEnd] = []

    async def test_caller_that_leaves_is_not_told_from_a_cut(self) -> None:
        """The request that it leaves is named."""
        writer = await self._connect(_never_answer)
        writer.close()
        end = await self._wait_for_report()
        self.assertEqual(end.cause, EndCause.CALLER)
        self.assertEqual([request.target for request in end.unanswered], ['/x'])

    async def test_reset_is_not_told_from_a_cut(self) -> None:
        """What the caller has not taken is counted."""
        writer = await self._connect(_answer_large)
        sock: socket.socket = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        writer.transport.abort()
        end = await self._wait_for_report()
        self.assertEqual(end.cause, EndCause.RESET)
        self.assertEqual(end.unanswered, ())
        self.assertGreater(end.unsent_bytes, 0)

    def test_reset_in_the_event_loop_of_nodes_counts_as_a_cut(self) -> None:
        """It is not what this node did."""

        async def scenario() -> None:
            writer = await self._connect(_never_answer)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
            writer.transport.abort()
            end = await self._wait_for_report()
            self.assertEqual(end.cause, EndCause.RESET)

        self.ends = []
        uvloop.run(scenario())

    async def test_end_of_the_process_leaves_no_trace(self) -> None:
        """It is reported once, before anything is closed."""
        await self._connect(_never_answer)
        self.server.close()
        end = await self._wait_for_report()
        await asyncio.sleep(0.1)
        self.assertEqual(end.cause, EndCause.PROCESS_END)
        self.assertEqual(len(self.ends), 1)

    async def test_delivered_answer_is_reported(self) -> None:
        """An idle connection ends without a report."""

        async def answer(_: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), b'')

        writer = await self._connect(answer)
        writer.close()
        await asyncio.sleep(0.1)
        self.server.close()
        self.assertEqual(self.ends, [])

    async def test_ended_connection_stays_in_memory(self) -> None:
        """It is freed without the garbage collector, which runs rarely."""

        async def answer(_: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), b'')

        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        writer = await self._connect(answer)
        ended = weakref.ref(next(iter(self.server.connections)))
        writer.close()
        await asyncio.sleep(0.2)
        self.assertIsNone(ended())

    async def _connect(self, handler: object) -> asyncio.StreamWriter:
        self.server = await start_server(
            handler,  # type: ignore[arg-type]
            '127.0.0.1',
            0,
            reports=ServerReports(end=self.ends.append),
        )
        self.addCleanup(self.server.close)
        _, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port, limit=1024
        )
        self.addCleanup(writer.close)
        writer.write(_REQUEST)
        await asyncio.sleep(0.2)
        return writer

    async def _wait_for_report(self) -> ConnectionEnd:
        async with asyncio.timeout(5):
            while not self.ends:
                await asyncio.sleep(0.01)
        return self.ends[0]
