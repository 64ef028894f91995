"""Inquiries, which ask a node for the state of a call."""

import enum
from typing import NamedTuple


class InquiryState(enum.StrEnum):
    """State of a call at the node that receives the inquiry."""

    FINISHED = 'finished'
    RUNNING = 'running'
    #: The call has not arrived, and is refused if it arrives later.
    TOMBSTONE = 'tombstone'
    #: The call may have arrived and been forgotten, or not.
    UNKNOWN = 'unknown'
    #: The process that answers is not the one that the call was sent to.
    OTHER_INCARNATION = 'other-incarnation'


class Inquiry(NamedTuple):
    """A query for the state of one call."""

    call_id: str
    incarnation: int


class InquiryAnswer(NamedTuple):
    """Answer to an inquiry, with the answer to the call if it finished."""

    #: Value of :class:`InquiryState`.
    state: str
    #: HTTP status of the call's answer, 0 if no answer is available.
    status: int = 0
    #: Header pairs of the call's answer.
    headers: tuple[tuple[str, str], ...] = ()
    #: Body of the call's answer, encoded as Base64.
    body: str = ''
