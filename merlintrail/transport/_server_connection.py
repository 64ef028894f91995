"""Connections of an HTTP/1.1 server, each with a task of its own."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias, cast

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._body_budget import BodyBudget
from merlintrail.transport._connection_end import ConnectionEnd, EndCause
from merlintrail.transport._message import (
    HttpRequest,
    HttpResponse,
    encode_response,
)
from merlintrail.transport._receive_timer import ReceiveTimer
from merlintrail.transport._request_parser import RequestParser, ServerLimits
from merlintrail.transport._send_queue import count_untaken_bytes

RequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]

#: Number of waiting requests at which a connection stops parsing.
MAX_PIPELINED: Final = 16
#: Bytes that a connection reads beyond those, so that it notices the end of
#: the caller.
MAX_BACKLOG_BYTES: Final = 262144
#: Longest wait in seconds for a caller to close a connection that the server
#: has closed.
LINGER_S: Final = 0.5
#: Seconds after which a request comes back for which there was no room.
RETRY_AFTER_S: Final = 1
_UNAVAILABLE_STATUS: Final = 503
_CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_CLOSE_HEADERS: Final = (('connection', 'close'),)


def _build_refusal(bad_request: BadRequest) -> HttpResponse:
    body = f'{{"outcome":"not-run","reason":"{bad_request.reason}"}}'
    headers = [
        ('content-type', 'application/json'),
        ('merlintrail-outcome', 'not-run'),
        ('merlintrail-reason', bad_request.reason),
    ]
    if bad_request.status == _UNAVAILABLE_STATUS:
        headers.append(('retry-after', str(RETRY_AFTER_S)))
    return HttpResponse(bad_request.status, headers, body.encode())


def _close_after(response: HttpResponse) -> HttpResponse:
    """Return an answer that announces the end of its connection."""
    return response._replace(headers=(*response.headers, *_CLOSE_HEADERS))


async def _await_answer(answer: Awaitable[HttpResponse]) -> HttpResponse:
    return await answer


class _PendingRequest(NamedTuple):
    """A received request that has not been answered yet."""

    request: HttpRequest | BadRequest
    #: Task of a request that arrived while another was being served.
    task: 'asyncio.Task[HttpResponse] | None' = None

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the answer."""
        return isinstance(self.request, HttpRequest) and (
            self.request.keeps_alive
        )


def _ignore_bad_request(bad_request: BadRequest) -> None:
    """Do not report an invalid request."""


def _ignore_end(end: ConnectionEnd) -> None:
    """Do not report the end of a connection."""


class ServerReports(NamedTuple):
    """What a server reports to its owner."""

    #: Called for each invalid request.
    bad_request: Callable[[BadRequest], None] = _ignore_bad_request
    #: Called when a connection ends with something left undelivered.
    end: Callable[[ConnectionEnd], None] = _ignore_end


