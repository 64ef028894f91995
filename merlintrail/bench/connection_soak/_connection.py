"""A caller's connection to a node."""

import asyncio
import socket
from typing import Final

from merlintrail.bench.change_soak._changes import ROUTE_HOST
from merlintrail.bench.connection_soak._requests import (
    RequestEnd,
    SoakRequest,
)
from merlintrail.lab.backend import ANSWER_BYTES_HEADER, RUN_LABEL_HEADER
from merlintrail.protocol import DEADLINE_HEADER, OUTCOME_HEADER, Outcome

DEADLINE_MS: Final = 8000
#: Seconds that a caller waits for an answer.
TIMEOUT_S: Final = 12.0
#: Receive buffer in bytes of a far caller.
FAR_WINDOW_BYTES: Final = 16384
_READ_BYTES: Final = 65536
_HEALTH: Final = b'GET /-/health HTTP/1.1\r\nhost: soak\r\n\r\n'
_HEAD_END: Final = b'\r\n\r\n'
_OK: Final = 200


class _AnswerHead:
    """Status line and headers of an answer."""

    def __init__(self, head: bytes) -> None:
        lines = head.decode('latin-1').lower().split('\r\n')
        self.status = int(lines[0].split(' ')[1])
        self._headers = dict(line.split(': ', 1) for line in lines[1:] if line)
        self.length = int(self.find('content-length') or '0')
        self.keeps_alive = self.find('connection') != 'close'
        self.is_refusal = self.find(OUTCOME_HEADER) == Outcome.NOT_RUN.value

    def find(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self._headers.get(name, '')


class SoakConnection:
    """Sends requests and reads their answers in order."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._reader = reader
        self.writer = writer
        #: Seconds for which the caller pauses after each part that it reads.
        self.pause_s = 0.0

    async def is_ready(self) -> bool:
        """Ask whether the node is ready for new connections."""
        self.writer.write(_HEALTH)
        head = _AnswerHead(await self._reader.readuntil(_HEAD_END))
        await self._reader.readexactly(head.length)
        return head.status == _OK and head.keeps_alive

    def send(
        self,
        request: SoakRequest,
        prefix: str,
        body: bytes = b'',
        *,
        answer_bytes: int = 0,
        version: str = '1.1',
    ) -> None:
        """Send a request with a body, whose end may be left to be sent."""
        lines = (
            f'POST {prefix}{request.label} HTTP/{version}',
            f'host: {ROUTE_HOST}',
            f'{RUN_LABEL_HEADER}: {request.label}',
            f'{DEADLINE_HEADER}: {DEADLINE_MS}',
            f'{ANSWER_BYTES_HEADER}: {answer_bytes}',
            f'content-length: {len(body)}',
            '',
            '',
        )
        request.sent_at = self._loop.time()
        self.writer.write('\r\n'.join(lines).encode())

    async def read(self, request: SoakRequest) -> bool:
        """Read the answer; return whether the connection may be used on."""
        keeps_alive = False
        try:
            async with asyncio.timeout(TIMEOUT_S):
                keeps_alive = await self._read_answer(request)
                request.end = RequestEnd.ANSWERED
        except TimeoutError:
            request.end = RequestEnd.TIMED_OUT
        except (OSError, EOFError):
            request.end = (
                RequestEnd.CUT if request.status else RequestEnd.UNANSWERED
            )
        request.ended_at = self._loop.time()
        return keeps_alive

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def _read_answer(self, request: SoakRequest) -> bool:
        head = _AnswerHead(await self._reader.readuntil(_HEAD_END))
        request.status = head.status
        request.is_refused = head.is_refusal
        left = head.length
        while left:
            part = await self._reader.read(min(left, _READ_BYTES))
            if not part:
                raise EOFError
            left -= len(part)
            await asyncio.sleep(self.pause_s)
        return head.keeps_alive


async def connect(address: str, *, is_far: bool = False) -> SoakConnection:
    """Connect to a node.

    :param is_far: whether the caller's window is small, and it reads slowly.
    :raises OSError: if the node does not listen.
    """
    host, _, port = address.rpartition(':')
    if not is_far:
        return SoakConnection(*await asyncio.open_connection(host, int(port)))
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, FAR_WINDOW_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except OSError:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=FAR_WINDOW_BYTES
    )
    return SoakConnection(reader, writer)
