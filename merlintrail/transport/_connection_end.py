"""What the end of an accepted connection leaves undelivered."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._message import HttpRequest


class EndCause(enum.StrEnum):
    """Who ended a connection."""

    #: The caller closed its end.
    CALLER = 'caller'
    #: The connection was reset, or its caller became unreachable.
    RESET = 'reset'
    #: The caller took no byte of an answer for too long.
    STALLED = 'stalled'
    #: This process closed it to make room for others.
    DISPLACED = 'displaced'
    #: This process closed it.
    NODE = 'node'
    #: This process ends.
    PROCESS_END = 'process-end'


class ConnectionEnd(NamedTuple):
    """End of a connection on which something was left undelivered."""

    cause: EndCause
    #: Received requests without an answer.
    unanswered: Sequence[HttpRequest]
    #: Bytes of answers that the socket had not taken.
    unsent_bytes: int
    #: IP address of the caller.
    remote_host: str = ''


class RefusedRequest(NamedTuple):
    """A request that a server refused without passing it on."""

    bad_request: BadRequest
    #: IP address of the caller.
    remote_host: str
    #: Memory in bytes that its connection took then.
    connection_bytes: int
    #: The request, ``None`` if it was not complete.
    request: HttpRequest | None = None


class DisplacedConnections(NamedTuple):
    """Connections of one host that were closed to make room for others."""

    #: IP address of the callers.
    remote_host: str
    connections: int
    #: Memory in bytes that they took together.
    connection_bytes: int


class EndingConnection(NamedTuple):
    """A connection whose last answer is written, and which is still open."""

    #: Seconds since then.
    ending_s: float
    #: Bytes that the caller's host has not acknowledged.
    untaken_bytes: int
