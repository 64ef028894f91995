"""Where requests failed, and where their retries go."""

import unittest

from merlintrail.state import FailedRequests
from merlintrail.state.caller_retries._failed_requests import (
    MAX_REQUESTS,
    RETRY_PERIOD_S,
)


class FailedRequestsTest(unittest.TestCase):
    """Failures are recalled once each, and only for a while."""

    def setUp(self) -> None:
        """Create an empty record."""
        self.failed = FailedRequests()

    def test_each_failure_counts_once(self) -> None:
        """Equal requests of several callers each find their own failure."""
        self.failed.record('same', 'a', 0.0)
        self.failed.record('same', 'b', 0.1)
        found = [self.failed.pop('same', 0.2) for _ in range(3)]
        self.assertEqual(found, ['a', 'b', ''])
        self.assertFalse(self.failed)

    def test_expiry(self) -> None:
        """A caller that comes back late is treated like any other."""
        self.failed.record('one', 'a', 0.0)
        self.failed.record('two', 'a', 0.0)
        self.failed.record('two', 'b', 1.0)
        later = RETRY_PERIOD_S + 0.5
        self.assertEqual(self.failed.pop('one', later), '')
        self.assertEqual(self.failed.pop('two', later), 'b')

    def test_bound(self) -> None:
        """The oldest requests are forgotten first."""
        for number in range(MAX_REQUESTS + 1):
            self.failed.record(str(number), 'a', 0.0)
        self.assertEqual(self.failed.pop('0', 0.0), '')
        self.assertEqual(self.failed.pop(str(MAX_REQUESTS), 0.0), 'a')
