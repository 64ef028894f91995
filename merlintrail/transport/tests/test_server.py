"""Invalid input is rejected with a status and affects no other request."""

import asyncio
import unittest

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
    start_server,
)

_LIMITS = ServerLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    receive_timeout_s=0.2,
    body_timeout_s=0.2,
)
_VALID_REQUEST = b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi'
_INVALID_INPUTS = (
    ('not HTTP', b'hello\r\n\r\n', b'400'),
    ('bad version', b'GET / HTTP/9.9\r\n\r\n', b'400'),
    (
        'both lengths',
        b'POST / HTTP/1.1\r\ncontent-length: 4\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        b'400',
    ),
    (
        'two lengths',
        b'POST / HTTP/1.1\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\n',
        b'400',
    ),
    (
        'bad chunk',
        b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
        b'400',
    ),
    ('space in name', b'GET / HTTP/1.1\r\na b: c\r\n\r\n', b'400'),
    ('bare LF smuggling', b'GET / HTTP/1.1\nhost: a\r\n\r\n', b'400'),
    (
        'announced body too large',
        b'POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n',
        b'413',
    ),
    (
        'chunked body too large',
        b'POST / HTTP/1.1\r\nhost: a\r\n'
        b'transfer-encoding: chunked\r\n\r\n'
        b'7d0\r\n' + b'x' * 2000 + b'\r\n0\r\n\r\n',
        b'413',
    ),
    ('headers too large', b'GET / HTTP/1.1\r\na: ' + b'x' * 3000, b'431'),
    (
        'upgrade',
        b'GET / HTTP/1.1\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n',
        b'400',
    ),
    (
        'slow sender',
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab',
        b'408',
    ),
    (
        'upgrade with a body',
        _VALID_REQUEST.replace(
            b'host: a', b'host: a\r\nconnection: upgrade\r\nupgrade: h2c'
        ),
        b'400',
    ),
    ('no host', b'GET / HTTP/1.1\r\n\r\n', b'400'),
    ('two hosts', b'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n', b'400'),
    ('version 0.9', b'GET /\r\n\r\n', b'400'),
    (
        'whole headers too large',
        b'GET / HTTP/1.1\r\nhost: a\r\na: ' + b'x' * 3000 + b'\r\n\r\n',
        b'431',
    ),
)


async def _echo(request: HttpRequest) -> HttpResponse:
    await asyncio.sleep(0)
    return HttpResponse(200, (('x', 'y'),), request.body)


async def _exchange(port: int, payload: bytes) -> bytes:
    """Send bytes and read for 1 s or until the server closes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(payload)
    received = b''
    try:
        async with asyncio.timeout(1):
            while chunk := await reader.read(65536):
                received += chunk
    except TimeoutError:
        received += b'(open)'
    writer.close()
    return received


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """A server on a loopback port."""

    async def asyncSetUp(self) -> None:
        self.server: HttpServer = await start_server(
            _echo, '127.0.0.1', 0, limits=_LIMITS
        )

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def test_invalid_input(self) -> None:
        """Each kind is answered with its status and closes the connection."""
        for name, payload, status in _INVALID_INPUTS:
            with self.subTest(name):
                answer = await _exchange(self.server.port, payload)
                self.assertTrue(
                    answer.startswith(b'HTTP/1.1 ' + status), answer
                )
                self.assertNotIn(b'(open)', answer)
                self.assertIn(b'merlintrail-outcome: not-run', answer)

    async def test_invalid_input_affects_no_other_connection(self) -> None:
        """A valid request sent concurrently with invalid ones is answered."""
        payloads = [payload for _, payload, _ in _INVALID_INPUTS]
        answers = await asyncio.gather(
            *(
                _exchange(self.server.port, payload)
                for payload in (*payloads, _VALID_REQUEST)
            )
        )
        self.assertTrue(answers[-1].startswith(b'HTTP/1.1 200'))
        self.assertTrue(answers[-1].endswith(b'\r\n\r\nhi(open)'))

    async def test_request_that_asks_for_an_upgrade_is_refused(self) -> None:
        """The upgrade is ignored, as RFC 9110 has it, and all are served."""
        upgrade = b'connection: upgrade\r\nupgrade: h2c\r\n'
        asking = b'GET /x HTTP/1.1\r\nhost: a\r\n' + upgrade + b'\r\n'
        for payload in (asking, asking + _VALID_REQUEST, 2 * asking):
            answer = await _exchange(self.server.port, payload)
            count = payload.count(b'HTTP/1.1')
            self.assertEqual(answer.count(b'HTTP/1.1 200'), count, answer)
            self.assertTrue(answer.endswith(b'(open)'))

    async def test_connect_is_answered_twice(self) -> None:
        """It gets one answer, and what follows it is no request."""
        answer = await _exchange(
            self.server.port,
            b'CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n' + _VALID_REQUEST,
        )
        self.assertEqual(answer.count(b'HTTP/1.1'), 1, answer)
        self.assertNotIn(b'(open)', answer)

    async def test_pipelined_requests_keep_their_order(self) -> None:
        """Answers are sent in the order of the requests."""
        other = _VALID_REQUEST.replace(b'hi', b'ho')
        answer = await _exchange(
            self.server.port, _VALID_REQUEST + other + _VALID_REQUEST
        )
        self.assertEqual(
            [part[-2:] for part in answer.split(b'HTTP/1.1')[1:3]],
            [b'hi', b'ho'],
        )

    async def test_pipelined_requests_are_served_concurrently(self) -> None:
        """A request does not wait for the answer to the previous one."""
        started: list[bytes] = []
        both_started = asyncio.Event()

        async def serve_when_both_started(request: HttpRequest) -> HttpResponse:
            started.append(request.body)
            if len(started) == 2:
                both_started.set()
            await both_started.wait()
            return HttpResponse(200, (), request.body)

        server = await start_server(serve_when_both_started, '127.0.0.1', 0)
        other = _VALID_REQUEST.replace(b'hi', b'ho')
        answer = await _exchange(server.port, _VALID_REQUEST + other)
        server.close()
        self.assertEqual(
            [part[-2:] for part in answer.split(b'HTTP/1.1')[1:2]], [b'hi']
        )
        self.assertTrue(answer.endswith(b'ho(open)'), answer)

    async def test_disconnected_caller_cancels_its_request(self) -> None:
        """The handler is cancelled when its connection is closed."""
        cancelled = asyncio.Event()

        async def wait(request: HttpRequest) -> HttpResponse:
            try:
                await asyncio.sleep(10)
            finally:
                cancelled.set()
            return HttpResponse(200, (), request.body)

        server = await start_server(wait, '127.0.0.1', 0)
        _, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(_VALID_REQUEST)
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(2):
            await cancelled.wait()
        server.close()
