"""Client connections with one exchange at a time, without pipelining."""

import asyncio
import re
import sys
from collections.abc import Callable
from typing import Final, NamedTuple, cast

import httptools

from merlintrail.transport._body import BodyBuffer
from merlintrail.transport._descriptor_budget import (
    DescriptorLease,
    create_unlimited_budget,
)
from merlintrail.transport._failure import FailureStage, TransportFailure
from merlintrail.transport._framing import FramingAllowance
from merlintrail.transport._header_lines import HeaderLines
from merlintrail.transport._memory_budget import MemoryBudget
from merlintrail.transport._memory_costs import SMALL_BYTES
from merlintrail.transport._message import HttpResponse
from merlintrail.transport._socket_options import set_socket_options
from merlintrail.transport._timers import Timer, TimerQueue

#: Reason of an exchange that exceeded its timeout.
TIMEOUT: Final = 'timeout'
#: Maximum size in bytes of the status line, headers, trailers and chunk
#: framing of an answer, together with the interim answers before it.
MAX_FRAMING_BYTES: Final = 65536
#: Maximum number of interim answers before an answer.
MAX_INTERIM_ANSWERS: Final = 16
#: Bytes that a connection receives before they are read.
RECEIVE_BUFFER_BYTES: Final = 32768
#: Steps in bytes in which an answer of unknown length takes its room.
_BODY_STEP_BYTES: Final = 262144
_LENGTH_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES: Final = frozenset((204, 304))
_FIRST_STATUS: Final = 100
_FIRST_FINAL_STATUS: Final = 200
_LAST_STATUS: Final = 599
#: Parameter of a ``Keep-Alive`` header.
_KEEP_ALIVE_TIMEOUT: Final = re.compile(b'timeout *= *([0-9]{1,6})')


def _ignore_slow_exchange(connection: object) -> None:
    """Do nothing, so that the exchange goes on without a time limit."""


class ExchangeTimeouts(NamedTuple):
    """Time limits of an exchange."""

    #: Seconds after which the exchange fails, unless ``slow_after_s`` is set;
    #: ``None`` for no limit. Also bounds the time to connect.
    timeout_s: float | None = None
    #: Seconds after which ``on_slow`` is called, in place of the timeout.
    slow_after_s: float | None = None
    #: Called with the connection of a slow exchange; decides when to abort it.
    on_slow: 'Callable[[ClientConnection], None]' = _ignore_slow_exchange


