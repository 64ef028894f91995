"""What the connections of one server have in common."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, NamedTuple, TypeAlias

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._connection_end import (
    ConnectionEnd,
    DisplacedConnections,
    EndCause,
    RefusedRequest,
)
from merlintrail.transport._message import HttpRequest, HttpResponse
from merlintrail.transport._own_answers import build_failure
from merlintrail.transport._pending_request import await_answer
from merlintrail.transport._request_parser import ServerLimits
from merlintrail.transport._server_memory import ServerMemory
from merlintrail.transport._socket_options import limit_transport_buffer

if TYPE_CHECKING:
    from merlintrail.transport._server_connection import ServerConnection

#: Part of the connections that may be open from which on further ones receive
#: less before they are read, and which part of the buffer they get.
CROWDED_SHARE: Final = 16
CROWDED_BUFFER_SHARE: Final = 4
#: Part of the open connections that are closed at once to make room.
_DISPLACED_SHARE: Final = 16

RequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


def _ignore_refusal(refused: RefusedRequest) -> None:
    """Do not report a refused request."""


def _ignore_displaced(displaced: DisplacedConnections) -> None:
    """Do not report connections that were closed to make room."""


def _ignore_end(end: ConnectionEnd) -> None:
    """Do not report the end of a connection."""


class ServerReports(NamedTuple):
    """What a server reports to its owner."""

    #: Called for each handler that failed; builds the answer to its request.
    failure: Callable[[HttpRequest, BaseException], HttpResponse] = (
        build_failure
    )

    #: Called for each request that is refused without being passed on.
    refusal: Callable[[RefusedRequest], None] = _ignore_refusal
    #: Called when a connection ends with something left undelivered.
    end: Callable[[ConnectionEnd], None] = _ignore_end
    #: Called for the connections of a host that are closed to make room.
    displaced: Callable[[DisplacedConnections], None] = _ignore_displaced


class ConnectionGroup:
    """What the connections of one server have in common."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        reports: ServerReports,
        memory: ServerMemory,
    ) -> None:
        self.handler = handler
        #: Limits on requests, which may be replaced.
        self.limits = limits
        #: Room for what all connections hold.
        self.budget = memory.budget
        #: What callers have not taken of their answers.
        self.untaken = memory.answers
        self.reports = reports
        #: The open connections.
        self.connections: 'set[ServerConnection]' = set()
        #: Tasks of requests that are served beside others of their connection.
        self._early: set[asyncio.Task[HttpResponse]] = set()
        #: Connections that keep requests back.
        self._deep: set[ServerConnection] = set()
        #: Whether each connection is closed after its next answer.
        self.is_closing = False
        #: Connections that are open at the same time.
        self.max_connections = memory.max_connections
        self.receive_buffer_bytes = memory.receive_buffer_bytes
        self._descriptors = memory.descriptors
        self._pipelines = memory.pipelines
        #: Connections that were closed to make room for others.
        self.displaced_connections = 0

    def begin_early(
        self, request: HttpRequest
    ) -> 'asyncio.Task[HttpResponse] | None':
        """Serve a request beside others of its connection.

        :returns: ``None`` if it is to be served in its turn, since memory is
            short or many requests are served so.
        """
        is_full = len(self._early) >= self._pipelines.early_requests
        if is_full or not self.budget.is_calm:
            return None
        task: asyncio.Task[HttpResponse] = (
            asyncio.get_running_loop().create_task(
                await_answer(self.handler(request))
            )
        )
        self._early.add(task)
        task.add_done_callback(self._early.discard)
        return task

    def remove(self, connection: 'ServerConnection') -> None:
        """Forget a connection that has ended."""
        self._descriptors.accepted -= 1
        self.connections.discard(connection)
        self._deep.discard(connection)

    def compute_pause(
        self, connection: 'ServerConnection', *, has_backlog: bool
    ) -> float:
        """Return the seconds that a connection waits before its next request.

        Those that keep more requests back than may wait share a rate, so that
        they leave time to the others.
        """
        if not has_backlog:
            self._deep.discard(connection)
            return 0.0
        self._deep.add(connection)
        return len(self._deep) / self._pipelines.deep_requests_per_s

    def admit(self, connection: 'ServerConnection') -> None:
        """Add a connection; close others if there are too many.

        Those go first that nobody waits at: with nothing left to be taken,
        silent, idle, then with an incomplete request or an answer that is not
        read, each from the longest. Connections with a request that is served
        are kept, and the new one is refused if there are no others.
        """
        self._descriptors.accepted += 1
        self.connections.add(connection)
        if len(self.connections) > self.max_connections // CROWDED_SHARE:
            limit_transport_buffer(
                connection.hand_over.transport,
                self.receive_buffer_bytes // CROWDED_BUFFER_SHARE,
            )
        is_full = len(self.connections) > self.max_connections
        if not (is_full or self._descriptors.is_exceeded):
            return
        ranked = sorted(
            (rank, id(other), other)
            for other in self.connections
            if other is not connection
            and (rank := other.idle_timer.rank()) is not None
        )
        count = 1 + self.max_connections // _DISPLACED_SHARE
        displaced = [other for _, _, other in ranked[:count]] or [connection]
        self._report_displaced(displaced)
        for other in displaced:
            self.connections.discard(other)
            other.report_end(EndCause.DISPLACED)
            other.hand_over.abort()
        self.displaced_connections += len(displaced)

    def report_refusal(
        self,
        connection: 'ServerConnection',
        bad_request: BadRequest,
        request: HttpRequest | BadRequest | None = None,
    ) -> None:
        """Report a request that is refused without being passed on.

        :param request: the request, if it is complete.
        """
        self.reports.refusal(
            RefusedRequest(
                bad_request,
                connection.remote_host,
                connection.account.held_bytes,
                request if isinstance(request, HttpRequest) else None,
            )
        )

    def _report_displaced(self, displaced: 'list[ServerConnection]') -> None:
        """Report connections by the host that they come from."""
        hosts = {connection.remote_host for connection in displaced}
        for host in hosts:
            sizes = [
                connection.account.held_bytes
                for connection in displaced
                if connection.remote_host == host
            ]
            self.reports.displaced(
                DisplacedConnections(host, len(sizes), sum(sizes))
            )
