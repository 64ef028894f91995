"""An HTTP/1.1 listener with one task for each connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias, cast

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._message import (
    HttpRequest,
    HttpResponse,
    encode_response,
)
from merlintrail.transport._request_parser import RequestParser, ServerLimits

RequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]

#: Requests that may wait in one connection behind the one being served.
MAX_PIPELINED: Final = 16
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_CLOSE: Final = (('connection', 'close'),)


def _build_refusal(bad_request: BadRequest) -> HttpResponse:
    body = f'{{"outcome":"not-run","reason":"{bad_request.reason}"}}'
    headers = (
        ('content-type', 'application/json'),
        ('merlintrail-outcome', 'not-run'),
        ('merlintrail-reason', bad_request.reason),
    )
    return HttpResponse(bad_request.status, headers, body.encode())


class _Pending(NamedTuple):
    """A request that waits for its turn to be answered."""

    request: HttpRequest | BadRequest
    #: Whether the connection stays open behind the answer.
    keeps_alive: bool = True
    #: Serves a request that came behind another.
    task: 'asyncio.Task[HttpResponse] | None' = None


class ServerConnection(asyncio.Protocol):
    """One accepted connection: parses requests and answers them in order.

    Requests that arrive behind another are served at the same time. A
    handler that raises ``ConnectionAbortedError`` ends the connection
    without an answer.
    """

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._parser = RequestParser(server.limits)
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._pending: deque[_Pending] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        #: Event loop time at which the last answer was sent.
        self._idle_since = 0.0
        self._is_bad = False
        self._is_serving = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of this connection."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._parser.remote_host = str(peer[0]) if peer else ''
        self._server.connections.add(self)
        self._task = self._loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a caller that has gone."""
        self._server.connections.discard(self)
        self._stop_timer()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Feed the parser; a malformed request ends the connection."""
        if self._is_bad:
            return
        for request in self._parser.feed(data):
            self._take(request)
        if self._parser.is_expecting_continue:
            self._parser.is_expecting_continue = False
            self._write(_CONTINUE)
        if not self._parser.is_receiving:
            self._stop_timer()
        elif self._timer is None and not self._is_bad:
            self._timer = self._loop.call_later(
                self._server.limits.receive_timeout_s, self._expire
            )

    def pause_writing(self) -> None:
        """Serve nothing more while the caller does not read."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Serve on."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    # the task

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served."""
        return self._waiter is not None and not self._parser.is_receiving

    async def _serve(self) -> None:
        try:
            await self._serve_requests()
        except ConnectionAbortedError:
            return
        finally:
            self._cancel_pending()
            self.close()

    async def _serve_requests(self) -> None:
        while True:
            pending = await self._receive()
            if pending is None:
                break
            self._is_serving = True
            response = await self._respond(pending)
            keeps_alive = pending.keeps_alive and not self._server.is_closing
            if not keeps_alive:
                response = response._replace(
                    headers=(*response.headers, *_CLOSE)
                )
            if self._drained is not None:
                await self._drained
            self._write(encode_response(response, with_body=_has_body(pending)))
            self._is_serving = False
            if not keeps_alive:
                break

    async def _respond(self, pending: _Pending) -> HttpResponse:
        request = pending.request
        if isinstance(request, BadRequest):
            self._server.report_bad_request(request)
            return _build_refusal(request)
        if pending.task is not None:
            return await pending.task
        return await self._server.handler(request)

    async def _receive(self) -> _Pending | None:
        if not self._pending:
            self._waiter = self._loop.create_future()
            self._idle_since = self._loop.time()
            if self._idle_timer is None:
                self._check_idle()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if not self._pending:
            return None
        if len(self._pending) == MAX_PIPELINED and self._transport is not None:
            self._transport.resume_reading()
        return self._pending.popleft()

    def _take(self, request: HttpRequest | BadRequest) -> None:
        """Queue a request; one behind another is served meanwhile."""
        if isinstance(request, BadRequest):
            self._is_bad = True
            self._stop_timer()
            self._pending.append(_Pending(request, keeps_alive=False))
            self._wake()
            return
        task: asyncio.Task[HttpResponse] | None = None
        if self._is_serving or self._pending:
            task = self._loop.create_task(self._serve_behind(request))
        keeps_alive = self._parser.keeps_alive
        self._pending.append(_Pending(request, keeps_alive, task))
        if len(self._pending) == MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    async def _serve_behind(self, request: HttpRequest) -> HttpResponse:
        return await self._server.handler(request)

    def _cancel_pending(self) -> None:
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_idle(self) -> None:
        """End a connection that was idle for too long, or look again.

        One timer serves many requests: cancelling one for each of them
        costs the event loop a turn.
        """
        self._idle_timer = None
        if self._waiter is None:
            return
        idle_s = self._loop.time() - self._idle_since
        remaining_s = self._server.limits.idle_timeout_s - idle_s
        if remaining_s <= 0:
            self._wake()
            return
        self._idle_timer = self._loop.call_later(remaining_s, self._check_idle)

    def _expire(self) -> None:
        self._timer = None
        if not self._is_bad:
            self._take(BadRequest(408, 'request-incomplete'))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self, payload: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(payload)


def _has_body(pending: _Pending) -> bool:
    request = pending.request
    return isinstance(request, BadRequest) or request.method != 'HEAD'


class HttpServer:
    """A listener and its open connections."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        report_bad_request: Callable[[BadRequest], None],
    ) -> None:
        self.handler = handler
        #: Bounds that hold for the connections accepted from now on.
        self.limits = limits
        self.report_bad_request = report_bad_request
        self.connections: set[ServerConnection] = set()
        #: Whether each answer closes its connection.
        self.is_closing = False
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
