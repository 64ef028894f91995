"""Answers of the store that are read only up to a size and a time limit."""

import io
import socket
import time
from http.client import HTTPException, HTTPResponse
from typing import Any, Final

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

#: Maximum size in bytes of an answer with its headers and framing.
MAX_ANSWER_BYTES: Final = 8388608
#: Seconds in which an answer must be complete, besides the read timeout of
#: the call, which each part of the answer has to itself.
MAX_TRANSFER_S: Final = 8.0


class _BoundedReader(io.RawIOBase):
    """Bytes of one answer, with limits on their number and on the time."""

    def __init__(self, source: io.RawIOBase, deadline: float) -> None:
        super().__init__()
        self._source = source
        self._deadline = deadline
        self._received_bytes = 0
        #: Whether the connection has ended.
        self.has_ended = False

    def readable(self) -> bool:
        """Return whether bytes can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into a buffer.

        :raises TimeoutError: when the answer takes too long.
        :raises HTTPException: when it is too large.
        """
        count = self._source.readinto(buffer)
        self._received_bytes += count or 0
        self.has_ended = count == 0
        if self._received_bytes > MAX_ANSWER_BYTES:
            raise HTTPException('answer too large')
        if time.monotonic() > self._deadline:
            raise TimeoutError('answer incomplete after its time limit')
        return count

    def close(self) -> None:
        """Close the connection's side of the answer."""
        self._source.close()
        super().close()


class _BoundedResponse(HTTPResponse):
    """An answer that ends with an error where it exceeds a limit or is cut."""

    def __init__(
        self, sock: socket.socket, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(sock, *arguments, **options)
        deadline = time.monotonic() + (sock.gettimeout() or 0) + MAX_TRANSFER_S
        self._reader = _BoundedReader(self.fp.detach(), deadline)
        self.fp = io.BufferedReader(self._reader)

    def begin(self) -> None:
        """Read the head.

        :raises HTTPException: when the connection ends within it.
        """
        super().begin()
        if self._reader.has_ended:
            raise HTTPException('connection ended within the head')


class BoundedConnection(HTTPConnection):
    """A connection whose answers are bounded."""

    response_class = _BoundedResponse


class BoundedConnectionPool(HTTPConnectionPool):
    """Connections to one address whose answers are bounded."""

    ConnectionCls = BoundedConnection  # noqa: WPS115
