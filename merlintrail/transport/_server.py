"""HTTP/1.1 server."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from merlintrail.transport._connection_end import EndCause, EndingConnection
from merlintrail.transport._connection_group import (
    ConnectionGroup,
    RequestHandler,
    ServerReports,
)
from merlintrail.transport._message import HttpRequest, HttpResponse
from merlintrail.transport._request_parser import ServerLimits
from merlintrail.transport._server_connection import ServerConnection
from merlintrail.transport._server_memory import (
    ServerMemory,
    create_memory,
)
from merlintrail.transport._socket_options import limit_receive_buffer

#: Connections that wait to be accepted.
BACKLOG: Final = 1024


class HttpServer(ConnectionGroup):
    """A listening socket and its open connections."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        reports: ServerReports,
        memory: ServerMemory,
    ) -> None:
        super().__init__(handler, limits, reports, memory)
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=BACKLOG
        )
        self._limit_receive_buffers(self._listener)

    async def accept_from(self, listener: socket.socket) -> None:
        """Accept connections from a socket that listens already."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), sock=listener, backlog=BACKLOG
        )
        self._limit_receive_buffers(self._listener)

    def count_busy(self) -> int:
        """Count the connections with an unfinished request or answer."""
        return sum(1 for connection in self.connections if connection.is_busy)

    def answer_unfinished(
        self, build_answer: Callable[[HttpRequest], HttpResponse]
    ) -> None:
        """Answer all requests that are still being served, and close.

        :param build_answer: builds the answer to a request.
        """
        for connection in tuple(self.connections):
            connection.answer_unfinished(build_answer)

    def list_ending(self) -> list[EndingConnection]:
        """List the connections whose last answer is written."""
        ends = [
            connection.hand_over.describe() for connection in self.connections
        ]
        return [end for end in ends if end is not None]

    def refuse_incomplete(self, reason: str) -> None:
        """Refuse, as not run, the requests that have not arrived whole."""
        for connection in tuple(self.connections):
            connection.refuse_incomplete(reason)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        assert self._listener is not None
        port: int = self._listener.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.report_end(EndCause.PROCESS_END)
            connection.close()

    def _limit_receive_buffers(self, listener: asyncio.Server) -> None:
        """Limit the receive buffers of the connections that are accepted."""
        for sock in listener.sockets:
            limit_receive_buffer(sock, self.receive_buffer_bytes)


async def start_server(
    handler: RequestHandler,
    host: str,
    port: int,
    *,
    limits: ServerLimits | None = None,
    reports: ServerReports | None = None,
    listener: socket.socket | None = None,
    memory: ServerMemory | None = None,
) -> HttpServer:
    """Start a server.

    :param memory: memory that other servers share.
    :param reports: what to report, nothing by default.
    :param listener: socket that listens on the address already, if any.
    :raises OSError: if the address cannot be bound.
    """
    server = HttpServer(
        handler,
        limits or ServerLimits(),
        reports or ServerReports(),
        memory or create_memory(),
    )
    if listener is None:
        await server.listen(host, port)
    else:
        await server.accept_from(listener)
    return server
