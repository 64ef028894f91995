"""Limits on the calls per second that a backend server states to take."""

import asyncio
import random
import unittest

from merlintrail.protocol import SUBLEVELS, Importance, Reason, Refusal
from merlintrail.state import (
    AdmissionController,
    AdmissionRequest,
    FixedLimit,
    RateLimit,
    SheddingController,
    compute_retry_after,
    is_shed,
)
from merlintrail.state._rate_limit import BURST_S, MIN_RATE
from merlintrail.testing import run_virtually

_NORMAL = Importance.NORMAL * SUBLEVELS
_CRITICAL = Importance.CRITICAL * SUBLEVELS


class RateLimitTest(unittest.TestCase):
    """Starts that a limit permits, by a clock of the test's own."""

    def setUp(self) -> None:
        self.now = 100.0
        self.rate_limit = RateLimit()

    def start_all(self, seconds: float) -> int:
        """Start calls as early as permitted and count them."""
        end_at = self.now + seconds
        count = 0
        while True:
            self.now += self.rate_limit.compute_delay(self.now)
            if self.now > end_at:
                self.now = end_at
                return count
            self.rate_limit.record_start(self.now)
            count += 1

    def test_rate_and_burst(self) -> None:
        """The rate is used fully, and a pause earns a short burst only."""
        self.rate_limit.update(20.0, self.now)
        self.assertAlmostEqual(self.start_all(10.0), 200, delta=2)
        self.now += 60.0
        self.assertLessEqual(self.start_all(1.0), 20 * (1.0 + BURST_S) + 1)

    def test_no_burst_at_first(self) -> None:
        """A server that begins to state a limit is in need."""
        self.rate_limit.update(20.0, self.now)
        self.assertLessEqual(self.start_all(0.2), 5)

    def test_changes(self) -> None:
        """A wait that a low limit caused is shortened when it rises."""
        self.rate_limit.update(0.5, self.now)
        self.rate_limit.record_start(self.now)
        self.assertAlmostEqual(self.rate_limit.compute_delay(self.now), 2.0)
        self.rate_limit.update(10.0, self.now)
        self.assertAlmostEqual(self.rate_limit.compute_delay(self.now), 0.1)
        self.rate_limit.update(None, self.now)
        self.assertEqual(self.rate_limit.compute_delay(self.now), 0.0)

    def test_lowest_rate(self) -> None:
        """At a limit of 0 a call in ten seconds finds out when it ends."""
        self.rate_limit.update(0.0, self.now)
        self.assertEqual(self.rate_limit.rate, MIN_RATE)
        self.assertAlmostEqual(self.start_all(100.0), 10, delta=1)

    def test_load(self) -> None:
        """It is the rate of arrivals in terms of the limit."""
        self.rate_limit.update(20.0, self.now)
        for _ in range(300):
            self.now += 0.1
            self.rate_limit.record_arrival(self.now)
        self.assertAlmostEqual(
            self.rate_limit.compute_load(self.now), 0.5, delta=0.1
        )
        self.assertLess(self.rate_limit.compute_load(self.now + 5.0), 0.01)


class LimitedAdmissionTest(unittest.TestCase):
    """The queue of a server with free slots and a limit of 10 a second."""

    def create(self) -> AdmissionController:
        """Create a controller whose calls take 10 ms."""
        loop = asyncio.get_running_loop()
        admission = AdmissionController(
            FixedLimit(16), SheddingController(loop.time()), loop.time, 1.0
        )
        for _ in range(100):
            admission.record_service(0.01)
        admission.update_rate_limit(10.0)
        return admission

    async def admit(
        self, admission: AdmissionController, priority: int
    ) -> Refusal | None:
        """Admit a call, and release its slot at once."""
        deadline = asyncio.get_running_loop().time() + 5.0
        refusal = await admission.admit(AdmissionRequest(priority, deadline))
        if refusal is None:
            admission.release()
        return refusal

    def test_important_calls_first(self) -> None:
        """Calls that wait for the rate are started by importance."""

        async def scenario() -> list[str]:
            admission = self.create()
            order: list[str] = []

            async def run(name: str, priority: int) -> None:
                if await self.admit(admission, priority) is None:
                    order.append(name)

            await run('first', _NORMAL)
            await asyncio.gather(
                run('normal', _NORMAL + SUBLEVELS - 1),
                run('critical', _CRITICAL),
            )
            return order

        self.assertEqual(
            run_virtually(scenario()), ['first', 'critical', 'normal']
        )

    def test_refusals_say_when_to_return(self) -> None:
        """What the limit turns away is refused at once, as rate-limited."""

        async def scenario() -> list[Refusal]:
            admission = self.create()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            refusals = [
                refusal
                for refusal in await asyncio.gather(
                    *(self.admit(admission, _NORMAL) for _ in range(40))
                )
                if refusal is not None
            ]
            self.assertLess(loop.time() - started_at, 2.0)
            return refusals

        refusals = run_virtually(scenario())
        self.assertGreater(len(refusals), 20)
        for refusal in refusals:
            self.assertEqual(refusal.reason, Reason.RATE_LIMITED)
            self.assertGreater(refusal.retry_after_s, 0.1)

    def test_return_to_a_low_limit(self) -> None:
        """An objective does not call a caller back before there is room."""

        async def scenario() -> Refusal | None:
            admission = self.create()
            admission.update_rate_limit(0.25)
            await self.admit(admission, _NORMAL)
            return await self.admit(admission, _NORMAL)

        refusal = run_virtually(scenario())
        assert refusal is not None
        self.assertGreater(refusal.retry_after_s, 3.0)
        retry_after_s = compute_retry_after(
            refusal.retry_after_s,
            objective_s=1.5,
            draw=0.5,
            earliest_s=refusal.retry_after_s,
        )
        self.assertEqual(retry_after_s, refusal.retry_after_s)

    def test_paused_process(self) -> None:
        """A call is not started later than its answer could be in time."""

        async def scenario() -> Refusal | None:
            admission = self.create()
            loop = asyncio.get_running_loop()
            await self.admit(admission, _NORMAL)
            waiting = asyncio.create_task(
                admission.admit(AdmissionRequest(_NORMAL, loop.time() + 1.0))
            )
            await asyncio.sleep(0)
            resumed_at = loop.time() + 3.0
            admission._clock = lambda: resumed_at
            admission.start_waiting()
            return await waiting

        refusal = run_virtually(scenario())
        assert refusal is not None
        self.assertEqual(refusal.reason, Reason.DEADLINE_UNREACHABLE)


class LimitedLevelTest(unittest.TestCase):
    """The shedding level of a server with free slots and a limit."""

    def find_passing_share(self, rate_limit: float | None) -> float:
        """Return the share of 40 calls a second that pass after 10 s."""
        now = 0.0
        rng = random.Random(1)
        shedder = SheddingController(now)
        shedder.rate_limit = rate_limit
        passed = 0
        for number in range(800):
            now += 0.025
            priority = _NORMAL + rng.randrange(SUBLEVELS)
            if not is_shed(priority, shedder.read_level(now)):
                shedder.record_arrival(now, priority)
                shedder.record_completion(0.05)
                passed += number >= 400
            shedder.record_occupancy(now, 0 if number % 2 else 1, 0, 16)
        return passed / 400

    def test_limit_counts_as_capacity(self) -> None:
        """A quarter passes at a limit of 10, and all without one."""
        self.assertEqual(self.find_passing_share(None), 1.0)
        self.assertAlmostEqual(self.find_passing_share(10.0), 0.25, delta=0.1)
