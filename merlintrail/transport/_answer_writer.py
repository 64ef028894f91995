"""Writing of answers to the socket of a connection."""

import asyncio

from merlintrail.transport._memory_budget import MemoryHold
from merlintrail.transport._memory_costs import SMALL_BYTES
from merlintrail.transport._message import HttpResponse, encode_response_head


class AnswerWriter:
    """Writes one answer after the other, each when the last one has left.

    The memory of an answer counts until the socket has taken it.
    """

    __slots__ = ('_drained', '_unsent', 'transport')

    def __init__(self) -> None:
        #: Transport of the connection while it is open.
        self.transport: asyncio.Transport | None = None
        #: Resolved when writing resumes, ``None`` while it is not paused.
        self._drained: asyncio.Future[None] | None = None
        #: Memory of the answer that the socket has not taken.
        self._unsent: MemoryHold | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Write to a transport, which tells when the socket takes no more."""
        transport.set_write_buffer_limits(0)
        self.transport = transport

    def close(self) -> None:
        """Write no more."""
        self.transport = None
        self._unsent = None

    def pause(self) -> None:
        """Wait for the socket to take what is written."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Go on, since the socket has taken everything."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None
        self._unsent = None

    async def wait(self) -> None:
        """Wait until the socket has taken what is written."""
        while self._drained is not None:
            await self._drained

    def write_answer(self, answer: HttpResponse, *, with_body: bool) -> None:
        """Write an answer, whose large body is not copied behind the head.

        :param with_body: ``False`` for the answer to a HEAD request.
        """
        body = answer.body if with_body else b''
        head = encode_response_head(answer)
        self._unsent = answer.hold
        if len(body) > SMALL_BYTES:
            self.write(head)
            self.write(body)
        else:
            self.write(head + body)
        if self._drained is None:
            self._unsent = None

    def write(self, payload: bytes) -> None:
        """Write bytes unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(payload)
