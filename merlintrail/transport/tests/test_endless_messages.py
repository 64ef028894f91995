"""Bytes without an end are read only up to a limit, wherever they occur."""

import asyncio
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from merlintrail.transport import (
    BadRequest,
    ClientConnection,
    ExchangeTimeouts,
    FailureStage,
    ServerLimits,
    TransportFailure,
)
from merlintrail.transport._client import MAX_FRAMING_BYTES
from merlintrail.transport._framing import FRAMING_BYTES_PER_BODY_BYTE
from merlintrail.transport._request_parser import RequestParser
from merlintrail.transport._timers import TimerQueue

_MAX_BODY_BYTES = 10000
_RECEIVED_BYTES = 16384
#: Most bytes of an answer that may be read: framing, what the body adds to
#: it, the body, and the bytes received last.
_MAX_ANSWER_BYTES = (
    MAX_FRAMING_BYTES
    + _MAX_BODY_BYTES * (FRAMING_BYTES_PER_BODY_BYTE + 1)
    + _RECEIVED_BYTES
)
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
#: Beginning of an answer, and the bytes that follow it again and again.
_ENDLESS_ANSWERS = (
    ('status reason', b'HTTP/1.1 200 ', b'y' * 100),
    ('header name', b'HTTP/1.1 200 OK\r\n', b'y' * 100),
    ('header value', b'HTTP/1.1 200 OK\r\nx: ', b'y' * 100),
    ('headers', b'HTTP/1.1 200 OK\r\n', b'x: y\r\n'),
    ('interim answers', b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    ('early hints', b'', b'HTTP/1.1 103 Early\r\nlink: a\r\n\r\n'),
    ('chunk size', _CHUNKED, b'0' * 100),
    ('chunk extension', _CHUNKED + b'1;', b'y' * 100),
    ('chunk extensions', _CHUNKED, b'1;' + b'y' * 100 + b'\r\nz\r\n'),
    ('trailers', _CHUNKED + b'0\r\n', b'x: y\r\n'),
    ('trailer value', _CHUNKED + b'0\r\nx: ', b'y' * 100),
    ('chunks', _CHUNKED, b'5\r\nhello\r\n'),
    ('unframed body', b'HTTP/1.1 200 OK\r\n\r\n', b'y' * 100),
    (
        'body of a stated length',
        b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n',
        b'y' * 100,
    ),
    ('blank lines', b'', b'\r\n'),
    ('no HTTP', b'', b'y'),
)
_CHUNKED_REQUEST = (
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_ENDLESS_REQUESTS = (
    ('target', b'GET /', b'y' * 100),
    ('header value', b'GET / HTTP/1.1\r\nx: ', b'y' * 100),
    ('headers', b'GET / HTTP/1.1\r\n', b'x: y\r\n'),
    ('chunk extension', _CHUNKED_REQUEST + b'1;', b'y' * 100),
    ('chunk extensions', _CHUNKED_REQUEST, b'1;' + b'y' * 100 + b'\r\nz\r\n'),
    ('trailers', _CHUNKED_REQUEST + b'0\r\n', b'x: y\r\n'),
    ('trailer value', _CHUNKED_REQUEST + b'0\r\nx: ', b'y' * 100),
    ('chunks', _CHUNKED_REQUEST, b'5\r\nhello\r\n'),
)


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers that a peer sends until the connection is closed."""

    async def begin_exchange(
        self,
    ) -> tuple[ClientConnection, 'asyncio.Task[object]', mock.Mock]:
        """Send a request without a time limit over a connection in memory."""
        loop = asyncio.get_running_loop()
        connection = ClientConnection(loop, TimerQueue(loop), _MAX_BODY_BYTES)
        transport = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_extra_info.return_value = None
        connection.connection_made(transport)
        exchange: asyncio.Task[object] = asyncio.create_task(
            connection.exchange('GET', b'', ExchangeTimeouts())
        )
        await asyncio.sleep(0)
        return connection, exchange, transport

    async def send_endlessly(self, begin: bytes, unit: bytes) -> object:
        """Return the result of an exchange whose answer has no end.

        :returns: ``None`` if the exchange still goes on when all bytes that
            may be read have been sent.
        """
        connection, exchange, transport = await self.begin_exchange()
        received = begin + unit * (_RECEIVED_BYTES // len(unit))
        sent_bytes = 0
        while sent_bytes < _MAX_ANSWER_BYTES and not transport.abort.called:
            connection.data_received(received)
            sent_bytes += len(received)
            received = unit * (_RECEIVED_BYTES // len(unit))
        await asyncio.sleep(0)
        if exchange.done():
            return exchange.result()
        exchange.cancel()
        return None

    async def test_endless_answer_is_a_failure(self) -> None:
        """It ends the exchange, after which the request may have run."""
        for name, begin, unit in _ENDLESS_ANSWERS:
            with self.subTest(name):
                answer = await self.send_endlessly(begin, unit)
                assert isinstance(answer, TransportFailure), answer
                self.assertEqual(answer.stage, FailureStage.ANSWER)

    def test_any_endless_answer_ends_the_exchange(self) -> None:
        """Whatever is repeated, and wherever in an answer."""

        @given(
            st.sampled_from([begin for _, begin, _ in _ENDLESS_ANSWERS]),
            st.integers(0, 100),
            st.binary(min_size=1, max_size=40)
            | st.text('0\r\n: ;a', min_size=1).map(str.encode),
        )
        def check(begin: bytes, length: int, unit: bytes) -> None:
            answer = asyncio.run(self.send_endlessly(begin[:length], unit))
            self.assertIsNotNone(answer)

        check()

    async def test_small_chunks_are_within_the_limit(self) -> None:
        """A body in chunks of one byte is delivered."""
        connection, exchange, _ = await self.begin_exchange()
        connection.data_received(_CHUNKED)
        for _ in range(_MAX_BODY_BYTES):
            connection.data_received(b'1\r\nz\r\n')
        connection.data_received(b'0\r\nx: y\r\n\r\n')
        answer = await exchange
        self.assertEqual(len(getattr(answer, 'body')), _MAX_BODY_BYTES)
        self.assertIsNone(getattr(answer, 'find_header')('x'))


class EndlessRequestTest(unittest.TestCase):
    """Requests that a caller sends until the connection is closed."""

    def test_endless_request_is_rejected(self) -> None:
        """Before more is read than the limits permit."""
        limits = ServerLimits(max_header_bytes=5000, max_body_bytes=10000)
        max_bytes = limits.max_header_bytes + limits.max_body_bytes * (
            FRAMING_BYTES_PER_BODY_BYTE + 1
        )
        for name, begin, unit in _ENDLESS_REQUESTS:
            with self.subTest(name):
                parser = RequestParser(limits)
                parsed = list(parser.feed(begin))
                fed_bytes = 0
                while not parsed and fed_bytes <= max_bytes:
                    parsed = list(parser.feed(unit * 10))
                    fed_bytes += len(unit) * 10
                self.assertIsInstance(parsed[-1], BadRequest)

    def test_pipelined_requests_are_no_framing(self) -> None:
        """Whole requests behind a body may exceed the limit of one."""
        parser = RequestParser(ServerLimits(max_header_bytes=100))
        parser.feed(_CHUNKED_REQUEST)
        pipelined = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * 20
        parsed = parser.feed(
            b'1\r\nz\r\n0\r\n\r\n' + pipelined + _CHUNKED_REQUEST + b'1\r\nz'
        )
        self.assertEqual(len(parsed), 21)
