"""HTTP messages as values, and their encoding."""

import http
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, TypeAlias

HeaderList: TypeAlias = Sequence[tuple[str, str]]

_STATUS_LINES: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'
    for status in http.HTTPStatus
}


class HttpRequest(NamedTuple):
    """A whole request as received.

    Header names are lower case; a repeated header is joined with a comma.
    """

    method: str
    #: Path and query as sent.
    target: str
    headers: Mapping[str, str]
    body: bytes
    #: Address of the sender.
    remote_host: str = ''


class HttpResponse(NamedTuple):
    """A whole answer, received or to be sent."""

    status: int
    #: Names are lower case.
    headers: HeaderList
    body: bytes

    def find_header(self, name: str) -> str | None:
        """Return the first header of that lower-case name."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


def _encode_headers(headers: HeaderList) -> str:
    return ''.join(f'{name}: {text}\r\n' for name, text in headers)


def encode_request(
    method: str,
    target: str,
    headers: HeaderList,
    body: bytes,
) -> bytes:
    """Encode a request with its Content-Length."""
    head = (
        f'{method} {target} HTTP/1.1\r\n{_encode_headers(headers)}'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode('latin-1') + body


def encode_response(response: HttpResponse, *, with_body: bool = True) -> bytes:
    """Encode an answer with its Content-Length.

    :param with_body: False for the answer to a HEAD request.
    """
    line = _STATUS_LINES.get(response.status)
    if line is None:
        line = f'HTTP/1.1 {response.status} Unknown\r\n'
    head = (
        f'{line}{_encode_headers(response.headers)}'
        f'content-length: {len(response.body)}\r\n\r\n'
    ).encode('latin-1')
    return head + response.body if with_body else head
