"""An HTTP/1.1 listener with one task for each connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias, cast

import httptools

from merlintrail.transport._message import (
    HttpRequest,
    HttpResponse,
    encode_response,
)
from merlintrail.transport._socket_options import set_socket_options

RequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]

#: Requests that may wait in one connection behind the one being served.
MAX_PIPELINED: Final = 16
#: Seconds that an idle connection is kept open.
IDLE_TIMEOUT_S: Final = 75.0
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerLimits(NamedTuple):
    """Bounds on what one connection may send."""

    #: Bytes of request line and headers together.
    max_header_bytes: int = 16384
    #: Bytes of one body.
    max_body_bytes: int = 1048576
    #: Seconds within which a begun request must have arrived whole.
    receive_timeout_s: float = 10.0


class BadRequest(NamedTuple):
    """A request that cannot be served, with the status that says so."""

    status: int
    reason: str


def _build_refusal(bad_request: BadRequest) -> HttpResponse:
    body = f'{{"outcome":"not-run","reason":"{bad_request.reason}"}}'
    headers = (
        ('content-type', 'application/json'),
        ('merlintrail-outcome', 'not-run'),
        ('merlintrail-reason', bad_request.reason),
        ('connection', 'close'),
    )
    return HttpResponse(bad_request.status, headers, body.encode())


class ServerConnection(asyncio.Protocol):
    """One accepted connection: parses requests, runs them in one task.

    A handler that raises ``ConnectionAbortedError`` ends the connection
    without an answer.
    """

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._limits = server.limits
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._requests: deque[HttpRequest | BadRequest] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._remote_host = ''
        self._bad = False
        self._is_receiving = False
        self._keep_alive = True
        #: Bytes of the request being received.
        self._received = 0
        self._reset_message()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of this connection."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._remote_host = str(peer[0]) if peer else ''
        set_socket_options(transport)
        self._server.connections.add(self)
        self._task = self._loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a caller that has gone."""
        self._server.connections.discard(self)
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Feed the parser; a malformed request ends the connection."""
        if self._bad:
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(BadRequest(400, 'upgrade-not-supported'))
        except httptools.HttpParserError:
            self._reject(BadRequest(400, 'malformed-http'))
        if self._is_receiving and self._timer is None and not self._bad:
            self._timer = self._loop.call_later(
                self._limits.receive_timeout_s, self._expire
            )
        self._check_header_size()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._is_receiving = True
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Take one header."""
        key = name.decode('latin-1').lower()
        text = value.decode('latin-1').strip()
        known = self._headers.get(key)
        self._headers[key] = text if known is None else f'{known}, {text}'

    def on_headers_complete(self) -> None:
        """Check the announced length and the expectation."""
        self._in_headers = False
        if 'upgrade' in self._headers:
            self._reject(BadRequest(400, 'upgrade-not-supported'))
        elif int(self._headers.get('content-length', '0')) > (
            self._limits.max_body_bytes
        ):
            self._reject(BadRequest(413, 'body-too-large'))
        elif self._headers.get('expect', '').lower() == '100-continue':
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            self._reject(BadRequest(413, 'body-too-large'))

    def on_message_complete(self) -> None:
        """Hand the whole request to the task."""
        self._is_receiving = False
        self._stop_timer()
        self._received = 0
        if self._bad:
            return
        if len(self._requests) >= MAX_PIPELINED:
            self._reject(BadRequest(429, 'too-many-pipelined'))
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._put(
            HttpRequest(
                self._parser.get_method().decode('latin-1'),
                self._target.decode('latin-1'),
                self._headers,
                b''.join(self._body),
                self._remote_host,
            )
        )

    # the task

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served."""
        return self._waiter is not None and self._timer is None

    async def _serve(self) -> None:
        try:
            await self._serve_requests()
        except ConnectionAbortedError:
            return
        finally:
            self.close()

    async def _serve_requests(self) -> None:
        while True:
            request = await self._receive()
            if request is None:
                break
            if isinstance(request, BadRequest):
                self._server.report_bad_request(request)
                self._write(encode_response(_build_refusal(request)))
                break
            response = await self._server.handler(request)
            self._write(
                encode_response(response, with_body=request.method != 'HEAD')
            )
            if not self._keep_alive and not self._requests:
                break

    async def _receive(self) -> HttpRequest | BadRequest | None:
        if not self._requests:
            self._waiter = self._loop.create_future()
            idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self._wake)
            try:
                await self._waiter
            finally:
                idle_timer.cancel()
                self._waiter = None
        return self._requests.popleft() if self._requests else None

    def _put(self, request: HttpRequest | BadRequest) -> None:
        self._requests.append(request)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _reject(self, bad_request: BadRequest) -> None:
        if not self._bad:
            self._bad = True
            self._stop_timer()
            self._put(bad_request)

    def _expire(self) -> None:
        self._timer = None
        self._reject(BadRequest(408, 'request-incomplete'))

    def _check_header_size(self) -> None:
        if self._in_headers and self._received > self._limits.max_header_bytes:
            self._reject(BadRequest(431, 'headers-too-large'))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self, payload: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(payload)

    def _reset_message(self) -> None:
        self._target = b''
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_headers = True


class HttpServer:
    """A listener and its open connections."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        report_bad_request: Callable[[BadRequest], None],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.report_bad_request = report_bad_request
        self.connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    @property
    def port(self) -> int:
        """The port that is listened on."""
        assert self._listener is not None
        port: int = self._listener.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop accepting and close every connection."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.close()


def _ignore_bad_request(bad_request: BadRequest) -> None:
    """Leave a malformed request unreported."""


async def start_server(
    handler: RequestHandler,
    host: str,
    port: int,
    *,
    limits: ServerLimits | None = None,
    report_bad_request: Callable[[BadRequest], None] = _ignore_bad_request,
) -> HttpServer:
    """Start a listener.

    :raises OSError: when the address cannot be bound.
    """
    server = HttpServer(handler, limits or ServerLimits(), report_bad_request)
    await server.listen(host, port)
    return server
