"""What an exchange returns for each end of a connection to a server."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from typing import Final

from merlintrail.transport import (
    TIMEOUT,
    FailureStage,
    HttpResponse,
    TransportFailure,
    create_pool,
)

_PART: Final = b'x' * 1000
_WHOLE: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n' + _PART
_CUT: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n' + _PART
_UNTIL_CLOSE: Final = b'HTTP/1.1 200 OK\r\n\r\n' + _PART
_CHUNKED: Final = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e8\r\n' + _PART
)
_INVALID_UNTIL_CLOSE: Final = b'HTTP/1.1 600 Trouble\r\n\r\n' + _PART
_INTERIM: Final = b'HTTP/1.1 103 Early Hints\r\n\r\n'
_TIMEOUT_S: Final = 0.5
_MAX_BYTES: Final = 3000
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)

Ending = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _reset(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


async def _stay(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(2 * _TIMEOUT_S)
    writer.close()


def _build_status(status: str) -> bytes:
    """Build an answer with a status and a body of two bytes."""
    return f'HTTP/1.1 {status} Trouble\r\ncontent-length: 2\r\n\r\nhi'.encode()


#: Name, what the server sends, how the connection ends, reason of the failure
#: or nothing for a whole answer.
_CASES: Final[tuple[tuple[str, bytes, Ending, str], ...]] = (
    ('closed before the answer', b'', _close, 'connection closed'),
    ('reset before the answer', b'', _reset, 'connection lost'),
    ('closed within the head', _WHOLE[:20], _close, 'connection closed'),
    ('closed within the body', _CUT, _close, 'connection closed'),
    ('reset within the body', _CUT, _reset, 'connection lost'),
    ('closed within chunks', _CHUNKED, _close, 'connection closed'),
    ('reset within chunks', _CHUNKED, _reset, 'connection lost'),
    ('ended by a close', _UNTIL_CLOSE, _close, ''),
    ('ended by a reset', _UNTIL_CLOSE, _reset, 'connection lost'),
    ('closed behind the answer', _WHOLE, _close, ''),
    ('reset behind the answer', _WHOLE, _reset, ''),
    ('does not go on', _CUT, _stay, TIMEOUT),
    ('malformed', b'none of HTTP\r\n\r\n', _stay, 'malformed answer'),
    ('status 000', _build_status('000'), _stay, 'invalid status'),
    ('status 099', _build_status('099'), _stay, 'invalid status'),
    ('status 600', _build_status('600'), _stay, 'invalid status'),
    ('status 999', _build_status('999'), _stay, 'invalid status'),
    ('status 000 in front', _build_status('000') + _WHOLE, _stay, 'invalid'),
    (
        'status 600 until a close',
        _INVALID_UNTIL_CLOSE,
        _close,
        'invalid status',
    ),
    ('interim answer in front', _INTERIM + _WHOLE, _stay, ''),
    ('too large', _UNTIL_CLOSE + 3 * _PART, _stay, 'answer too large'),
)


async def _exchange(
    payload: bytes, end: Ending
) -> HttpResponse | TransportFailure:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(payload)
        await writer.drain()
        await end(writer)
        has_ended.set()

    has_ended = asyncio.Event()
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pool = create_pool(_MAX_BYTES)
    answer = await pool.exchange(
        f'127.0.0.1:{port}', 'GET', '/', (), b'', timeout_s=_TIMEOUT_S
    )
    await has_ended.wait()
    pool.close()
    server.close()
    return answer


class UpstreamEndsTest(unittest.IsolatedAsyncioTestCase):
    """A server ends its connection in some way."""

    async def test_cut_answer_looks_complete(self) -> None:
        """Only a whole answer is returned, all else is a failure."""
        for name, payload, end, reason in _CASES:
            with self.subTest(name):
                answer = await _exchange(payload, end)
                if not reason:
                    assert isinstance(answer, HttpResponse), answer
                    self.assertEqual(answer.body, _PART)
                    continue
                assert isinstance(answer, TransportFailure), answer
                self.assertEqual(answer.stage, FailureStage.ANSWER)
                self.assertIn(reason, answer.reason)
