"""The cheroot HTTP server of the console, on its own threads."""

import asyncio
import threading
from typing import Any, Final

from cheroot import wsgi

from merlintrail.console._application import (
    MAX_BODY_BYTES,
    Application,
    create_application,
)
from merlintrail.node import Node, split_host_port

#: Threads that answer requests.
WORKER_THREADS: Final = 4
#: Maximum size in bytes of the request line and headers of a request.
MAX_HEADER_BYTES: Final = 65536
#: Requests that may wait for a thread; further ones get 503.
MAX_WAITING_REQUESTS: Final = 32
#: Seconds in which a client has to send the next part of a request.
RECEIVE_TIMEOUT_S: Final = 3


class _ConsoleServer(wsgi.Server):
    """Server whose threads serve those clients alone that send something."""

    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = MAX_BODY_BYTES
    #: Connections that may be open without a request.
    max_idle_connections = 0
    #: Connections that wait for input; set when the server is prepared.
    _connections: Any

    def process_conn(self, conn: Any) -> None:
        """Serve a connection with input; let a new one wait for its own."""
        is_new = conn.last_used is None
        open_connections = self._connections._num_connections  # noqa: SLF001
        if is_new and open_connections > self.max_idle_connections:
            conn.close()
        elif is_new:
            self._connections.put(conn)
        else:
            super().process_conn(conn)


class Console:
    """The running administration server of a node."""

    def __init__(
        self, application: Application, address: str, max_idle_connections: int
    ) -> None:
        """Start to listen.

        :param max_idle_connections: connections that may be open without a
            request.
        """
        host, port = split_host_port(address)
        self._server: Any = _ConsoleServer(
            (host, port),
            application.answer,
            numthreads=WORKER_THREADS,
            timeout=RECEIVE_TIMEOUT_S,
            accepted_queue_size=MAX_WAITING_REQUESTS,
            accepted_queue_timeout=0,
        )
        self._server.max_idle_connections = max_idle_connections
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='console', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()


def start_console(node: Node, loop: asyncio.AbstractEventLoop) -> Console:
    """Start the administration server of a node.

    :raises OSError: when the address cannot be bound.
    """
    return Console(
        create_application(node, loop),
        node.settings.admin_address,
        node.settings.connection_limits.operator_connections,
    )
