"""Tests of admission control and of the shedding controller."""

import asyncio
import itertools
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from merlintrail.protocol import SUBLEVELS, Importance, Reason, Refusal
from merlintrail.state import (
    AdmissionController,
    AdmissionRequest,
    CallQueues,
    FixedLimit,
    SheddingController,
)
from merlintrail.state._call_queues import QueuedCall
from merlintrail.testing import run_virtually


def _create_admission(slots: int) -> AdmissionController:
    clock = asyncio.get_running_loop().time
    return AdmissionController(
        FixedLimit(slots), SheddingController(clock()), clock, 0.1
    )


async def _hold(
    admission: AdmissionController,
    importance: int,
    held_s: float,
    timeout_s: float,
) -> Refusal | None:
    """Request a slot and hold it; return the refusal if there was one."""
    loop = asyncio.get_running_loop()
    refusal = await admission.admit(
        AdmissionRequest(importance * SUBLEVELS, loop.time() + timeout_s)
    )
    if refusal is None:
        await asyncio.sleep(held_s)
        admission.record_service(held_s)
        admission.release()
    return refusal


class AdmissionControllerTest(unittest.TestCase):
    """Calls to one backend server."""

    def test_important_call_evicts_less_important_one(self) -> None:
        """If the queue is full, the least important waiting call is refused."""

        async def scenario() -> Sequence[Refusal | None]:
            admission = _create_admission(1)
            admission.service_s = 0.1
            calls = [
                asyncio.create_task(_hold(admission, importance, 0.1, 10.0))
                for importance in (
                    Importance.LOW,
                    Importance.LOW,
                    Importance.HIGH,
                )
            ]
            return await asyncio.gather(*calls)

        first, second, third = run_virtually(scenario())
        self.assertIsNone(first)
        self.assertIsNotNone(second)
        self.assertIsNone(third)

    def test_refuses_call_that_would_miss_its_deadline(self) -> None:
        """Expected wait and service time exceed the remaining time."""

        async def scenario() -> tuple[Refusal | None, float]:
            admission = _create_admission(1)
            admission.service_s = 1.0
            running = asyncio.create_task(
                _hold(admission, Importance.CRITICAL, 1.0, 10.0)
            )
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            requested_at = loop.time()
            refusal = await _hold(admission, Importance.CRITICAL, 1.0, 1.5)
            waited_s = loop.time() - requested_at
            await running
            return refusal, waited_s

        refusal, waited_s = run_virtually(scenario())
        assert refusal is not None
        self.assertEqual(refusal.reason, Reason.DEADLINE_UNREACHABLE)
        self.assertEqual(waited_s, 0)

    def test_cancelled_call_leaves_the_queue(self) -> None:
        """A call cancelled while it waits neither runs nor keeps a slot."""

        async def scenario() -> tuple[int, int]:
            admission = _create_admission(1)
            admission.service_s = 0.1
            running = asyncio.create_task(
                _hold(admission, Importance.HIGH, 0.1, 10.0)
            )
            waiting = asyncio.create_task(
                _hold(admission, Importance.HIGH, 0.1, 10.0)
            )
            await asyncio.sleep(0.01)
            waiting.cancel()
            await running
            await asyncio.sleep(1)
            return admission.running, admission.queued

        self.assertEqual(run_virtually(scenario()), (0, 0))

    def test_lower_priority_calls_are_evicted_first(self) -> None:
        """None of them is started after a more important one was refused.

        Their longer deadlines would let them wait until slots are free.
        """

        async def scenario() -> list[tuple[float, int, bool]]:
            admission = _create_admission(1)
            admission.queue_limit_s = 1.0
            admission.service_s = 0.1
            loop = asyncio.get_running_loop()
            ends: list[tuple[float, int, bool]] = []

            async def arrive(number: int, importance: int) -> None:
                await asyncio.sleep(number * 0.001)
                timeout_s = 1.0 if importance == Importance.NORMAL else 0.3
                refusal = await _hold(admission, importance, 0.1, timeout_s)
                ends.append((loop.time(), importance, refusal is None))

            await asyncio.gather(
                *(arrive(number, Importance.NORMAL) for number in range(5)),
                *(
                    arrive(number, Importance.CRITICAL)
                    for number in range(5, 9)
                ),
            )
            return ends

        ends = run_virtually(scenario())
        refused = [
            ended_at
            for ended_at, importance, is_served in ends
            if importance == Importance.CRITICAL and not is_served
        ]
        self.assertTrue(refused)
        started_after = [
            ended_at
            for ended_at, importance, is_served in ends
            if (importance, is_served) == (Importance.NORMAL, True)
            and ended_at - 0.1 > min(refused)
        ]
        self.assertEqual(started_after, [])

    def test_overloaded_queue_is_last_in_first_out(self) -> None:
        """In arrival order it would serve calls about to time out."""

        async def scenario() -> list[int]:
            admission = _create_admission(1)
            admission.service_s = 0.01
            order: list[int] = []

            async def hold(number: int) -> None:
                if await _hold(admission, Importance.HIGH, 0.01, 60) is None:
                    order.append(number)

            await asyncio.gather(*(hold(number) for number in range(6)))
            return order

        order = run_virtually(scenario())
        self.assertEqual(order[0], 0)
        self.assertGreater(order[1], order[-1])

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        arrivals=st.lists(
            st.tuples(
                st.sampled_from(list(Importance)),
                st.floats(0, 0.2),
                st.floats(0.01, 0.2),
            ),
            max_size=40,
        ),
        slots=st.integers(1, 3),
    )
    def test_slots_are_neither_exceeded_nor_lost(
        self, arrivals: list[tuple[Importance, float, float]], slots: int
    ) -> None:
        """Random arrivals keep the limit, and all slots are released."""

        async def scenario() -> tuple[int, int, int]:
            admission = _create_admission(slots)
            most_running = 0

            async def arrive(
                importance: Importance, delay_s: float, held_s: float
            ) -> None:
                nonlocal most_running  # noqa: WPS420
                await asyncio.sleep(delay_s)
                await _hold(admission, importance, held_s, 0.5)
                most_running = max(most_running, admission.running)

            await asyncio.gather(*(arrive(*arrival) for arrival in arrivals))
            return most_running, admission.running, admission.queued

        most_running, running, queued = run_virtually(scenario())
        self.assertLessEqual(most_running, slots)
        self.assertEqual((running, queued), (0, 0))


