"""Callers with small windows, which read their answers slowly."""

import asyncio
import re
import socket
from typing import Final, NamedTuple

from merlintrail.transport import HttpServer

#: Size of socket buffers in bytes, as small as a far caller's window.
WINDOW_BYTES: Final = 8192
_PART_BYTES: Final = 65536
_HEAD_END: Final = b'\r\n\r\n'
_LENGTH: Final = re.compile(rb'content-length: ([0-9]+)')


def build_request(number: int, headers: str = '') -> bytes:
    """Build a request without a body, whose target is its number."""
    return f'GET /{number} HTTP/1.1\r\nhost: a\r\n{headers}\r\n'.encode()


class Received(NamedTuple):
    """What a caller got until its connection ended or it stopped waiting."""

    payload: bytes
    #: Error that ended the connection, empty for none.
    error: str

    @property
    def bodies(self) -> list[bytes]:
        """Bodies of the answers that are whole."""
        bodies = []
        rest = self.payload
        while _HEAD_END in rest:
            head, _, rest = rest.partition(_HEAD_END)
            length = _LENGTH.search(head)
            size = 0 if length is None else int(length.group(1))
            if len(rest) < size:
                break
            bodies.append(rest[:size])
            rest = rest[size:]
        return bodies


class SlowCaller:
    """A connection whose caller reads slowly."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, payload: bytes) -> None:
        """Send bytes."""
        self._writer.write(payload)

    def send_end(self) -> None:
        """Close the sending half of the connection."""
        self._writer.write_eof()

    async def drain(self) -> None:
        """Wait until most of what was sent has left."""
        await self._writer.drain()

    async def read_part(self) -> bytes:
        """Read what has arrived, or wait for the next bytes."""
        return await self._reader.read(_PART_BYTES)

    async def read_all(
        self, pause_s: float = 0.0, limit_s: float = 8.0
    ) -> Received:
        """Read until the connection ends, at most for some seconds."""
        received = b''
        try:
            async with asyncio.timeout(limit_s):
                while part := await self.read_part():
                    received += part
                    await asyncio.sleep(pause_s)
        except (OSError, TimeoutError) as error:
            return Received(received, repr(error))
        return Received(received, '')

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def connect_slowly(server: HttpServer) -> SlowCaller:
    """Connect to a server, with small buffers on both sides."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    known = set(server.connections)
    await loop.sock_connect(sock, ('127.0.0.1', server.port))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=WINDOW_BYTES
    )
    while server.connections == known:
        await asyncio.sleep(0)
    for connection in server.connections - known:
        transport = connection._transport
        assert transport is not None
        accepted = transport.get_extra_info('socket')
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
    return SlowCaller(reader, writer)
