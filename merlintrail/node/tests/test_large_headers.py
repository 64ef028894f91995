"""Headers of calls between nodes at the limit for callers."""

import unittest
from typing import Final

from merlintrail.node._calls import build_call_headers
from merlintrail.node.serving._connections import PEER_LIMITS
from merlintrail.protocol import CallHeader, encode_header_record
from merlintrail.transport import HttpRequest, ServerLimits, encode_request
from merlintrail.transport._request_parser import RequestParser

_NAME: Final = 'n' * 250
_HEADER: Final = CallHeader(
    _NAME, _NAME, _NAME, 1, True, 5.0, 0, 1, 1, _NAME, _NAME
)


class LargeHeadersTest(unittest.TestCase):
    """What one node accepts from a caller the other one accepts from it."""

    def test_large_headers_of_a_caller_do_not_reach_the_other_node(
        self,
    ) -> None:
        """They arrive together with those that the first node adds."""
        size = ServerLimits().max_header_bytes - 100
        headers = build_call_headers(
            [('host', 'a'), ('x', 'y' * size)],
            encode_header_record(_HEADER),
            'key',
        )
        parser = RequestParser(PEER_LIMITS)
        payload = encode_request('GET', '/x', headers, b'')
        parsed = parser.feed(payload)
        self.assertEqual([type(request) for request in parsed], [HttpRequest])
