"""Any input yields complete requests, then at most one fault."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from merlintrail.transport import BadRequest, HttpRequest, ServerLimits
from merlintrail.transport._request_parser import RequestParser

_VALID_REQUEST = b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi'
_LIMITS = ServerLimits(max_header_bytes=300, max_body_bytes=100)
_FAULTS = (
    b'GET / HTTP/1.1\r\n\r\n',
    b'GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n',
    b'GET /\r\n\r\n',
    b'GET / HTTP/2.0\r\nhost: a\r\n\r\n',
    b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 400 + b'\r\n\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1, 2\r\n\r\nhi',
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n'
    b'transfer-encoding: chunked\r\n\r\n',
    b'GET / HTTP/1.1\r\nhost : a\r\n\r\n',
    b'GET / HTTP/1.1\r\n folded: a\r\n\r\n',
    b'GET http:///x HTTP/1.1\r\nhost: a\r\n\r\n',
    b'GET http://u:p@b/x HTTP/1.1\r\nhost: a\r\n\r\n',
    b'GET ftp://b/x HTTP/1.1\r\nhost: a\r\n\r\n',
    b'GET * HTTP/1.1\r\nhost: a\r\n\r\n',
    b'GET x/y HTTP/1.1\r\nhost: a\r\n\r\n',
)
#: Target as sent, and the parsed path and host.
_TARGETS = (
    ('/x?y=1', '/x?y=1', 'a'),
    ('http://b.example/x?y=1', '/x?y=1', 'b.example'),
    ('HTTP://b.example:80/x', '/x', 'b.example:80'),
    ('https://b.example', '/', 'b.example'),
    ('http://b.example?y=1', '/?y=1', 'b.example'),
    ('http://b.example?y=/z', '/?y=/z', 'b.example'),
)


class RequestParserTest(unittest.TestCase):
    """Parsing of the bytes of one connection."""

    def test_each_fault_is_reported_once(self) -> None:
        """After a valid request, whatever the sizes of the chunks."""
        for payload in _FAULTS:
            for size in (1, 7, 10000):
                with self.subTest(f'{payload!r} by {size}'):
                    parsed = self.parse(_VALID_REQUEST + payload, size)
                    self.assertEqual(len(parsed), 2, parsed)
                    self.assertIsInstance(parsed[0], HttpRequest)
                    self.assertIsInstance(parsed[1], BadRequest)

    def test_forms_of_targets(self) -> None:
        """A host in the target takes precedence over the Host header."""
        for sent, target, host in _TARGETS:
            with self.subTest(sent):
                payload = f'GET {sent} HTTP/1.1\r\nhost: a\r\n\r\n'
                request = self.parse(payload.encode(), 10000)[0]
                assert isinstance(request, HttpRequest), request
                self.assertEqual(request.target, target)
                self.assertEqual(request.headers['host'], host)

    def parse(
        self, payload: bytes, size: int
    ) -> list[HttpRequest | BadRequest]:
        """Feed chunks of a payload until the first fault."""
        parser = RequestParser(_LIMITS)
        parsed: list[HttpRequest | BadRequest] = []
        for start in range(0, len(payload), size):
            parsed.extend(parser.feed(payload[start : start + size]))
            if parsed and isinstance(parsed[-1], BadRequest):
                break
        return parsed

    @given(st.binary(max_size=400), st.integers(1, 50))
    def test_any_bytes_after_a_valid_request(
        self, payload: bytes, size: int
    ) -> None:
        """The valid request is complete, and nothing follows a fault."""
        parsed = self.parse(_VALID_REQUEST + payload, size)
        first = parsed[0]
        assert isinstance(first, HttpRequest)
        self.assertEqual(first.body, b'hi')
        for request in parsed[1:-1]:
            self.assertIsInstance(request, HttpRequest)
