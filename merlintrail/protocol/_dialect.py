"""What callers and backend servers say in their headers, and are told."""

import abc
import enum
import random
import re
from typing import Final, NamedTuple

from merlintrail.protocol._headers import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    INTERNAL_PREFIX,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallerHeaders,
    read_caller_headers,
)
from merlintrail.protocol._identity import create_id
from merlintrail.protocol._outcome import (
    Outcome,
    Refusal,
    build_refusal_response,
)
from merlintrail.transport import HeaderList, HttpRequest, HttpResponse

_SHED_STATUS: Final = 503
_LOAD: Final = re.compile('([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9})')
_MS_PER_S: Final = 1000


class CallMetadata(NamedTuple):
    """What a backend server is told of a call."""

    #: Stands for the call in the calls that the backend server makes.
    token: str
    #: Seconds until the answer is due.
    remaining_s: float
    #: Identity that the backend server must have, if it has told one.
    identity: str | None
    #: Service of the instance at which the call began.
    caller_service: str


class AnswerClass(enum.Enum):
    """What an answer of a backend server is."""

    #: Its answer to the call.
    ANSWERED = 'answered'
    #: Its answer, which says that the backend server failed.
    FAILED = 'failed'
    #: It had no room; nothing says whether the call ran.
    SHED = 'shed'
    #: It proved that the call did not run.
    NOT_RUN = 'not-run'
    #: Another backend server has the address; the call did not run.
    MISDIRECTED = 'misdirected'
    #: An answer to another call.
    FOREIGN = 'foreign'


class BackendLoad(NamedTuple):
    """What a backend server says of its load."""

    running: int
    waiting: int
    slots: int


def parse_load(text: str | None) -> BackendLoad | None:
    """Read ``RUNNING,WAITING,SLOTS``.

    :returns: ``None`` for another form.
    """
    match = _LOAD.fullmatch(text or '')
    if match is None:
        return None
    running, waiting, slots = match.groups()
    return BackendLoad(int(running), int(waiting), int(slots))


class Dialect(abc.ABC):
    """Names and shapes of one contract with callers and backend servers.

    A dialect decides nothing: it decodes headers into typed values and
    encodes typed values into headers.
    """

    @abc.abstractmethod
    def read_caller(self, request: HttpRequest) -> CallerHeaders:
        """Read what a caller says; every fault becomes a finding."""

    @abc.abstractmethod
    def list_forwarded_headers(self, request: HttpRequest) -> HeaderList:
        """Return the headers of a request that go on to the backend server."""

    @abc.abstractmethod
    def create_token(self, headers: HeaderList, rng: random.Random) -> str:
        """Return the token that stands for a call at its backend server.

        :param headers: the headers that go to the backend server.
        """

    @abc.abstractmethod
    def list_backend_headers(self, metadata: CallMetadata) -> HeaderList:
        """Return the headers that tell a backend server the terms."""

    @abc.abstractmethod
    def classify_answer(self, token: str, answer: HttpResponse) -> AnswerClass:
        """Tell what a backend server's answer to a call is."""

    @abc.abstractmethod
    def read_load(self, answer: HttpResponse) -> BackendLoad | None:
        """Read the load that an answer tells."""

    @abc.abstractmethod
    def build_answer(
        self, answer: HttpResponse, request_id: str
    ) -> HttpResponse:
        """Build the answer to a caller from a backend server's."""

    @abc.abstractmethod
    def build_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Build the answer that tells a caller of a refusal."""


class NativeDialect(Dialect):
    """The contract of docs/INTERFACE.md."""

    def read_caller(self, request: HttpRequest) -> CallerHeaders:
        """Read the headers of the contract."""
        return read_caller_headers(request.headers)

    def list_forwarded_headers(self, request: HttpRequest) -> HeaderList:
        """Return all headers but those of the hop and our own."""
        return [
            (name, text)
            for name, text in request.headers.items()
            if _is_forwarded(name)
        ]

    def create_token(self, headers: HeaderList, rng: random.Random) -> str:
        """Return a random token that nobody can guess."""
        return create_id(rng)

    def list_backend_headers(self, metadata: CallMetadata) -> HeaderList:
        """Return context and deadline."""
        remaining_ms = max(1, int(metadata.remaining_s * _MS_PER_S))
        return (
            (CONTEXT_HEADER, metadata.token),
            (DEADLINE_HEADER, str(remaining_ms)),
        )

    def classify_answer(self, token: str, answer: HttpResponse) -> AnswerClass:
        """Tell a shed call by its status, the proof by the outcome."""
        if answer.status != _SHED_STATUS:
            return AnswerClass.ANSWERED
        if answer.find_header(OUTCOME_HEADER) == Outcome.NOT_RUN:
            return AnswerClass.NOT_RUN
        return AnswerClass.SHED

    def read_load(self, answer: HttpResponse) -> BackendLoad | None:
        """Read the load header."""
        return parse_load(answer.find_header(LOAD_HEADER))

    def build_answer(
        self, answer: HttpResponse, request_id: str
    ) -> HttpResponse:
        """Add the outcome and the identifier of the request."""
        headers = list_returned_headers(answer)
        headers.append((OUTCOME_HEADER, Outcome.COMPLETED.value))
        headers.append((REQUEST_ID_HEADER, request_id))
        return HttpResponse(answer.status, headers, answer.body)

    def build_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Tell outcome and reason in headers and body."""
        return build_refusal_response(refusal, request_id)


def _is_forwarded(name: str) -> bool:
    return name not in HOP_BY_HOP_HEADERS and not name.startswith(
        INTERNAL_PREFIX
    )


def list_returned_headers(answer: HttpResponse) -> list[tuple[str, str]]:
    """Return the headers of an answer that go back to the caller."""
    return [
        (name, text) for name, text in answer.headers if _is_forwarded(name)
    ]
