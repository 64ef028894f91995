"""Requests of a soak, as their callers saw them."""

import enum


class RequestEnd(enum.Enum):
    """How a request ended for its caller."""

    #: The whole answer arrived.
    ANSWERED = 'answered'
    #: The connection ended within the answer.
    CUT = 'cut within its answer'
    #: The connection ended before the answer began.
    UNANSWERED = 'ended without an answer'
    #: The connection ended within an answer before it.
    BEHIND = 'ended behind a cut answer'
    #: No answer arrived in time.
    TIMED_OUT = 'timed out'
    #: The connection ended before the request was sent whole.
    UNSENT = 'not sent whole'


class SoakRequest:
    """A request and what became of it."""

    def __init__(
        self, label: str, entry: str, caller: str, number: int, sent_at: float
    ) -> None:
        #: Name under which the server that runs it logs it.
        self.label = label
        #: Instance of the node to which it was sent.
        self.entry = entry
        #: Kind of its caller.
        self.caller = caller
        #: Number of the request on its connection, from one on.
        self.number = number
        #: Event loop times at which its last byte was sent and it ended.
        self.sent_at = sent_at
        self.ended_at = sent_at
        #: ``None`` until it ends.
        self.end: RequestEnd | None = None
        #: Status of the answer, 0 without one.
        self.status = 0
        #: Whether the answer says that it has not run.
        self.is_refused = False

    def describe(self) -> str:
        """Describe the request for a finding."""
        end = '' if self.end is None else self.end.value
        return (
            f'{self.label} of a {self.caller} caller at {self.entry} (number '
            f'{self.number}, status {self.status}) {end} '
            f'{self.ended_at - self.sent_at:.2f} s after it was sent'
        )
