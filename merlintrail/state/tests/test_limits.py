"""Tests of the adaptive concurrency limit."""

import unittest
from collections.abc import Callable

from merlintrail.state import AdaptiveLimit, create_limit


def _drive(
    limit: AdaptiveLimit,
    latency_at: Callable[[int], float],
    seconds: float,
    now: float,
) -> float:
    """Keep a backend server saturated and return the time at the end."""
    end = now + seconds
    while now < end:
        running = limit.limit
        latency_s = latency_at(running)
        now += latency_s / running
        limit.record_success(now, latency_s, running)
    return now


class AdaptiveLimitTest(unittest.TestCase):
    """Reactions to slowness and to refusals of the backend server."""

    def test_contention_lowers_the_limit(self) -> None:
        """The latency grows with the square of the running calls."""
        limit = create_limit(40, 0.0)
        now = _drive(limit, lambda running: 0.01, 2, 0.0)
        _drive(limit, lambda running: 0.001 * running**2 / 4, 60, now)
        self.assertLess(limit.limit, 30)

    def test_slowness_without_contention_keeps_the_limit(self) -> None:
        """A lower limit would only reduce the throughput."""
        limit = create_limit(40, 0.0)
        now = _drive(limit, lambda running: 0.01, 2, 0.0)
        _drive(limit, lambda running: 0.1, 60, now)
        self.assertGreaterEqual(limit.limit, 36)

    def test_refusals_lower_the_limit_until_it_recovers(self) -> None:
        """Saturation without slowness raises it again."""
        limit = create_limit(20, 0.0)
        now = 0.0
        for _ in range(10):
            now += 0.5
            limit.record_refusal(now, limit.limit)
        self.assertLess(limit.limit, 10)
        _drive(limit, lambda running: 0.01, 20, now)
        self.assertEqual(limit.limit, 19)

    def test_refusals_at_low_load_keep_the_limit(self) -> None:
        """They indicate a fault rather than a lack of slots."""
        limit = create_limit(20, 0.0)
        for step in range(50):
            limit.record_refusal(step * 0.5, 3)
        self.assertEqual(limit.limit, 19)

    def test_limit_never_exceeds_the_announced_slots(self) -> None:
        """This also holds when the number of slots changes."""
        limit = create_limit(10, 0.0)
        now = _drive(limit, lambda running: 0.001, 10, 0.0)
        self.assertEqual(limit.limit, 9)
        limit.resize(4)
        _drive(limit, lambda running: 0.001, 10, now)
        self.assertEqual(limit.limit, 4)
