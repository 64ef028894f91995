"""Failures of exchanges that did not return a complete answer."""

import enum
from typing import NamedTuple


class FailureStage(enum.Enum):
    """Stage at which an exchange failed."""

    #: Nothing was sent, so the peer cannot have received the request.
    CONNECT = 'connect'
    #: Nothing was sent, as this process may open no further connection. It
    #: tells nothing of the peer.
    ROOM = 'room'
    #: The request was sent, but no complete answer was received.
    ANSWER = 'answer'


class TransportFailure(NamedTuple):
    """Returned in place of an answer when an exchange failed."""

    stage: FailureStage
    #: Description of the failure, for logs.
    reason: str
