"""Requests of operators and answers to them."""

from typing import NamedTuple

from merlintrail.protocol import encode_json


class AdminRequest(NamedTuple):
    """A request of an operator."""

    method: str
    path: str
    body: bytes
    #: Name of the operator, ``None`` when not recognised.
    operator: str | None
    #: Token of the browser's session, empty for a key.
    session: str


class AdminAnswer(NamedTuple):
    """An answer to an operator."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


def answer_json(status: int, document: object) -> AdminAnswer:
    """Build an answer of the administration API."""
    return AdminAnswer(status, encode_json(document))


def answer_page(status: int, page: str) -> AdminAnswer:
    """Build an answer with a page."""
    return AdminAnswer(status, page.encode(), 'text/html; charset=utf-8')


def redirect(place: str, *headers: tuple[str, str]) -> AdminAnswer:
    """Build an answer that leads to another page."""
    return AdminAnswer(303, b'', 'text/plain', (('Location', place), *headers))
