"""Connections of an HTTP/1.1 server, each with a task of its own."""

import asyncio
from collections import deque
from typing import Final, cast

from merlintrail.transport._answer_writer import AnswerWriter
from merlintrail.transport._backlog import Backlog
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
from merlintrail.transport._memory_costs import CONNECTION_BYTES
from merlintrail.transport._message import (
    HttpRequest,
    HttpResponse,
)
from merlintrail.transport._own_answers import (
    AnswerBuilder,
    announce_close,
    build_refusal,
)
from merlintrail.transport._pending_request import PendingRequest, drop_all
from merlintrail.transport._receive_timer import ReceiveTimer
from merlintrail.transport._request_parser import NO_ROOM, RequestParser
from merlintrail.transport._send_queue import count_untaken_bytes

#: Number of waiting requests at which a connection stops parsing.
MAX_PIPELINED: Final = 16
_UNAVAILABLE_STATUS: Final = 503
_NO_ROOM: Final = BadRequest(_UNAVAILABLE_STATUS, NO_ROOM)
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
        #: IP address of the caller.
        self.remote_host = ''
        #: Memory that the connection takes.
        self.account = server.budget.open_account(self._free_memory)
        self.account.add(CONNECTION_BYTES)
        self._parser = RequestParser(server.limits, server.budget, self.account)
        self._is_parsing = False
        self._writer = AnswerWriter()
        #: Wakes the task that waits for a request, ``None`` while it serves.
        self._waiter: asyncio.Future[None] | None = None
        self._pending: deque[PendingRequest] = deque()
        #: The request that is served, and its answer while that waits for
        #: room to be written.
        self._current: PendingRequest | None = None
        self._answer: HttpResponse | None = None
        #: Bytes received while too many requests were waiting.
        self._backlog = Backlog(self.account)
        self._receive_timer = ReceiveTimer(
            self._loop, self._parser, self._enqueue
        )
        self.hand_over = HandOver(
            self._state, server.untaken, lambda: server.budget.is_exhausted
        )
        self.idle_timer = IdleTimer(
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
        self.remote_host = str(peer[0]) if peer else ''
        self._parser.remote_host = self.remote_host
        self._writer.open(transport)
        self._task = self._loop.create_task(self._serve())
        self._server.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        if self._state.phase == ConnectionPhase.CLOSED:
            self._end_cause = EndCause.STALLED
        self.report_end(self._end_cause or EndCause.RESET)
        self._server.remove(self)
        self._state.close()
        self._receive_timer.close()
        self.idle_timer.close()
        self.hand_over.close()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._parser.close()
        self._backlog.clear()
        self._writer.close()
        drop_all(self._pending)
        self.account.close(CONNECTION_BYTES)
        self._transport = None

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; a malformed request ends the connection.

        Bytes are kept while too many requests wait, and ignored behind one
        that ends the connection.
        """
        may_read_on = True
        is_full = len(self._backlog) or len(self._pending) >= MAX_PIPELINED
        if self._state.is_open and is_full:
            self._backlog.append(data)
            may_read_on = not self._backlog.is_full
        elif self._state.is_open:
            self._parse(data)
            self._server.budget.enforce()
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
        self._writer.pause()
        self.hand_over.watch()

    def resume_writing(self) -> None:
        """Continue to send answers."""
        self._writer.resume()

    # Request handling

    def close(self) -> None:
        """Close the connection, when the socket has taken what is written."""
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
            self._server.reports.end(
                ConnectionEnd(cause, unanswered, unsent, self.remote_host)
            )

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
            pending.drop()

    def refuse_incomplete(self, reason: str) -> None:
        """Refuse a request that has not arrived whole."""
        if self._parser.is_receiving:
            self._enqueue(BadRequest(_UNAVAILABLE_STATUS, reason))

    def _free_memory(self) -> None:
        """Refuse what has not been passed on yet.

        That is the requests that wait behind others, what was kept back, and
        the request that is being received.
        """
        for index, pending in enumerate(self._pending):
            if not pending.has_begun:
                self._server.report_refusal(self, _NO_ROOM, pending.request)
                pending.drop()
                self._pending[index] = PendingRequest(_NO_ROOM)
        is_partial = len(self._backlog) or self._parser.is_receiving
        if self._is_parsing or not is_partial or not self._state.is_open:
            return
        self._backlog.clear()
        self._parser.discard()
        self._enqueue(_NO_ROOM)

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
                pending.drop()
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
            await self._writer.wait()
            answer = self._answer
            self._answer = None
            self._write_answer(
                self._current, answer, is_stopping=self._server.is_closing
            )
            self._current.drop()
            # An idle connection does not keep the last messages.
            del answer
            self._current = None
            if self._pending:
                # Each connection answers one request in its turn, also if no
                # handler had to wait.
                pause_s = self._server.compute_pause(
                    self, has_backlog=len(self._backlog) > 0
                )
                self._state.is_between_requests = pause_s > 0 and not any(
                    pending.task for pending in self._pending
                )
                await asyncio.sleep(pause_s)
                self._state.is_between_requests = False

    async def _respond(self, pending: PendingRequest) -> HttpResponse:
        """Await the answer; a handler that fails costs this request alone."""
        request = pending.request
        if isinstance(request, BadRequest):
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
        self.idle_timer.start()
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
        self._writer.write_answer(answer, with_body=pending.wants_body)
        if is_last:
            self._end()

    def _enqueue(self, request: HttpRequest | BadRequest) -> None:
        """Queue a request; start serving a pipelined one at once.

        What follows a request that ends the connection is ignored.
        """
        pending = PendingRequest(request)
        has_others = self._state.unanswered > 0
        if not self._state.take_request(keeps_alive=pending.keeps_alive):
            pending.drop()
            return
        task: asyncio.Task[HttpResponse] | None = None
        if isinstance(request, BadRequest):
            self._server.report_refusal(self, request)
            self._receive_timer.stop()
        elif has_others:
            task = self._server.begin_early(request)
            if task is not None:
                self._state.is_between_requests = False
        self._pending.append(PendingRequest(request, task))
        self._wake()

    def _parse_backlog(self) -> None:
        """Parse the bytes that were kept back, once few requests wait."""
        is_full = len(self._pending) > MAX_PIPELINED // 2
        if is_full or not self._backlog or self._transport is None:
            return
        self._transport.resume_reading()
        self._parse(self._backlog.take())

    def _parse(self, received: bytes) -> None:
        """Parse bytes up to the requests that may wait; keep back the rest."""
        self._parser.limits = self._server.limits
        self._is_parsing = True
        start = 0
        while start < len(received) and self._state.is_open:
            if len(self._pending) >= MAX_PIPELINED:
                self._backlog.append(received[start:])
                break
            end = self._parser.find_end(received, start)
            is_whole = end - start == len(received)
            part = received if is_whole else received[start:end]
            for request in self._parser.feed(part):
                self._enqueue(request)
            start = end
        self._is_parsing = False
        if self._parser.is_expecting_continue:
            self._parser.is_expecting_continue = False
            self._writer.write(_CONTINUE_RESPONSE)
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
