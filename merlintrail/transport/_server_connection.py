"""Connections of an HTTP/1.1 server, each with a task of its own."""

import asyncio
from collections import deque
from typing import Final, cast

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._connection_end import ConnectionEnd, EndCause
from merlintrail.transport._connection_group import ConnectionGroup
from merlintrail.transport._connection_state import (
    ConnectionPhase,
    ConnectionState,
    EndLimits,
)
from merlintrail.transport._hand_over import HandOver
from merlintrail.transport._idle_timer import IdleTimer
from merlintrail.transport._message import (
    HttpRequest,
    HttpResponse,
    encode_response,
)
from merlintrail.transport._own_answers import (
    AnswerBuilder,
    announce_close,
    build_refusal,
)
from merlintrail.transport._pending_request import (
    PendingRequest,
    await_answer,
)
from merlintrail.transport._receive_timer import ReceiveTimer
from merlintrail.transport._request_parser import RequestParser
from merlintrail.transport._send_queue import count_untaken_bytes

#: Number of waiting requests at which a connection stops parsing.
MAX_PIPELINED: Final = 16
#: Bytes that a connection reads beyond those, so that it notices the end of
#: the caller.
MAX_BACKLOG_BYTES: Final = 262144
_UNAVAILABLE_STATUS: Final = 503
_CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerConnection(asyncio.Protocol):
    """One accepted connection: parses requests and answers them in order.

    Pipelined requests are served concurrently.
    """

    def __init__(self, server: ConnectionGroup) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._state = ConnectionState(
            self._loop.time(), EndLimits(server.limits.send_timeout_s)
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._parser = RequestParser(server.limits, server.budget)
        #: Wakes the task that waits for a request, ``None`` while it serves.
        self._waiter: asyncio.Future[None] | None = None
        #: Resolved when writing resumes, ``None`` while it is not paused.
        self._drained: asyncio.Future[None] | None = None
        self._pending: deque[PendingRequest] = deque()
        #: The request that is served, and its answer while that waits for
        #: room to be written.
        self._current: PendingRequest | None = None
        self._answer: HttpResponse | None = None
        #: Bytes received while too many requests were waiting.
        self._backlog = bytearray()
        self._receive_timer = ReceiveTimer(
            self._loop, self._parser, self._enqueue
        )
        self.hand_over = HandOver(self._state, server.untaken)
        self._idle_timer = IdleTimer(
            server,
            self._state,
            self._parser,
            self.hand_over.watch,
            self._wake,
        )
        #: Why the connection ends, ``None`` until something ends it.
        self._end_cause: EndCause | None = None
        self._has_reported_end = False

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        self.hand_over.transport = transport
        peer = transport.get_extra_info('peername')
        self._parser.remote_host = str(peer[0]) if peer else ''
        self._server.connections.add(self)
        self._task = self._loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        if self._state.phase == ConnectionPhase.CLOSED:
            self._end_cause = EndCause.STALLED
        self.report_end(self._end_cause or EndCause.RESET)
        self._server.connections.discard(self)
        self._state.close()
        self._receive_timer.close()
        self._idle_timer.close()
        self.hand_over.close()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._parser.close()
        self._transport = None

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; a malformed request ends the connection.

        Bytes are kept while too many requests wait, and ignored behind one
        that ends the connection.
        """
        if self._state.is_open and len(self._pending) < MAX_PIPELINED:
            self._parse(data)
            return
        if self._state.is_open:
            self._backlog += data
            may_read_on = len(self._backlog) <= MAX_BACKLOG_BYTES
        else:
            may_read_on = self._state.ignore_input(len(data), self._loop.time())
        if not may_read_on and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Drop the requests of a caller that has closed its end.

        :returns: whether the connection is kept, to hand over what is written.
        """
        self._end_cause = self._end_cause or EndCause.CALLER
        self._state.record_caller_end()
        transport = self._transport
        if transport is None or not transport.get_write_buffer_size():
            return False
        if not self._state.is_ending:
            self._end()
        if self._task is not None:
            self._task.cancel()
        return True

    def pause_writing(self) -> None:
        """Hold back answers while the caller does not read."""
        self._drained = self._loop.create_future()
        self.hand_over.watch()

    def resume_writing(self) -> None:
        """Continue to send answers."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    # Request handling

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._end_cause = self._end_cause or EndCause.NODE
            self._transport.close()

    @property
    def is_busy(self) -> bool:
        """Whether something is left to be answered or taken."""
        if self._transport is None:
            return False
        return self._state.is_busy or count_untaken_bytes(self._transport) > 0

    def report_end(self, cause: EndCause) -> None:
        """Report what the end of the connection leaves undelivered, if any."""
        unsent = count_untaken_bytes(self._transport)
        unanswered = tuple(
            pending.request
            for pending in self._list_unanswered()
            if isinstance(pending.request, HttpRequest)
        )
        if (unanswered or unsent) and not self._has_reported_end:
            self._has_reported_end = True
            self._server.reports.end(ConnectionEnd(cause, unanswered, unsent))

    def answer_unfinished(self, build_answer: AnswerBuilder) -> None:
        """Answer the requests that are still being served, and close.

        Their answers are written behind what the caller has not taken yet.
        """
        unanswered = self._list_unanswered()
        if not self._state.unanswered or self._task is None:
            return
        held = self._answer
        self._task.cancel()
        self._current = None
        self._pending.clear()
        for pending in unanswered:
            answer = held or pending.find_answer(build_answer)
            held = None
            self._write_answer(pending, answer, is_stopping=True)
            pending.drop(self._server.budget)

    def refuse_incomplete(self, reason: str) -> None:
        """Refuse a request that has not arrived whole."""
        if self._parser.is_receiving:
            self._enqueue(BadRequest(_UNAVAILABLE_STATUS, reason))

    def _list_unanswered(self) -> list[PendingRequest]:
        if self._current is None:
            return list(self._pending)
        return [self._current, *self._pending]

    async def _serve(self) -> None:
        """Serve requests until the last one is answered."""
        try:
            await self._serve_requests()
        finally:
            for pending in self._list_unanswered():
                pending.drop(self._server.budget)
            if not self._state.is_ending:
                self.close()

    async def _serve_requests(self) -> None:
        while self._state.is_open or self._state.unanswered:
            await self._receive()
            if not self._pending:
                # The idle time is over.
                self._end()
                return
            self._current = self._pending.popleft()
            self._parse_backlog()
            self._answer = await self._respond(self._current)
            while self._drained is not None:
                await self._drained
            answer = self._answer
            self._answer = None
            self._write_answer(
                self._current, answer, is_stopping=self._server.is_closing
            )
            self._current.drop(self._server.budget)
            # An idle connection does not keep the last messages.
            del answer
            self._current = None

    async def _respond(self, pending: PendingRequest) -> HttpResponse:
        """Await the answer; a handler that fails costs this request alone."""
        request = pending.request
        if isinstance(request, BadRequest):
            self._server.reports.bad_request(request)
            return build_refusal(request)
        try:
            if pending.task is not None:
                return await pending.task
            return await self._server.handler(request)
        except asyncio.CancelledError as cancellation:
            if self._task is None or self._task.cancelling():
                raise
            failure: BaseException = cancellation
        except Exception as error:
            failure = error
        return self._server.reports.failure(request, failure)

    async def _receive(self) -> None:
        """Wait for a request, or for the end of the idle time."""
        if self._pending:
            return
        self._waiter = self._loop.create_future()
        self._idle_timer.start()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _write_answer(
        self,
        pending: PendingRequest,
        answer: HttpResponse,
        *,
        is_stopping: bool,
    ) -> None:
        """Write an answer; the last one ends the connection."""
        is_last = self._state.record_answer(
            self._loop.time(), is_stopping=is_stopping
        )
        if is_last:
            answer = announce_close(answer)
        self._write(encode_response(answer, with_body=pending.wants_body))
        if is_last:
            self._end()

    def _enqueue(self, request: HttpRequest | BadRequest) -> None:
        """Queue a request; start serving a pipelined one at once.

        What follows a request that ends the connection is ignored.
        """
        pending = PendingRequest(request)
        has_others = self._state.unanswered > 0
        if not self._state.take_request(keeps_alive=pending.keeps_alive):
            pending.drop(self._server.budget)
            return
        task: asyncio.Task[HttpResponse] | None = None
        if isinstance(request, BadRequest):
            self._receive_timer.stop()
        elif has_others:
            task = self._loop.create_task(
                await_answer(self._server.handler(request))
            )
        self._pending.append(PendingRequest(request, task))
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
        if not self._state.is_open:
            return
        self._parser.limits = self._server.limits
        for request in self._parser.feed(received):
            self._enqueue(request)
        if self._parser.is_expecting_continue:
            self._parser.is_expecting_continue = False
            self._write(_CONTINUE_RESPONSE)
        if self._state.is_open:
            self._receive_timer.update()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # End of the connection

    def _end(self) -> None:
        """Announce the end, and close when the caller has taken everything."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._receive_timer.stop()
        self._backlog.clear()
        if self._end_cause != EndCause.CALLER:
            transport.resume_reading()
        transport.write_eof()
        self.hand_over.start()

    def _write(self, payload: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(payload)
