"""Asking a node what became of a call."""

import enum
from typing import NamedTuple


class InquiryState(enum.StrEnum):
    """What the asked node knows of the call."""

    FINISHED = 'finished'
    RUNNING = 'running'
    #: Never seen, and refused from now on should it arrive late.
    TOMBSTONE = 'tombstone'
    #: Another process than the one that the call was sent to.
    OTHER_INCARNATION = 'other-incarnation'


class Inquiry(NamedTuple):
    """Question about one call."""

    call_id: str
    incarnation: int


class InquiryAnswer(NamedTuple):
    """Answer to an inquiry; a finished call's answer comes along."""

    #: Value of :class:`InquiryState`.
    state: str
    status: int = 0
    #: Header pairs of the finished answer.
    headers: tuple[tuple[str, str], ...] = ()
    #: Body of the finished answer, in base 64.
    body: str = ''