class QueueOrderTest(unittest.TestCase):
    """The order in which waiting calls are served."""

    def test_importance_goes_before_work_already_done(self) -> None:
        """Except that nested calls of the lowest class do not starve."""
        order = sorted(
            itertools.product(Importance, (False, True)),
            key=lambda properties: (
                AdmissionRequest(
                    properties[0] * SUBLEVELS, 1.0, is_nested=properties[1]
                ).queue_index
            ),
        )
        self.assertEqual(
            order,
            [
                (Importance.LOW, False),
                (Importance.NORMAL, False),
                (Importance.LOW, True),
                (Importance.NORMAL, True),
                (Importance.HIGH, False),
                (Importance.HIGH, True),
                (Importance.CRITICAL, False),
                (Importance.CRITICAL, True),
            ],
        )

    def test_nested_calls_under_overload(self) -> None:
        """The newest goes first while more wait than there are slots."""

        async def scenario(waiting: int, slots: int) -> list[float]:
            queues = CallQueues()
            for number in range(waiting):
                request = AdmissionRequest(0, float(number), is_nested=True)
                queues.append(QueuedCall(request, 1.0))
            taken = [queues.take_next(slots) for _ in range(waiting)]
            return [call.request.deadline for call in taken if call]

        self.assertEqual(run_virtually(scenario(3, 3)), [0.0, 1.0, 2.0])
        self.assertEqual(run_virtually(scenario(4, 2)), [3.0, 2.0, 0.0, 1.0])


class SheddingControllerTest(unittest.TestCase):
    """The shedding level under and after an overload."""

    def test_level_follows_the_overload(self) -> None:
        """At twice the capacity the lower half is shed, later nothing."""
        shedder = SheddingController(0.0)
        now = 0.0
        for number in range(400):
            now += 0.01
            for importance in (Importance.LOW, Importance.CRITICAL):
                priority = importance * SUBLEVELS + number % SUBLEVELS
                shedder.record_arrival(now, priority)
            shedder.record_completion(0.01)
            shedder.record_occupancy(now, 1, 0, 1)
        level = shedder.read_level(now + 0.1)
        self.assertGreater(level, Importance.LOW * SUBLEVELS)
        self.assertLessEqual(level, Importance.CRITICAL * SUBLEVELS)
        for _ in range(20):
            now += 0.1
            shedder.read_level(now)
        self.assertEqual(shedder.read_level(now), 0)
