"""A node that receives a stop signal finishes its calls in time."""

import asyncio
import unittest

from merlintrail.node._lifecycle import EXIT_RESERVE_SHARE
from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.testing import run_virtually

_DOCUMENT = build_document({'svc': [build_kind('read', deadline_ms=5000)]})
_GRACE_S = 6.0


def _create_session(service_s: float) -> Session:
    session = Session(_DOCUMENT, ('one', 'two'))
    for name in ('one', 'two'):
        session.add_backend(name, 'svc', answer_after(service_s))
    return session


class StopTest(unittest.TestCase):
    """One of two nodes receives a stop signal."""

    def test_callers_are_served_until_they_have_switched(self) -> None:
        """The node is not ready at once, but still serves for some time.

        Callers need two readiness checks to switch to other nodes; only then
        does the node refuse them.
        """

        async def scenario() -> None:
            session = _create_session(0.05)
            node = session.nodes['one']
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            self.assertFalse(node.build_health()['is_ready'])
            for _ in range(4):
                await asyncio.sleep(0.5)
                answer = await session.call('one', '/svc/read')
                self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.6)
            answer = await session.call('one', '/svc/read')
            self.assertEqual(answer.status, 503)
            async with asyncio.timeout(_GRACE_S - 2.6):
                await node.lifecycle.stopped.wait()

        run_virtually(scenario())

    def test_request_in_flight_completes(self) -> None:
        """The node waits for the request within its grace period."""

        async def scenario() -> None:
            session = _create_session(2.0)
            node = session.nodes['one']
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            await asyncio.sleep(2.3)
            answer = await session.call('one', '/svc/read')
            self.assertEqual(answer.status, 200)
            self.assertFalse(node.lifecycle.stopped.is_set())
            async with asyncio.timeout(1):
                await node.lifecycle.stopped.wait()

        run_virtually(scenario())

    def test_relay_stops_although_the_store_is_silent(self) -> None:
        """The end of its lease is not awaited beyond the reserved time."""

        async def scenario() -> None:
            session = _create_session(0.05)
            node = session.nodes['one']
            node.start_task('relay', node.run_relay)
            while not node.membership.own.is_relay:
                await asyncio.sleep(0.1)
            session.store.is_silent = True
            async with asyncio.timeout(_GRACE_S * EXIT_RESERVE_SHARE):
                await node.stop()

        run_virtually(scenario())

    def test_grace_period_is_kept_with_calls_running(self) -> None:
        """The node stops before the platform would kill the process."""

        async def scenario() -> None:
            session = _create_session(60.0)
            node = session.nodes['one']
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            calls = asyncio.create_task(session.call('one', '/svc/read'))
            async with asyncio.timeout(_GRACE_S - 0.5):
                await node.lifecycle.stopped.wait()
            calls.cancel()

        run_virtually(scenario())
