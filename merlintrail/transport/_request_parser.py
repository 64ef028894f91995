"""Parsing of requests, with the checks of RFC 9112 and size limits."""

import sys
from collections.abc import Iterator
from typing import Final, NamedTuple

import httptools

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._body import BodyBuffer
from merlintrail.transport._framing import FramingAllowance
from merlintrail.transport._header_lines import HeaderLines
from merlintrail.transport._memory_budget import MemoryAccount, MemoryBudget
from merlintrail.transport._message import HttpRequest
from merlintrail.transport._request_room import RequestRoom
from merlintrail.transport._request_target import parse_target

_VERSIONS: Final = frozenset(('1.0', '1.1'))
#: Bytes of a header line besides name and value: colon, space and CRLF.
_HEADER_OVERHEAD_BYTES: Final = 4
#: End of a head, and of a body in chunks.
_BLANK_LINE: Final = b'\r\n\r\n'
#: Least size in bytes of the slices in which received bytes are parsed, unless
#: fewer are left. Few requests fit into it.
_MIN_SLICE_BYTES: Final = 64
#: Reasons of refusals for want of memory.
NO_ROOM: Final = 'no-room'
NO_ROOM_FOR_BODY: Final = 'no-room-for-body'


class ServerLimits(NamedTuple):
    """Size and time limits of a server connection."""

    #: Maximum size of request line and headers together, in bytes.
    max_header_bytes: int = 16384
    #: Maximum size of a request body, in bytes.
    max_body_bytes: int = 1048576
    #: Seconds to receive the headers of a request, from its first byte on.
    receive_timeout_s: float = 10.0
    #: Seconds for which an idle connection is kept open.
    idle_timeout_s: float = 75.0
    #: Seconds to receive a body after that, or the next part of a large one.
    body_timeout_s: float = 10.0
    #: Seconds in which a caller has to take some bytes of an answer.
    send_timeout_s: float = 30.0


