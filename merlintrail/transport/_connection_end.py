"""What the end of an accepted connection leaves undelivered."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from merlintrail.transport._message import HttpRequest


class EndCause(enum.StrEnum):
    """Who ended a connection."""

    #: The caller closed its end.
    CALLER = 'caller'
    #: The connection was reset, or its caller became unreachable.
    RESET = 'reset'
    #: The caller took no byte of an answer for too long.
    STALLED = 'stalled'
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


class EndingConnection(NamedTuple):
    """A connection whose last answer is written, and which is still open."""

    #: Seconds since then.
    ending_s: float
    #: Bytes that the caller's host has not acknowledged.
    untaken_bytes: int
