"""Timers fire in order of time, with few calls to the event loop."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from merlintrail.testing import run_virtually
from merlintrail.transport._timers import TimerQueue


class TimerQueueTest(unittest.TestCase):
    """Timers that are due run, cancelled timers do not."""

    def test_order(self) -> None:
        """Timers fire when due; those due together, in order of creation."""

        async def scenario() -> list[tuple[float, str]]:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            made: list[tuple[float, str]] = []

            def record_call(name: str) -> None:
                made.append((round(loop.time() - started_at, 3), name))

            timers = TimerQueue(loop)
            timers.call_later(3, record_call, 'late')
            timers.call_later(1, record_call, 'first')
            timers.call_later(1, record_call, 'second')
            cancelled = timers.call_later(2, record_call, 'cancelled')
            await asyncio.sleep(1.5)
            cancelled.cancel()
            timers.call_later(0.5, record_call, 'created later')
            await asyncio.sleep(2)
            return made

        self.assertEqual(
            run_virtually(scenario()),
            [
                (1, 'first'),
                (1, 'second'),
                (2, 'created later'),
                (3, 'late'),
            ],
        )

    def test_timer_created_by_a_timer(self) -> None:
        """A callback may create the next timer."""

        async def scenario() -> int:
            timers = TimerQueue(asyncio.get_running_loop())
            calls = 0

            def repeat() -> None:
                nonlocal calls
                calls += 1
                timers.call_later(1, repeat)

            timers.call_later(1, repeat)
            await asyncio.sleep(10.5)
            return calls

        self.assertEqual(run_virtually(scenario()), 10)

    def test_failing_callback_stops_no_other(self) -> None:
        """The event loop reports the error; the other callbacks run."""

        async def scenario() -> tuple[int, int]:
            loop = asyncio.get_running_loop()
            errors: list[object] = []
            loop.set_exception_handler(
                lambda _, context: errors.append(context)
            )
            made: list[int] = []
            timers = TimerQueue(loop)
            timers.call_later(1, _fail)
            timers.call_later(1, made.append, 1)
            timers.call_later(2, made.append, 2)
            await asyncio.sleep(3)
            return len(errors), len(made)

        self.assertEqual(run_virtually(scenario()), (1, 2))

    def test_cancelled_timers_share_one_event_loop_call(self) -> None:
        """A thousand cancelled timers schedule the event loop once."""

        async def scenario() -> int:
            loop = asyncio.get_running_loop()
            timers = TimerQueue(loop)
            call_at = mock.Mock(wraps=loop.call_at)
            with mock.patch.object(loop, 'call_at', call_at):
                for _ in range(1000):
                    timers.call_later(5, _fail).cancel()
            return int(call_at.call_count)

        self.assertEqual(run_virtually(scenario()), 1)

    def test_cancelled_timers_are_removed(self) -> None:
        """The queue is empty once all timers would have been due."""

        async def scenario() -> int:
            timers = TimerQueue(asyncio.get_running_loop())
            for delay_s in range(100):
                timers.call_later(delay_s, _fail).cancel()
            await asyncio.sleep(200)
            return len(timers)

        self.assertEqual(run_virtually(scenario()), 0)


def _fail(*_: Any) -> None:
    raise AssertionError('a cancelled timer was called')
