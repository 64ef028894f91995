"""Tests of the adaptive concurrency limit."""

import random
import unittest
from collections.abc import Callable

from merlintrail.state import AdaptiveLimit, create_limit


#: Calls that a server with 12 slots completes in a minute, 0.03 s each.
_CALLS_OF_A_MINUTE = 22000


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


def _slow_down_when_full(running: int) -> float:
    """Return the seconds that a call takes at a server with 12 slots."""
    return 0.03 if running < 12 else 0.039


def _saturate_with_spread(slowdown: float, seed: int) -> AdaptiveLimit:
    """Saturate a server with 12 slots for about a minute.

    :param slowdown: factor on the times of calls while all slots are in use.
    """
    rng = random.Random(seed)
    limit = create_limit(12, 0.0)
    now = 0.0
    for _ in range(_CALLS_OF_A_MINUTE):
        running = limit.limit
        mean_s = 0.03 if running < 12 else 0.03 * slowdown
        now += mean_s / running
        time_s = mean_s * rng.lognormvariate(-0.18, 0.6)
        limit.record_success(now, time_s, running)
    return limit


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
        """Saturation without slowness raises it again, to all slots."""
        limit = create_limit(20, 0.0)
        now = 0.0
        for _ in range(10):
            now += 0.5
            limit.record_refusal(now, limit.limit)
        self.assertLess(limit.limit, 10)
        _drive(limit, lambda running: 0.01, 20, now)
        self.assertEqual(limit.limit, 20)

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
        self.assertEqual(limit.limit, 10)
        limit.resize(4)
        _drive(limit, lambda running: 0.001, 10, now)
        self.assertEqual(limit.limit, 4)

    def test_slots_that_slow_the_others_down_are_kept_free(self) -> None:
        """All calls take a third longer while every slot is in use."""
        limit = create_limit(12, 0.0)
        now = _drive(limit, _slow_down_when_full, 60, 0.0)
        self.assertEqual(limit.limit, 11)
        _drive(limit, _slow_down_when_full, 60, now)
        self.assertEqual(limit.limit, 11)

    def test_trials_become_rare(self) -> None:
        """A server that slows down loses little to being asked again."""
        limit = create_limit(12, 0.0)
        now = 0.0
        for minute in range(5):
            calls = [0, 0]
            while now < (minute + 1) * 60.0:
                running = limit.limit
                latency_s = _slow_down_when_full(running)
                now += latency_s / running
                limit.record_success(now, latency_s, running)
                calls[running > 11] += 1
        self.assertLess(calls[1], calls[0] / 100)

    def test_spread_of_times_does_not_mislead(self) -> None:
        """Servers whose calls differ much are told apart all the same."""
        for slowdown, expected in ((1.0, 12), (1.25, 11)):
            for seed in range(20):
                with self.subTest(slowdown=slowdown, seed=seed):
                    limit = _saturate_with_spread(slowdown, seed)
                    self.assertEqual(limit.limit, expected)