class ClientConnection(asyncio.Protocol):
    """A connection to one address.

    An exchange that does not end cleanly closes the connection, so that a
    late answer cannot be taken for the answer to the next request.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: TimerQueue,
        max_body_bytes: int,
        budget: MemoryBudget | None = None,
        receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
        lease: DescriptorLease | None = None,
    ) -> None:
        """Initialize without a connection.

        :param budget: room for answers; unlimited by default.
        :param receive_buffer_bytes: what the socket receives before it is
            read.
        :param lease: descriptor that is given back when it is closed;
            unlimited by default.
        """
        self._lease = lease or create_unlimited_budget().lease()
        self._receive_buffer_bytes = receive_buffer_bytes
        self._budget = budget or MemoryBudget(sys.maxsize)
        #: Memory of the answer that is being received.
        self._hold = self._budget.open_hold()
        self._lines = HeaderLines()
        #: Status of a complete answer that waits for room.
        self._waiting_status: int | None = None
        self._loop = loop
        self._timers = timers
        self._max_body_bytes = max_body_bytes
        self._body = BodyBuffer()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._framing = FramingAllowance(MAX_FRAMING_BYTES)
        self._interim_answers = 0
        #: Body bytes parsed from the bytes received last.
        self._parsed_body_bytes = 0
        #: Result of the exchange in progress, ``None`` between exchanges.
        self._answer: asyncio.Future[HttpResponse | TransportFailure] | None
        self._answer = None
        self._method = 'GET'
        #: Event loop time since which the connection has been idle.
        self._idle_since = loop.time()
        #: Seconds after which the peer closes an idle connection, if stated.
        self.keep_alive_timeout_s: float | None = None
        #: Whether the end of the connection delimits the body of the answer.
        self._is_close_delimited = False
        #: Whether another exchange may use the connection.
        self.is_reusable = True
        self._reset_message()

    async def exchange(
        self,
        method: str,
        payload: bytes,
        timeouts: ExchangeTimeouts,
        body: bytes = b'',
    ) -> HttpResponse | TransportFailure:
        """Send an encoded request and await the complete answer.

        Cancelling the exchange closes the connection.

        :param body: what is sent behind the payload, without being copied.
        """
        if self._transport is None or self._transport.is_closing():
            return TransportFailure(FailureStage.CONNECT, 'connection closed')
        self._method = method
        self._framing.reset()
        self._interim_answers = 0
        self._reset_message()
        self._answer = self._loop.create_future()
        self._transport.write(payload)
        if body:
            self._transport.write(body)
        timer = self._start_timer(timeouts)
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._end_exchange()

    def mark_idle(self) -> None:
        """Record that the connection became idle."""
        self._idle_since = self._loop.time()

    @property
    def idle_s(self) -> float:
        """Seconds since the connection was marked idle."""
        return self._loop.time() - self._idle_since

    def abort_exchange(self, reason: str) -> None:
        """Fail the exchange in progress and close the connection."""
        self._fail(reason)
        self.close()

    def close(self) -> None:
        """Close the connection immediately."""
        self.is_reusable = False
        self._lease.release()
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        set_socket_options(transport, self._receive_buffer_bytes)

    def eof_received(self) -> None:
        """Deliver an answer that the end of the connection delimits."""
        self.is_reusable = False
        if self._is_close_delimited:
            self._finish(self._parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_reusable = False
        self._lease.release()
        # The parser refers to this object and would keep what it holds.
        del self._parser
        self._transport = None
        if self._waiting_status is None:
            end = 'closed' if exc is None else f'lost: {exc}'
            self._fail(f'connection {end} before the whole answer')
            self._reset_message()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; unsolicited ones close the connection."""
        if self._answer is None or self._answer.done():
            self.close()
            return
        self._parsed_body_bytes = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('malformed answer')
            self.close()
        if not self._framing.spend(len(data), self._parsed_body_bytes):
            self.abort_exchange('headers or framing of the answer too large')

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; an unsolicited one prevents reuse."""
        if self._hold.is_waiting:
            # What follows a whole answer must not take its place.
            self._hold.force()
            self._deliver_waiting()
        if self._answer is None or self._answer.done():
            self.is_reusable = False
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Append a header; a trailer, which follows the body, is ignored."""
        if self._has_headers:
            return
        self._lines.append(name, value)
        key = name.lower()
        if key in _LENGTH_HEADERS:
            self._has_framing = True
        if key == b'content-length' and value.strip().isdigit():
            self._length = int(value)
        elif key == b'keep-alive':
            match = _KEEP_ALIVE_TIMEOUT.search(value)
            self.keep_alive_timeout_s = float(match.group(1)) if match else None

    def on_headers_complete(self) -> None:
        """Determine what delimits the body of the answer."""
        self._has_headers = True
        status = self._parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            # RFC 9110, section 15: neither an interim nor a final answer.
            self.abort_exchange('invalid status of the answer')
        if not _FIRST_FINAL_STATUS <= status <= _LAST_STATUS:
            return
        is_bodiless = self._method == 'HEAD' or status in _BODILESS_STATUSES
        self._hold.add(self._lines.size)
        self._request_room(0 if is_bodiless else self._length)
        if self._method == 'HEAD':
            self._finish(status)
            self.close()
        else:
            self._is_close_delimited = not (is_bodiless or self._has_framing)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)
        self._parsed_body_bytes += len(body)
        if self._body.size > self._max_body_bytes:
            self._fail('answer too large')
            self.close()
        elif self._body.size > self._length:
            self._length = self._body.size
            if self._body.size > self._room_bytes:
                is_small = self._body.size <= SMALL_BYTES
                step_bytes = 0 if is_small else _BODY_STEP_BYTES
                self._request_room(self._body.size + step_bytes)

    def on_message_complete(self) -> None:
        """Deliver the complete answer; ignore an interim one."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._count_interim_answer()
            return
        if self._is_close_delimited:
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._finish(status)

    def _count_interim_answer(self) -> None:
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self.abort_exchange('too many interim answers')

    def _start_timer(self, timeouts: ExchangeTimeouts) -> Timer | None:
        if timeouts.slow_after_s is not None:
            return self._timers.call_later(
                timeouts.slow_after_s, timeouts.on_slow, self
            )
        if timeouts.timeout_s is not None:
            return self._timers.call_later(
                timeouts.timeout_s, self.abort_exchange, TIMEOUT
            )
        return None

    def _end_exchange(self) -> None:
        """Give back the memory of an answer that nobody awaits any more."""
        self._answer = None
        self._hold.release()

    def _request_room(self, body_bytes: int) -> None:
        """Take room for the answer, and read on once there is some.

        :param body_bytes: bytes that its body has at least.
        """
        self._room_bytes = min(body_bytes, self._max_body_bytes)
        size = self._room_bytes + self._lines.memory_bytes
        if size <= SMALL_BYTES:
            self._hold.add(max(0, size - self._hold.size))
        elif not self._hold.is_waiting and not self._hold.request(
            size, self._read_on
        ):
            assert self._transport is not None
            self._transport.pause_reading()

    def _read_on(self) -> None:
        """Read on, or deliver the answer that waited for room."""
        self._deliver_waiting()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _deliver_waiting(self) -> None:
        """Deliver the answer that is complete and waited for room, if any."""
        status = self._waiting_status
        self._waiting_status = None
        if status is not None:
            self._finish(status)

    def _finish(self, status: int) -> None:
        if self._answer is None or self._answer.done():
            return
        if self._hold.is_waiting:
            self._waiting_status = status
            return
        headers = self._lines.decode()
        self._lines.clear()
        hold = self._hold
        self._hold = self._budget.open_hold()
        self._answer.set_result(
            HttpResponse(status, headers, self._body.take(), hold)
        )

    def _fail(self, reason: str) -> None:
        self.is_reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                TransportFailure(FailureStage.ANSWER, reason)
            )

    def _reset_message(self) -> None:
        self._lines.clear()
        self._has_framing = False
        #: Announced length of the body, or what has arrived beyond it.
        self._length = 0
        #: Bytes of the body for which room was requested.
        self._room_bytes = 0
        self._waiting_status = None
        self._hold.release()
        self._has_headers = False
        self._body.clear()
        self._is_close_delimited = False
