"""Client connections with one exchange at a time, without pipelining."""

import asyncio
import re
from collections.abc import Callable
from typing import Final, NamedTuple, cast

import httptools

from merlintrail.transport._body import BodyBuffer
from merlintrail.transport._failure import FailureStage, TransportFailure
from merlintrail.transport._framing import FramingAllowance
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
_BODILESS_STATUSES: Final = frozenset((204, 304))
_FIRST_FINAL_STATUS: Final = 200
#: Parameter of a ``Keep-Alive`` header.
_KEEP_ALIVE_TIMEOUT: Final = re.compile('timeout *= *([0-9]{1,6})')


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
    ) -> None:
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
        self, method: str, payload: bytes, timeouts: ExchangeTimeouts
    ) -> HttpResponse | TransportFailure:
        """Send an encoded request and await the complete answer.

        Cancelling the exchange closes the connection.
        """
        if self._transport is None or self._transport.is_closing():
            return TransportFailure(FailureStage.CONNECT, 'connection closed')
        self._method = method
        self._framing.reset()
        self._interim_answers = 0
        self._reset_message()
        self._answer = self._loop.create_future()
        self._transport.write(payload)
        timer = self._start_timer(timeouts)
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._answer = None

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
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        set_socket_options(transport)

    def eof_received(self) -> None:
        """Deliver an answer that the end of the connection delimits."""
        self.is_reusable = False
        if self._is_close_delimited:
            self._finish(self._parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_reusable = False
        end = 'closed' if exc is None else f'lost: {exc}'
        self._fail(f'connection {end} before the whole answer')
        # The parser refers to this object and would keep what it holds.
        self._reset_message()
        del self._parser
        self._transport = None

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
        if self._answer is None or self._answer.done():
            self.is_reusable = False
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Append a header; a trailer, which follows the body, is ignored."""
        if self._has_headers:
            return
        self._headers.append(
            (
                name.decode('latin-1').lower(),
                value.decode('latin-1').strip(),
            )
        )

    def on_headers_complete(self) -> None:
        """Determine what delimits the body of the answer."""
        self._has_headers = True
        status = self._parser.get_status_code()
        if self._method == 'HEAD' and status >= _FIRST_FINAL_STATUS:
            self._finish(status)
            self.close()
        elif status >= _FIRST_FINAL_STATUS:
            self._is_close_delimited = (
                status not in _BODILESS_STATUSES and not self._has_framing()
            )
            self._read_keep_alive_timeout()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)
        self._parsed_body_bytes += len(body)
        if self._body.size > self._max_body_bytes:
            self._fail('answer too large')
            self.close()

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

    def _has_framing(self) -> bool:
        return any(
            name in {'content-length', 'transfer-encoding'}
            for name, _ in self._headers
        )

    def _read_keep_alive_timeout(self) -> None:
        for name, text in self._headers:
            if name == 'keep-alive':
                match = _KEEP_ALIVE_TIMEOUT.search(text)
                self.keep_alive_timeout_s = (
                    float(match.group(1)) if match else None
                )

    def _finish(self, status: int) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                HttpResponse(status, self._headers, self._body.take())
            )

    def _fail(self, reason: str) -> None:
        self.is_reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                TransportFailure(FailureStage.ANSWER, reason)
            )

    def _reset_message(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._has_headers = False
        self._body.clear()
        self._is_close_delimited = False
