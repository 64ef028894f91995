"""What the connections of one server have in common."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._connection_end import ConnectionEnd
from merlintrail.transport._message import HttpRequest, HttpResponse
from merlintrail.transport._own_answers import build_failure
from merlintrail.transport._request_parser import ServerLimits
from merlintrail.transport._server_memory import ServerMemory

if TYPE_CHECKING:
    from merlintrail.transport._server_connection import ServerConnection

RequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


def _ignore_bad_request(bad_request: BadRequest) -> None:
    """Do not report an invalid request."""


def _ignore_end(end: ConnectionEnd) -> None:
    """Do not report the end of a connection."""


class ServerReports(NamedTuple):
    """What a server reports to its owner."""

    #: Called for each handler that failed; builds the answer to its request.
    failure: Callable[[HttpRequest, BaseException], HttpResponse] = (
        build_failure
    )

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
        memory: ServerMemory,
    ) -> None:
        self.handler = handler
        #: Limits on requests, which may be replaced.
        self.limits = limits
        #: Room for the bodies of all requests.
        self.budget = memory.bodies
        #: What callers have not taken of their answers.
        self.untaken = memory.answers
        self.reports = reports
        #: The open connections.
        self.connections: 'set[ServerConnection]' = set()
        #: Whether each connection is closed after its next answer.
        self.is_closing = False
