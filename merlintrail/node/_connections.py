"""The servers of a node and what their connections still have to send."""

from collections.abc import Callable
from typing import Final

from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
)

#: Bytes that nodes may add to the headers of a call.
_MAX_ADDED_HEADER_BYTES: Final = 49152
#: Limits of the server for other nodes: headers of any size that callers may
#: send get through with those that nodes add.
PEER_LIMITS: Final = ServerLimits(
    max_header_bytes=ServerLimits().max_header_bytes + _MAX_ADDED_HEADER_BYTES
)


class NodeServers:
    """Servers for callers, the backend server and other nodes."""

    def __init__(
        self, build_last_answer: Callable[[HttpRequest], HttpResponse]
    ) -> None:
        """Initialize without servers.

        :param build_last_answer: builds the answer to a caller whose request
            has not ended when the node does.
        """
        self._build_last_answer = build_last_answer
        #: Servers for callers and the backend server.
        self.callers: list[HttpServer] = []
        #: Servers for other nodes.
        self.peers: list[HttpServer] = []

    def count_busy(self) -> int:
        """Count the connections with an unfinished request or answer."""
        return sum(server.count_busy() for server in self._list_all())

    def close_after_answers(self) -> None:
        """Close each caller's connection after its next answer."""
        for server in self.callers:
            server.is_closing = True

    def answer_unfinished(self) -> None:
        """Answer the callers that still wait, and close their connections."""
        for server in self.callers:
            server.answer_unfinished(self._build_last_answer)

    def close(self) -> None:
        """Close all servers and their connections."""
        for server in self._list_all():
            server.close()

    def _list_all(self) -> list[HttpServer]:
        return [*self.callers, *self.peers]
