"""The servers of a node and what their connections still have to send."""

from typing import Final, Protocol

from merlintrail.node.serving._connection_ends import ConnectionEnds
from merlintrail.observability import describe_error, log_decision
from merlintrail.protocol import (
    CALL_HEADER,
    DecodeFailure,
    Outcome,
    Reason,
    decode_call_header,
)
from merlintrail.state import CallerLimits
from merlintrail.transport import (
    EndingConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
    ServerMemory,
    ServerReports,
    build_failure,
)

#: Bytes that nodes may add to the headers of a call.
_MAX_ADDED_HEADER_BYTES: Final = 49152
_MS_PER_S: Final = 1000


def build_peer_limits(limits: ServerLimits) -> ServerLimits:
    """Build the limits of the server for other nodes.

    Whatever callers may send gets through with the headers that nodes add.

    :param limits: those of the server for callers.
    """
    return ServerLimits(
        max_header_bytes=limits.max_header_bytes + _MAX_ADDED_HEADER_BYTES,
        max_body_bytes=limits.max_body_bytes,
    )


#: Limits of the server for other nodes before there is a configuration.
PEER_LIMITS: Final = build_peer_limits(ServerLimits())


class CallerAnswers(Protocol):
    """Answers to callers whose requests are not served to their end."""

    def read_request_id(self, request: HttpRequest) -> str | None:
        """Return the identifier that the caller gave to a request."""

    def build_last_answer(self, request: HttpRequest) -> HttpResponse:
        """Build the answer to a request that does not end before the process."""

    def build_failure(
        self, request: HttpRequest, error: BaseException
    ) -> HttpResponse:
        """Build the answer to a request that an unexpected error ended."""


class NodeServers:
    """Servers for callers, the backend server and other nodes."""

    def __init__(
        self, caller_answers: CallerAnswers, memory: ServerMemory
    ) -> None:
        """Initialize without servers.

        :param caller_answers: answers to callers whose requests are not
            served to their end.
        :param memory: memory of what all connections hold.
        """
        self._caller_answers = caller_answers
        #: Servers for callers and the backend server.
        self.callers: list[HttpServer] = []
        #: Servers for other nodes.
        self.peers: list[HttpServer] = []
        #: Memory of the requests and answers on all connections.
        self.memory = memory
        self.caller_ends = ConnectionEnds(
            'caller', caller_answers.read_request_id
        )
        self.peer_ends = ConnectionEnds('node', _read_call_request_id)

    def build_caller_reports(self) -> ServerReports:
        """Build what the server for callers reports."""
        return ServerReports(
            self._caller_answers.build_failure,
            self.caller_ends.record_refusal,
            self.caller_ends.record,
            self.caller_ends.record_displaced,
        )

    def build_peer_reports(self) -> ServerReports:
        """Build what the server for other nodes reports."""
        return ServerReports(
            _answer_peer_failure,
            self.peer_ends.record_refusal,
            self.peer_ends.record,
            self.peer_ends.record_displaced,
        )

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the limits of a configuration to all connections."""
        caller_limits = ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.receive_timeout_ms / _MS_PER_S,
            limits.idle_timeout_ms / _MS_PER_S,
        )
        for server in self.callers:
            server.limits = caller_limits
        for server in self.peers:
            server.limits = build_peer_limits(caller_limits)

    def count_open(self) -> int:
        """Count the open connections."""
        return sum(len(server.connections) for server in self._list_all())

    def count_displaced(self) -> int:
        """Count the connections that were closed to make room for others."""
        return sum(server.displaced_connections for server in self._list_all())

    def count_busy(self) -> int:
        """Count the connections with an unfinished request or answer."""
        return sum(server.count_busy() for server in self._list_all())

    def list_ending(self) -> list[EndingConnection]:
        """List the connections whose last answer is written."""
        return [
            connection
            for server in self._list_all()
            for connection in server.list_ending()
        ]

    def close_after_answers(self) -> None:
        """Close each caller's connection after its next answer."""
        for server in self.callers:
            server.is_closing = True

    def answer_unfinished(self) -> None:
        """Answer the callers that still wait, and close their connections."""
        for server in self.callers:
            server.answer_unfinished(self._caller_answers.build_last_answer)

    def refuse_incomplete(self) -> None:
        """Refuse the requests of callers that have not arrived whole."""
        for server in self.callers:
            server.refuse_incomplete(Reason.DRAINING.value)

    def close(self) -> None:
        """Close all servers and their connections."""
        for server in self._list_all():
            server.close()

    def _list_all(self) -> list[HttpServer]:
        return [*self.callers, *self.peers]


def _answer_peer_failure(
    request: HttpRequest, error: BaseException
) -> HttpResponse:
    """Answer a call of another node, which takes it for one that may have run."""
    log_decision(
        'refuse',
        request_id=_read_call_request_id(request),
        reason=Reason.INTERNAL_ERROR.value,
        outcome=Outcome.MAY_HAVE_RUN.value,
        detail=describe_error(error),
    )
    return build_failure(request, error)


def _read_call_request_id(request: HttpRequest) -> str | None:
    """Return the identifier of the request that a node's call belongs to."""
    header = decode_call_header(request.headers.get(CALL_HEADER, ''))
    return None if isinstance(header, DecodeFailure) else header.request_id
