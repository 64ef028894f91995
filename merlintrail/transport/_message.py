"""HTTP messages and their encoding."""

import http
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, TypeAlias

from merlintrail.transport._memory_budget import MemoryHold, RequestHold
from merlintrail.transport._memory_costs import estimate_head_bytes

HeaderList: TypeAlias = Sequence[tuple[str, str]]

_STATUS_LINES: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'
    for status in http.HTTPStatus
}


class HttpRequest(NamedTuple):
    """A completely received request.

    Header names are in lower case. The values of a repeated header are joined
    with commas.
    """

    method: str
    #: Path and query, without the scheme and host of an absolute target.
    target: str
    headers: Mapping[str, str]
    body: bytes
    #: IP address of the sender.
    remote_host: str = ''
    #: Whether the sender keeps the connection open after the answer.
    keeps_alive: bool = True
    #: Memory that it takes, if it is counted.
    hold: RequestHold | None = None


class HttpResponse(NamedTuple):
    """A complete answer, received or to be sent."""

    status: int
    #: Header names are in lower case.
    headers: HeaderList
    body: bytes
    #: Memory that the answer takes, if it is counted.
    hold: MemoryHold | None = None

    def estimate_bytes(self) -> int:
        """Estimate its memory; its head may cost more than its body."""
        head_bytes = sum(len(name) + len(text) for name, text in self.headers)
        return len(self.body) + estimate_head_bytes(
            len(self.headers), head_bytes
        )

    def find_header(self, name: str) -> str | None:
        """Return the first value of the header with a lower-case name."""
        for header_name, text in self.headers:
            if header_name == name:
                return text
        return None


def _encode_headers(headers: HeaderList) -> str:
    return ''.join(f'{name}: {text}\r\n' for name, text in headers)


def _encode_head(head: str) -> bytes:
    """Encode a head; lines beyond Latin-1, such as names, are in UTF-8.

    Received headers are decoded as Latin-1, which restores their bytes.
    """
    try:
        return head.encode('latin-1')
    except UnicodeEncodeError:
        return b'\r\n'.join(map(_encode_line, head.split('\r\n')))


def _encode_line(line: str) -> bytes:
    try:
        return line.encode('latin-1')
    except UnicodeEncodeError:
        return line.encode('utf-8', 'replace')


def encode_request(
    method: str,
    target: str,
    headers: HeaderList,
    body: bytes,
) -> bytes:
    """Encode a request and add its Content-Length."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: str, target: str, headers: HeaderList, length: int
) -> bytes:
    """Encode the head of a request.

    :param length: bytes of its body.
    """
    return _encode_head(
        f'{method} {target} HTTP/1.1\r\n{_encode_headers(headers)}'
        f'content-length: {length}\r\n\r\n'
    )


def encode_response(response: HttpResponse, *, with_body: bool = True) -> bytes:
    """Encode an answer and add its Content-Length.

    :param with_body: ``False`` for the answer to a HEAD request.
    """
    head = encode_response_head(response)
    return head + response.body if with_body else head


def encode_response_head(response: HttpResponse) -> bytes:
    """Encode the head of an answer with its Content-Length."""
    line = _STATUS_LINES.get(response.status)
    if line is None:
        line = f'HTTP/1.1 {response.status} Unknown\r\n'
    return _encode_head(
        f'{line}{_encode_headers(response.headers)}'
        f'content-length: {len(response.body)}\r\n\r\n'
    )
