"""Operators see connections that ended before all was delivered."""

import unittest

from merlintrail.node.serving._connection_ends import ConnectionEnds
from merlintrail.transport import ConnectionEnd, EndCause, HttpRequest


class ConnectionEndsTest(unittest.TestCase):
    """Ends are counted by who caused them."""

    def test_cut_counts_as_left(self) -> None:
        """What this node ends is told from what callers do."""
        ends = ConnectionEnds('caller', lambda _: 'id')
        request = HttpRequest('GET', '/', {}, b'')
        for cause in EndCause:
            ends.record(ConnectionEnd(cause, (request,), 0))
        self.assertEqual((ends.cut, ends.left), (2, 3))
