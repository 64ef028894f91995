"""Limits find out why a backend server is slow."""

import unittest
from collections.abc import Callable

from merlintrail.state import AdaptiveLimit, create_limit


def _drive(
    limit: AdaptiveLimit,
    latency_at: Callable[[int], float],
    seconds: float,
    now: float,
) -> float:
    """Keep a backend server saturated; return the time after that."""
    end = now + seconds
    while now < end:
        running = limit.limit
        latency_s = latency_at(running)
        now += latency_s / running
        limit.record_success(now, latency_s, running)
    return now


class AdaptiveLimitTest(unittest.TestCase):
    """Two causes of slowness, and the backend server's own refusals."""

    def test_crowded_server_gets_fewer_calls(self) -> None:
        """Latency grows with the square of the calls: fewer are better."""
        limit = create_limit(40, 0.0)
        now = _drive(limit, lambda running: 0.01, 2, 0.0)
        _drive(limit, lambda running: 0.001 * running**2 / 4, 60, now)
        self.assertLess(limit.limit, 30)

    def test_slow_server_keeps_its_calls(self) -> None:
        """Every call is ten times slower: fewer would only cost goodput."""
        limit = create_limit(40, 0.0)
        now = _drive(limit, lambda running: 0.01, 2, 0.0)
        _drive(limit, lambda running: 0.1, 60, now)
        self.assertGreaterEqual(limit.limit, 36)

    def test_own_refusals_lower_it_and_it_recovers(self) -> None:
        """Refusals lower the limit, quiet saturation raises it again."""
        limit = create_limit(20, 0.0)
        now = 0.0
        for _ in range(10):
            now += 0.5
            limit.record_refusal(now, limit.limit)
        self.assertLess(limit.limit, 10)
        _drive(limit, lambda running: 0.01, 20, now)
        self.assertEqual(limit.limit, 19)

    def test_refusals_of_an_idle_server_are_its_own_fault(self) -> None:
        """A server that fails part of its calls keeps its slots."""
        limit = create_limit(20, 0.0)
        for step in range(50):
            limit.record_refusal(step * 0.5, 3)
        self.assertEqual(limit.limit, 19)

    def test_never_above_the_announced_slots(self) -> None:
        """Slots are a ceiling, also when they change."""
        limit = create_limit(10, 0.0)
        now = _drive(limit, lambda running: 0.001, 10, 0.0)
        self.assertEqual(limit.limit, 9)
        limit.resize(4)
        _drive(limit, lambda running: 0.001, 10, now)
        self.assertEqual(limit.limit, 4)
