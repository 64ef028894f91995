"""Decoding and encoding of the headers of callers and backend servers."""

import abc
import enum
import random
import re
from typing import Final, NamedTuple

from merlintrail.protocol._headers import (
    CONTEXT_HEADER,
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    INTERNAL_PREFIX,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
    CallerHeaders,
    read_caller_headers,
)
from merlintrail.protocol._identity import create_id
from merlintrail.protocol._notice import BackendNotice, parse_rate_limit
from merlintrail.protocol._outcome import (
    Outcome,
    Refusal,
    build_refusal_response,
)
from merlintrail.transport import HeaderList, HttpRequest, HttpResponse

#: Status with which a backend server sheds a call.
_SHED_STATUS: Final = 503
#: Value with which a backend server states that it is leaving.
_LEAVING: Final = '1'
_LOAD_PATTERN: Final = re.compile('([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9})')
_MS_PER_S: Final = 1000


class CallMetadata(NamedTuple):
    """Properties of a call that are sent to the backend server."""

    #: Identifies the call in its nested calls.
    token: str
    #: Seconds until the answer is due.
    remaining_s: float
    #: Expected identity of the backend server, ``None`` if it announced none.
    identity: str | None
    #: Service of the instance at which the call originated.
    caller_service: str
    #: Customer of the request, empty without one.
    customer: str = ''


class AnswerClass(enum.Enum):
    """Classification of a backend server's answer to a call."""

    #: The answer completes the call.
    ANSWERED = 'answered'
    #: The answer reports that the backend server failed.
    FAILED = 'failed'
    #: The backend server shed the call without stating whether it ran.
    SHED = 'shed'
    #: The backend server confirmed that the call did not run.
    NOT_RUN = 'not-run'
    #: Another backend server has this address; the call did not run.
    MISDIRECTED = 'misdirected'
    #: The answer does not belong to the call.
    FOREIGN = 'foreign'


class BackendLoad(NamedTuple):
    """Load that a backend server reports."""

    running: int
    waiting: int
    slots: int


def parse_load(text: str | None) -> BackendLoad | None:
    """Parse a load of the form ``RUNNING,WAITING,SLOTS``.

    :returns: ``None`` for text of another form.
    """
    match = _LOAD_PATTERN.fullmatch(text or '')
    if match is None:
        return None
    running, waiting, slots = match.groups()
    return BackendLoad(int(running), int(waiting), int(slots))


class Dialect(abc.ABC):
    """Header names and formats of a contract with callers and backend servers.

    A dialect makes no decisions about calls: it decodes headers into typed
    values and encodes typed values into headers.
    """

    @abc.abstractmethod
    def read_caller(self, request: HttpRequest) -> CallerHeaders:
        """Decode the headers of a caller's request.

        Each invalid header is reported as a finding.
        """

    @abc.abstractmethod
    def list_forwarded_headers(
        self, request: HttpRequest, *, has_customers: bool
    ) -> HeaderList:
        """Return the request headers to forward to the backend server.

        :param has_customers: whether there are customers, so that API keys
            and what a caller says of its customer are not forwarded.
        """

    @abc.abstractmethod
    def create_token(self, headers: HeaderList, rng: random.Random) -> str:
        """Return the token that identifies a call at its backend server.

        :param headers: the headers sent to the backend server.
        :param rng: source of randomness for generated tokens.
        """

    @abc.abstractmethod
    def list_backend_headers(self, metadata: CallMetadata) -> HeaderList:
        """Encode the metadata of a call as headers for its backend server."""

    @abc.abstractmethod
    def classify_answer(self, token: str, answer: HttpResponse) -> AnswerClass:
        """Classify a backend server's answer to the call with that token."""

    @abc.abstractmethod
    def read_load(self, answer: HttpResponse) -> BackendLoad | None:
        """Decode the load that a backend server reports in an answer."""

    @abc.abstractmethod
    def read_notice(self, answer: HttpResponse) -> BackendNotice:
        """Decode what a backend server states of itself in an answer."""

    @abc.abstractmethod
    def build_answer(
        self, answer: HttpResponse, request_id: str
    ) -> HttpResponse:
        """Build the answer to a caller from a backend server's answer."""

    @abc.abstractmethod
    def build_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Build the answer that reports a refusal to a caller."""


class NativeDialect(Dialect):
    """The header contract of merlintrail, described in docs/INTERFACE.md."""

    def read_caller(self, request: HttpRequest) -> CallerHeaders:
        """Decode deadline, context and idempotency key."""
        return read_caller_headers(request.headers)

    def list_forwarded_headers(
        self, request: HttpRequest, *, has_customers: bool
    ) -> HeaderList:
        """Return all headers except hop-by-hop and ``merlintrail-`` ones."""
        return [
            (name, text)
            for name, text in request.headers.items()
            if _is_forwarded(name)
        ]

    def create_token(self, headers: HeaderList, rng: random.Random) -> str:
        """Return a random token that is hard to guess."""
        return create_id(rng)

    def list_backend_headers(self, metadata: CallMetadata) -> HeaderList:
        """Encode the token as context, the remaining time and the customer."""
        remaining_ms = max(1, int(metadata.remaining_s * _MS_PER_S))
        headers = [
            (CONTEXT_HEADER, metadata.token),
            (DEADLINE_HEADER, str(remaining_ms)),
        ]
        if metadata.customer:
            headers.append((CUSTOMER_HEADER, metadata.customer))
        return headers

    def classify_answer(self, token: str, answer: HttpResponse) -> AnswerClass:
        """Classify an answer by status, outcome header and echoed context.

        A statement that the call did not run counts only with the context of
        this call: it may be the copy of an earlier one.
        """
        echo = answer.find_header(CONTEXT_HEADER)
        if echo is not None and echo != token:
            return AnswerClass.FOREIGN
        if answer.status != _SHED_STATUS:
            return AnswerClass.ANSWERED
        is_not_run = answer.find_header(OUTCOME_HEADER) == Outcome.NOT_RUN
        if is_not_run and echo is not None:
            return AnswerClass.NOT_RUN
        return AnswerClass.SHED

    def read_load(self, answer: HttpResponse) -> BackendLoad | None:
        """Decode the load header."""
        return parse_load(answer.find_header(LOAD_HEADER))

    def read_notice(self, answer: HttpResponse) -> BackendNotice:
        """Decode the headers for the rate limit and for leaving."""
        return BackendNotice(
            parse_rate_limit(answer.find_header(RATE_LIMIT_HEADER)),
            answer.find_header(LEAVING_HEADER) == _LEAVING,
        )

    def build_answer(
        self, answer: HttpResponse, request_id: str
    ) -> HttpResponse:
        """Add the headers for the outcome and the request identifier."""
        headers = list_returned_headers(answer)
        headers.append((OUTCOME_HEADER, Outcome.COMPLETED.value))
        headers.append((REQUEST_ID_HEADER, request_id))
        return HttpResponse(answer.status, headers, answer.body, answer.hold)

    def build_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Report outcome and reason in headers and body."""
        return build_refusal_response(refusal, request_id)


def _is_forwarded(name: str) -> bool:
    return name not in HOP_BY_HOP_HEADERS and not name.startswith(
        INTERNAL_PREFIX
    )


def list_returned_headers(answer: HttpResponse) -> list[tuple[str, str]]:
    """Return the headers of an answer to forward to the caller."""
    return [
        (name, text) for name, text in answer.headers if _is_forwarded(name)
    ]