class RequestParser:
    """Parses the requests of one connection.

    Parsing ends at the first fault, since it is uncertain where the next
    request after a malformed one begins.
    """

    def __init__(
        self,
        limits: ServerLimits,
        budget: MemoryBudget | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """Initialize the parser.

        :param budget: room for requests; unlimited by default.
        :param account: takes that room; one of its own by default.
        """
        #: Limits of the request that is being received.
        self.limits = limits
        #: Memory of the request that is being received.
        self._room = RequestRoom(budget or MemoryBudget(sys.maxsize), account)
        self._parser = httptools.HttpRequestParser(self)
        self._parsed: list[HttpRequest | BadRequest] = []
        self._fault: BadRequest | None = None
        self._in_headers = True
        self._lines = HeaderLines()
        self._body = BodyBuffer()
        #: Announced length of the body, ``None`` if it has none.
        self._length: int | None = None
        #: Allowance for what follows the headers: chunk framing and trailers.
        self._framing = FramingAllowance(limits.max_header_bytes)
        #: Body bytes parsed from the bytes received last.
        self._parsed_body_bytes = 0
        #: Whether a request began in the bytes received last.
        self._has_begun_message = False
        #: Bytes received since the last complete request, compared with the
        #: limit while headers are incomplete.
        self._fed_bytes = 0
        #: IP address of the sender, set on each request.
        self.remote_host = ''
        #: Whether a request has been received in part.
        self.is_receiving = False
        #: Whether the sender awaits ``100 Continue`` before it sends the body.
        self.is_expecting_continue = False
        self._reset_message()

    def feed(self, chunk: bytes) -> list[HttpRequest | BadRequest]:
        """Parse received bytes.

        :returns: the requests that are complete, followed by the fault if
            there is one.
        """
        self._fed_bytes += len(chunk)
        self._parsed_body_bytes = 0
        self._has_begun_message = False
        was_in_body = self.is_receiving and not self._in_headers
        self._feed_parser(chunk)
        self._check_partial_headers()
        if was_in_body and not self._has_begun_message:
            self._check_framing(len(chunk))
        parsed = self._parsed
        self._parsed = []
        if self._fault is not None:
            self.discard()
            parsed.append(self._fault)
        elif self.is_receiving and self._in_headers:
            self._room.take_partial_head(self._fed_bytes)
        return parsed

    def find_end(self, received: bytes, start: int) -> int:
        """Return the end of the bytes to be parsed next.

        Few requests end in them, so that what follows can be kept back.

        :param start: where those bytes begin.
        """
        if self._length is not None and self.is_receiving:
            end = start + self._length - self._body.size
            return min(len(received), max(end, start + 1))
        found = received.find(_BLANK_LINE, start + _MIN_SLICE_BYTES)
        return len(received) if found < 0 else found + len(_BLANK_LINE)

    def discard(self) -> None:
        """Give up the request that is being received."""
        self.is_receiving = False
        self._reset_message()

    def close(self) -> None:
        """Free the parser, which refers to this object, and what it holds.

        Nothing may be fed any more.
        """
        self._reset_message()
        del self._parser

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.is_receiving = True
        self._has_begun_message = True
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url
        self._header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Store a header; a trailer, which follows the body, is ignored."""
        if not self._in_headers:
            return
        self._header_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        self._lines.append(name, value)

    def on_headers_complete(self) -> None:
        """Check version, host and sizes, and detect ``100-continue``."""
        self._in_headers = False
        self._framing.reset()
        if self._header_bytes > self.limits.max_header_bytes:
            self._record_fault(431, 'headers-too-large')
            return
        if not self._room.take_head(self._lines, self._target):
            self._record_fault(503, NO_ROOM)
            return
        self._store_headers()
        for fault in self._list_header_faults():
            self._record_fault(fault.status, fault.reason)
        length = self._read_length()
        if 'content-length' in self._headers:
            self._length = length
        if self._fault is None and not self._room.announce_body(length):
            self._record_fault(503, NO_ROOM_FOR_BODY)
        if self._headers.get('expect', '').lower() == '100-continue':
            self.is_expecting_continue = self._fault is None

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, and check its size."""
        if self._fault is not None:
            return
        self._body.append(body)
        self._parsed_body_bytes += len(body)
        size = self._body.size
        if size > self.limits.max_body_bytes:
            self._record_fault(413, 'body-too-large')
        elif not self._room.grow_body(size):
            self._record_fault(503, NO_ROOM_FOR_BODY)

    def on_message_complete(self) -> None:
        """Append the complete request to the parsed ones."""
        self.is_receiving = False
        self.is_expecting_continue = False
        self._fed_bytes = 0
        if self._fault is not None:
            return
        method = self._parser.get_method().decode('latin-1')
        target = parse_target(self._target.decode('latin-1'), method)
        if isinstance(target, BadRequest):
            self._record_fault(target.status, target.reason)
            return
        if target.host is not None:
            # RFC 9112, section 3.2.2: the host of an absolute target takes
            # precedence over the Host header.
            self._headers['host'] = target.host
        self._parsed.append(
            HttpRequest(
                method,
                target.path,
                self._headers,
                self._body.take(),
                self.remote_host,
                # What follows CONNECT is no request.
                self._parser.should_keep_alive() and method != 'CONNECT',
                self._room.hand_over(),
            )
        )
        self._length = None

    @property
    def received_body_bytes(self) -> int:
        """Bytes received of the body that is not complete yet."""
        return self._body.size

    @property
    def is_in_headers(self) -> bool:
        """Whether the headers of a request are not complete yet."""
        return self._in_headers

    def _read_length(self) -> int:
        return int(self._headers.get('content-length', '0'))

    def _store_headers(self) -> None:
        """Store the headers; join the values of a repeated one with commas."""
        repeated: dict[str, list[str]] = {}
        for name, text in self._lines.decode():
            if name in self._headers:
                texts = repeated.setdefault(name, [self._headers[name]])
                texts.append(text)
            else:
                self._headers[name] = text
        if 'host' in repeated:
            self._record_fault(400, 'several-hosts')
        for repeated_name, texts in repeated.items():
            self._headers[repeated_name] = ', '.join(texts)
        self._lines.clear()

    def _feed_parser(self, chunk: bytes) -> None:
        """Parse bytes; an upgrade that a request asks for is ignored.

        One with a body is refused when its headers are complete.
        """
        remaining: bytes | None = chunk
        while remaining is not None:
            try:
                self._parser.feed_data(remaining)
            except httptools.HttpParserUpgrade as upgrade:
                remaining = self._ignore_upgrade(remaining, upgrade.args[0])
                continue
            except httptools.HttpParserError:
                self._record_fault(400, 'malformed-http')
            remaining = None

    def _ignore_upgrade(self, chunk: bytes, end: int) -> bytes | None:
        """Return the bytes behind a request that asks for an upgrade.

        :param end: number of bytes up to the end of the request.
        :returns: ``None`` if no request may follow.
        """
        method = self._parser.get_method()
        self._parser = httptools.HttpRequestParser(self)
        return None if method == b'CONNECT' else chunk[end:] or None

    def _check_partial_headers(self) -> None:
        """Reject headers that are too large before they are complete."""
        is_partial = self.is_receiving and self._in_headers
        if is_partial and self._fed_bytes > self.limits.max_header_bytes:
            self._record_fault(431, 'headers-too-large')

    def _check_framing(self, received_bytes: int) -> None:
        """Reject chunk framing and trailers without an end."""
        is_within_limit = self._framing.spend(
            received_bytes, self._parsed_body_bytes
        )
        if self.is_receiving and not is_within_limit:
            self._record_fault(431, 'framing-too-large')

    def _list_header_faults(self) -> Iterator[BadRequest]:
        limits = self.limits
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            yield BadRequest(400, 'version-not-supported')
        if 'upgrade' in self._headers and self._has_body():
            # The parser takes such a body for the other protocol.
            yield BadRequest(400, 'upgrade-not-supported')
        if self._read_length() > limits.max_body_bytes:
            yield BadRequest(413, 'body-too-large')
        if 'host' not in self._headers and version == '1.1':
            yield BadRequest(400, 'host-missing')

    def _has_body(self) -> bool:
        length = self._headers.get('content-length', '0')
        return length != '0' or 'transfer-encoding' in self._headers

    def _record_fault(self, status: int, reason: str) -> None:
        if self._fault is None:
            self._fault = BadRequest(status, reason)

    def _reset_message(self) -> None:
        self._room.give_back()
        self._length = None
        self._lines.clear()
        self._target = b''
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body.clear()
        self._in_headers = True
