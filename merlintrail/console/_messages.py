"""Requests from operators and the answers to them."""

from typing import NamedTuple

from merlintrail.protocol import encode_json


class AdminRequest(NamedTuple):
    """A request to the console or the administration API."""

    method: str
    path: str
    body: bytes
    #: Name of the operator, ``None`` if not authenticated.
    operator: str | None
    #: Token of the browser's session, empty without a session cookie.
    session_token: str


class AdminAnswer(NamedTuple):
    """The answer to a request."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


def answer_json(status: int, document: object) -> AdminAnswer:
    """Build an answer with a JSON body."""
    return AdminAnswer(status, encode_json(document))


def answer_page(status: int, page: str) -> AdminAnswer:
    """Build an answer with an HTML page."""
    return AdminAnswer(status, page.encode(), 'text/html; charset=utf-8')


def redirect(location: str, *headers: tuple[str, str]) -> AdminAnswer:
    """Build an answer that redirects a browser to another page."""
    return AdminAnswer(
        303, b'', 'text/plain', (('Location', location), *headers)
    )
