"""The cheroot HTTP server of the console, on its own threads."""

import asyncio
import threading
from typing import Any, Final

from cheroot import wsgi

from merlintrail.console._application import Application, create_application
from merlintrail.node import Node, split_host_port

#: Threads that answer requests.
WORKER_THREADS: Final = 4


class Console:
    """The running administration server of a node."""

    def __init__(self, application: Application, address: str) -> None:
        host, port = split_host_port(address)
        self._server: Any = wsgi.Server(
            (host, port), application.answer, numthreads=WORKER_THREADS
        )
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
    return Console(create_application(node, loop), node.settings.admin_address)
