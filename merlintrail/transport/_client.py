"""One client connection: a single exchange at a time, never pipelined."""

import asyncio
import re
from collections.abc import Callable
from typing import Final, NamedTuple, cast

import httptools

from merlintrail.transport._failure import FailureStage, TransportFailure
from merlintrail.transport._message import HttpResponse
from merlintrail.transport._socket_options import set_socket_options
from merlintrail.transport._timers import Timer, TimerQueue

#: Reason of an exchange that took too long.
TIMEOUT: Final = 'timeout'
_BODILESS_STATUSES: Final = frozenset((204, 304))
_FIRST_FINAL_STATUS: Final = 200
_IDLE_LIMIT: Final = re.compile('timeout *= *([0-9]{1,6})')


def _ignore_slowness(connection: object) -> None:
    """Wait on."""


class ExchangeTimeouts(NamedTuple):
    """How long to wait for an answer."""

    #: Seconds after which connecting and, unless ``on_slow`` takes over, the
    #: exchange fails; ``None`` for no limit.
    timeout_s: float | None = None
    #: Seconds after which ``on_slow`` is called instead of the timeout.
    slow_after_s: float | None = None
    on_slow: 'Callable[[ClientConnection], None]' = _ignore_slowness


class ClientConnection(asyncio.Protocol):
    """A connection to one address.

    An exchange that does not end cleanly closes the connection, so that a
    late answer cannot reach the next request.
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
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpResponse | TransportFailure] | None
        self._answer = None
        self._method = 'GET'
        #: Event loop time at which the last exchange ended.
        self._idle_since = loop.time()
        #: Seconds for which the peer keeps the connection idle, if it says.
        self.idle_limit_s: float | None = None
        #: Whether the body of the answer ends with the connection.
        self._ends_with_connection = False
        #: Whether another exchange may use the connection.
        self.is_reusable = True
        self._reset_message()

    async def exchange(
        self, method: str, payload: bytes, timeouts: ExchangeTimeouts
    ) -> HttpResponse | TransportFailure:
        """Send an encoded request and await the whole answer.

        Cancelling the exchange closes the connection.
        """
        if self._transport is None or self._transport.is_closing():
            return TransportFailure(FailureStage.CONNECT, 'connection closed')
        self._method = method
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
        """Take note that the connection waits for its next exchange."""
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
        """Close the connection at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        set_socket_options(transport)

    def eof_received(self) -> None:
        """Deliver an answer without length: its end has come orderly."""
        self.is_reusable = False
        if self._ends_with_connection:
            self._finish(self._parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_reusable = False
        end = 'closed' if exc is None else f'lost: {exc}'
        self._fail(f'connection {end} before the whole answer')

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Feed the parser; bytes outside an exchange end the connection."""
        if self._answer is None or self._answer.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('malformed answer')
            self.close()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody asked for spoils the connection."""
        if self._answer is None or self._answer.done():
            self.is_reusable = False
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Take one header."""
        self._headers.append(
            (
                name.decode('latin-1').lower(),
                value.decode('latin-1').strip(),
            )
        )

    def on_headers_complete(self) -> None:
        """Find out how the end of the body is to be recognised."""
        status = self._parser.get_status_code()
        if self._method == 'HEAD' and status >= _FIRST_FINAL_STATUS:
            self._finish(status)
            self.close()
        elif status >= _FIRST_FINAL_STATUS:
            self._ends_with_connection = (
                status not in _BODILESS_STATUSES and not self._has_framing()
            )
            self._read_idle_limit()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._fail('answer too large')
            self.close()

    def on_message_complete(self) -> None:
        """Deliver the whole answer; an interim answer is passed over."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self._ends_with_connection:
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._finish(status)

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

    def _read_idle_limit(self) -> None:
        for name, text in self._headers:
            if name == 'keep-alive':
                match = _IDLE_LIMIT.search(text)
                self.idle_limit_s = float(match.group(1)) if match else None

    def _finish(self, status: int) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                HttpResponse(status, self._headers, b''.join(self._body))
            )

    def _fail(self, reason: str) -> None:
        self.is_reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                TransportFailure(FailureStage.ANSWER, reason)
            )

    def _reset_message(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._ends_with_connection = False
