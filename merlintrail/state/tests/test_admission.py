"""Order of refusals, deadlines, and order within the queue."""

import asyncio
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from merlintrail.protocol import SUBLEVELS, Importance, Reason, Refusal
from merlintrail.state import (
    AdmissionController,
    AdmissionRequest,
    FixedLimit,
    SheddingController,
)
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
    patience_s: float,
) -> Refusal | None:
    """Ask for a slot, hold it, and return the refusal if there was one."""
    loop = asyncio.get_running_loop()
    refusal = await admission.admit(
        AdmissionRequest(importance * SUBLEVELS, loop.time() + patience_s)
    )
    if refusal is None:
        await asyncio.sleep(held_s)
        admission.record_service(held_s)
        admission.release()
    return refusal


class AdmissionControllerTest(unittest.TestCase):
    """AdmissionController to one backend server."""

    def test_important_arrival_pushes_out_lesser(self) -> None:
        """The least important call that waits makes room."""

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

    def test_refuses_at_once_what_cannot_finish(self) -> None:
        """Waiting and service time together exceed the deadline."""

        async def scenario() -> tuple[Refusal | None, float]:
            admission = _create_admission(1)
            admission.service_s = 1.0
            running = asyncio.create_task(
                _hold(admission, Importance.CRITICAL, 1.0, 10.0)
            )
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            asked_at = loop.time()
            refusal = await _hold(admission, Importance.CRITICAL, 1.0, 1.5)
            waited_s = loop.time() - asked_at
            await running
            return refusal, waited_s

        refusal, waited_s = run_virtually(scenario())
        assert refusal is not None
        self.assertEqual(refusal.reason, Reason.DEADLINE)
        self.assertEqual(waited_s, 0)

    def test_cancelled_call_frees_its_place(self) -> None:
        """A caller that leaves neither runs nor keeps a slot."""

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

    def test_lesser_calls_are_given_up_first(self) -> None:
        """No lesser call is served after an important one was refused."""

        async def scenario() -> list[tuple[float, int, bool]]:
            admission = _create_admission(1)
            admission.queue_limit_s = 1.0
            admission.service_s = 0.1
            loop = asyncio.get_running_loop()
            ends: list[tuple[float, int, bool]] = []

            async def arrive(number: int, importance: int) -> None:
                await asyncio.sleep(number * 0.001)
                patience_s = 1.0 if importance == Importance.NORMAL else 0.3
                refusal = await _hold(admission, importance, 0.1, patience_s)
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
            moment
            for moment, importance, is_served in ends
            if importance == Importance.CRITICAL and not is_served
        ]
        self.assertTrue(refused)
        started_after = [
            moment
            for moment, importance, is_served in ends
            if (importance, is_served) == (Importance.NORMAL, True)
            and moment - 0.1 > min(refused)
        ]
        self.assertEqual(started_after, [])

    def test_newest_first_when_overloaded(self) -> None:
        """An overloaded queue does not serve the calls that gave up."""

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
    def test_slots_are_never_exceeded_nor_lost(
        self, arrivals: list[tuple[Importance, float, float]], slots: int
    ) -> None:
        """Random arrivals: the limit holds, and every slot comes back."""

        async def scenario() -> tuple[int, int, int]:
            admission = _create_admission(slots)
            most = 0

            async def arrive(
                importance: Importance, pause_s: float, held_s: float
            ) -> None:
                nonlocal most  # noqa: WPS420
                await asyncio.sleep(pause_s)
                await _hold(admission, importance, held_s, 0.5)
                most = max(most, admission.running)

            await asyncio.gather(*(arrive(*arrival) for arrival in arrivals))
            return most, admission.running, admission.queued

        most, running, queued = run_virtually(scenario())
        self.assertLessEqual(most, slots)
        self.assertEqual((running, queued), (0, 0))


class SheddingControllerTest(unittest.TestCase):
    """The level follows load and falls back."""

    def test_level_rises_to_what_fits_and_falls_back(self) -> None:
        """Twice the capacity, then calm: the lower half is shed."""
        shedder = SheddingController(0.0)
        now = 0.0
        for _ in range(400):
            now += 0.01
            for importance in (Importance.LOW, Importance.CRITICAL):
                shedder.record_arrival(now, importance * SUBLEVELS)
            shedder.record_completion(0.01)
            shedder.record_saturation()
            shedder.record_overflow()
        level = shedder.read_level(now + 0.1)
        self.assertGreater(level, Importance.LOW * SUBLEVELS)
        self.assertLessEqual(level, Importance.CRITICAL * SUBLEVELS)
        for _ in range(20):
            now += 0.1
            shedder.read_level(now)
        self.assertEqual(shedder.read_level(now), 0)
