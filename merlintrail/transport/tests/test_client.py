"""Whole answers only, and only to their own request."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Sequence
from unittest import mock

from merlintrail.transport import (
    ConnectionPool,
    FailureStage,
    HttpResponse,
    ExchangeTimeouts,
    TransportFailure,
    create_pool,
)

_WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
_BROKEN = (
    ('dies in the head', b'HTTP/1.1 200 OK\r\ncontent-le', 'closed'),
    (
        'dies in the body',
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc',
        'closed',
    ),
    (
        'chunk cut',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab',
        'closed',
    ),
    (
        'last chunk missing',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n',
        'closed',
    ),
    ('not HTTP', b'garbage\r\n\r\n', 'malformed'),
    (
        'too large',
        b'HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n' + b'x' * 200000,
        'too large',
    ),
)


class _ScriptedServer:
    """Answers each request on a connection with the next scripted bytes."""

    def __init__(self, script: Sequence[bytes], *, closes: bool) -> None:
        self._script = list(script)
        self._closes = closes
        self.connections = 0
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while self._script:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(self._script.pop(0))
                if self._closes:
                    break
        except asyncio.IncompleteReadError:
            return
        writer.close()


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """A pool against scripted servers."""

    async def asyncSetUp(self) -> None:
        self.pool: ConnectionPool = create_pool(100000)

    async def asyncTearDown(self) -> None:
        self.pool.close()

    async def get(
        self, server: _ScriptedServer, timeout_s: float = 1.0
    ) -> HttpResponse | TransportFailure:
        """Send a request."""
        return await self.pool.exchange(
            server.address, 'GET', '/', (), b'', timeout_s=timeout_s
        )

    async def test_fragments_are_no_answers(self) -> None:
        """What is cut becomes a failure that says how it ended.

        The next call succeeds.
        """
        for name, fragment, words in _BROKEN:
            with self.subTest(name):
                server = _ScriptedServer([fragment, _WHOLE], closes=True)
                await server.start()
                answer = await self.get(server)
                assert isinstance(answer, TransportFailure), answer
                self.assertEqual(answer.stage, FailureStage.ANSWER)
                self.assertIn(words, answer.reason)
                answer = await self.get(server)
                assert isinstance(answer, HttpResponse), answer
                self.assertEqual(answer.body, b'whole')

    async def test_answer_without_length_ends_with_the_connection(
        self,
    ) -> None:
        """It is whole after an orderly end, and lost after a reset."""
        for is_reset in (False, True):
            with self.subTest(is_reset=is_reset):
                answer = await self.request_unframed(is_reset=is_reset)
                if is_reset:
                    self.assertIsInstance(answer, TransportFailure)
                    continue
                assert isinstance(answer, HttpResponse), answer
                self.assertEqual(answer.body, b'abc')

    async def request_unframed(
        self, *, is_reset: bool
    ) -> HttpResponse | TransportFailure:
        """Request an answer that has no length."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\nabc')
            await writer.drain()
            await asyncio.sleep(0.05)
            if is_reset:
                linger = struct.pack('ii', 1, 0)
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                writer.transport.abort()
                return
            writer.close()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
        return await self.pool.exchange(
            address, 'GET', '/', (), b'', timeout_s=5
        )

    async def test_idle_connection_is_left_before_the_peer_closes_it(
        self,
    ) -> None:
        """The limit that the peer states bounds the reuse."""
        whole = _WHOLE.replace(
            b'\r\n\r\n', b'\r\nkeep-alive: timeout=1\r\n\r\n'
        )
        server = _ScriptedServer([whole] * 3, closes=False)
        await server.start()
        await self.get(server)
        await self.get(server)
        self.assertEqual(server.connections, 1)
        with mock.patch('merlintrail.transport._pool.IDLE_MARGIN_S', 1.0):
            await asyncio.sleep(0.55)
            await self.get(server)
        self.assertEqual(server.connections, 2)

    async def test_late_answer_reaches_nobody(self) -> None:
        """After a timeout the connection is not used again."""
        late = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            if not late.is_set():
                late.set()
                await asyncio.sleep(0.1)
                writer.write(_WHOLE.replace(b'whole', b'stale'))
                return
            writer.write(_WHOLE)

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
        first = await self.pool.exchange(
            address, 'GET', '/', (), b'', timeout_s=0.05
        )
        self.assertIsInstance(first, TransportFailure)
        await asyncio.sleep(0.1)
        second = await self.pool.exchange(
            address, 'GET', '/', (), b'', timeout_s=1
        )
        assert isinstance(second, HttpResponse)
        self.assertEqual(second.body, b'whole')

    async def test_bytes_after_an_answer_end_the_connection(self) -> None:
        """A second answer that nobody asked for is not kept for the next."""
        extra = _WHOLE.replace(b'whole', b'other')
        server = _ScriptedServer([_WHOLE + extra, _WHOLE], closes=False)
        await server.start()
        await self.get(server)
        await asyncio.sleep(0.05)
        answer = await self.get(server)
        assert isinstance(answer, HttpResponse)
        self.assertEqual(answer.body, b'whole')
        self.assertEqual(server.connections, 2)

    async def test_clean_connections_are_reused(self) -> None:
        """Three calls, one connection."""
        server = _ScriptedServer([_WHOLE] * 3, closes=False)
        await server.start()
        for _ in range(3):
            self.assertIsInstance(await self.get(server), HttpResponse)
        self.assertEqual(server.connections, 1)

    async def test_refused_connection_proves_that_nothing_was_sent(
        self,
    ) -> None:
        """The failure says so."""
        answer = await self.pool.exchange('127.0.0.1:1', 'GET', '/', (), b'')
        assert isinstance(answer, TransportFailure)
        self.assertEqual(answer.stage, FailureStage.CONNECT)

    async def test_connecting_ends_with_the_time_of_the_exchange(
        self,
    ) -> None:
        """An address that swallows connections costs no more than asked."""
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        limit = 'merlintrail.transport._pool.CONNECT_TIMEOUT_S'
        with mock.patch(limit, 3600):
            async with asyncio.timeout(30):
                answer = await self.pool.exchange(
                    address,
                    'GET',
                    '/',
                    (),
                    b'',
                    timeouts=ExchangeTimeouts(0.05),
                )
        assert isinstance(answer, TransportFailure)
        self.assertEqual(answer.stage, FailureStage.CONNECT)
        for opened in (listener, *fillers):
            opened.close()