class ConnectionGroup:
    """What the connections of one server have in common."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        reports: ServerReports,
        budget: BodyBudget,
    ) -> None:
        self.handler = handler
        #: Limits on requests, which may be replaced.
        self.limits = limits
        #: Room for the bodies of all requests.
        self.budget = budget
        self.reports = reports
        #: The open connections.
        self.connections: set[ServerConnection] = set()
        #: Whether each connection is closed after its next answer.
        self.is_closing = False


class ServerConnection(asyncio.Protocol):
    """One accepted connection: parses requests and answers them in order.

    Pipelined requests are served concurrently. A handler that raises
    ``ConnectionAbortedError`` closes the connection without an answer.
    """

    def __init__(self, server: ConnectionGroup) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._parser = RequestParser(server.limits, server.budget)
        #: Wakes the task that waits for a request, ``None`` while it serves.
        self._waiter: asyncio.Future[None] | None = None
        #: Resolved when writing resumes, ``None`` while it is not paused.
        self._drained: asyncio.Future[None] | None = None
        self._pending: deque[_PendingRequest] = deque()
        #: Bytes received while too many requests were waiting.
        self._backlog = bytearray()
        self._receive_timer = ReceiveTimer(
            self._loop, self._parser, self._enqueue
        )
        self._idle_timer: asyncio.TimerHandle | None = None
        #: Event loop time since which the connection has been idle.
        self._idle_since = 0.0
        self._has_bad_request = False
        #: Whether a request was received that ends the connection.
        self._has_last_request = False
        self._is_serving = False
        #: Request that the handler serves, ``None`` once it has answered.
        self._handled: HttpRequest | None = None
        #: Request whose answer is not written yet.
        self._unanswered: HttpRequest | BadRequest | None = None
        #: Why the connection ends, ``None`` until something ends it.
        self._end_cause: EndCause | None = None
        self._has_reported_end = False

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._parser.remote_host = str(peer[0]) if peer else ''
        self._server.connections.add(self)
        self._task = self._loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        if exc is not None:
            self._end_cause = EndCause.RESET
        self.report_end(self._end_cause or EndCause.NODE)
        self._server.connections.discard(self)
        self._receive_timer.stop()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._task is not None:
            self._task.cancel()
        self._parser.close()
        self._transport = None

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; a malformed request ends the connection.

        Bytes are kept while too many requests wait, and ignored behind one
        that ends the connection.
        """
        if self._has_last_request:
            return
        if len(self._pending) < MAX_PIPELINED:
            self._parse(data)
            return
        self._backlog += data
        is_full = len(self._backlog) > MAX_BACKLOG_BYTES
        if is_full and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> None:
        """Close the connection of a caller that has closed its end."""
        self._end_cause = self._end_cause or EndCause.CALLER

    def pause_writing(self) -> None:
        """Hold back answers while the caller does not read."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Continue to send answers."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    # Request handling

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served or an answer is not yet sent."""
        if self._transport is None or self._transport.is_closing():
            return False
        has_unsent = self._transport.get_write_buffer_size() > 0
        return self._is_serving or bool(self._pending) or has_unsent

    def report_end(self, cause: EndCause) -> None:
        """Report what the end of the connection leaves undelivered, if any."""
        unsent = count_untaken_bytes(self._transport)
        requests = [pending.request for pending in self._pending]
        if self._unanswered is not None:
            requests.insert(0, self._unanswered)
        unanswered = tuple(
            request for request in requests if isinstance(request, HttpRequest)
        )
        if (unanswered or unsent) and not self._has_reported_end:
            self._has_reported_end = True
            self._server.reports.end(ConnectionEnd(cause, unanswered, unsent))

    def answer_unfinished(
        self, build_answer: Callable[[HttpRequest], HttpResponse]
    ) -> None:
        """Answer the requests that are still being served, and close.

        Connections with an answer that is not yet sent are left alone.
        """
        if self._handled is None or self._drained is not None:
            return
        waiting = [_PendingRequest(self._handled), *self._pending]
        for pending in waiting:
            answer = _find_answer(pending, build_answer)
            if pending is waiting[-1]:
                answer = _close_after(answer)
            self._write(encode_response(answer, with_body=_has_body(pending)))
        self.close()

    async def _serve(self) -> None:
        try:
            await self._serve_requests()
            await self._linger()
        except ConnectionAbortedError:
            return
        finally:
            for pending in self._pending:
                if pending.task is not None:
                    pending.task.cancel()
                _give_back(self._server.budget, pending)
            self.close()

    async def _linger(self) -> None:
        """Wait until the caller has closed its end, and ignore what it sends.

        Closing with unread bytes resets the connection, and answers that are
        still under way are lost.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._has_last_request = True
        transport.write_eof()
        await asyncio.sleep(LINGER_S)

    async def _serve_requests(self) -> None:
        while True:
            pending = await self._receive()
            if pending is None:
                break
            try:
                is_open = await self._serve_request(pending)
            finally:
                _give_back(self._server.budget, pending)
            if not is_open:
                break
            # An idle connection does not keep the last messages.
            del pending

    async def _serve_request(self, pending: _PendingRequest) -> bool:
        """Serve a request; return whether the connection stays open."""
        self._is_serving = True
        self._unanswered = pending.request
        response = await self._respond(pending)
        while self._drained is not None:
            await self._drained
        # Those behind it were passed on already.
        is_closing = self._server.is_closing and not self._pending
        keeps_alive = pending.keeps_alive and not is_closing
        if not keeps_alive:
            self._has_last_request = True
            response = _close_after(response)
        self._write(encode_response(response, with_body=_has_body(pending)))
        self._unanswered = None
        self._is_serving = False
        return keeps_alive

    async def _respond(self, pending: _PendingRequest) -> HttpResponse:
        request = pending.request
        if isinstance(request, BadRequest):
            self._server.reports.bad_request(request)
            return _build_refusal(request)
        self._handled = request
        try:
            if pending.task is not None:
                return await pending.task
            return await self._server.handler(request)
        finally:
            self._handled = None

    async def _receive(self) -> _PendingRequest | None:
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
        pending = self._pending.popleft()
        self._parse_backlog()
        return pending

    def _enqueue(self, request: HttpRequest | BadRequest) -> None:
        """Queue a request; start serving a pipelined one at once.

        What follows a request that ends the connection is ignored.
        """
        if self._has_last_request:
            return
        if isinstance(request, BadRequest):
            self._has_bad_request = True
            self._receive_timer.stop()
            self._pending.append(_PendingRequest(request))
            self._wake()
            return
        task: asyncio.Task[HttpResponse] | None = None
        if self._is_serving or self._pending:
            task = self._loop.create_task(
                _await_answer(self._server.handler(request))
            )
        self._has_last_request = not request.keeps_alive
        self._pending.append(_PendingRequest(request, task))
        self._wake()

    def _parse_backlog(self) -> None:
        """Parse the bytes that were kept back."""
        is_full = len(self._pending) >= MAX_PIPELINED
        if is_full or not self._backlog or self._transport is None:
            return
        received = bytes(self._backlog)
        self._backlog.clear()
        self._transport.resume_reading()
        self._parse(received)

    def _parse(self, received: bytes) -> None:
        if self._has_bad_request:
            return
        self._parser.limits = self._server.limits
        for request in self._parser.feed(received):
            self._enqueue(request)
        if self._parser.is_expecting_continue:
            self._parser.is_expecting_continue = False
            self._write(_CONTINUE_RESPONSE)
        if not self._has_bad_request:
            self._receive_timer.update()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_idle(self) -> None:
        """Close a connection that was idle for too long, or check later.

        One timer covers many requests, since cancelling a timer for each of
        them costs the event loop an additional iteration.
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

    def _write(self, payload: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(payload)


def _give_back(budget: BodyBudget, pending: _PendingRequest) -> None:
    """Give back the room that the body of a request has taken."""
    request = pending.request
    if isinstance(request, HttpRequest) and request.taken_bytes:
        budget.give_back(request.taken_bytes)


def _find_answer(
    pending: _PendingRequest,
    build_answer: Callable[[HttpRequest], HttpResponse],
) -> HttpResponse:
    """Return the answer to a waiting request, or build it if not known."""
    if isinstance(pending.request, BadRequest):
        return _build_refusal(pending.request)
    task = pending.task
    if task is None or not task.done() or task.cancelled() or task.exception():
        return build_answer(pending.request)
    return task.result()


def _has_body(pending: _PendingRequest) -> bool:
    request = pending.request
    return isinstance(request, BadRequest) or request.method != 'HEAD'
