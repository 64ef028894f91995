"""A node that receives a stop signal finishes its calls in time."""

import asyncio
import unittest

from merlintrail.node import Node
from merlintrail.node.life._lifecycle import EXIT_RESERVE_SHARE, Lifecycle
from merlintrail.node.serving._connections import NodeServers
from merlintrail.node.tests.caller_answers import FakeCallerAnswers
from merlintrail.node.tests.session import (
    BackendHandler,
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse, create_memory

_DOCUMENT = build_document({'svc': [build_kind('read', deadline_ms=5000)]})
_GRACE_S = 6.0
_WRITE_DOCUMENT = build_document(
    {'svc': [build_kind('write', idempotent=False, deadline_ms=6000)]}
)

_NESTED_DOCUMENT = build_document(
    {
        'top': [build_kind('x', deadline_ms=5000)],
        'deep': [build_kind('w', idempotent=False, deadline_ms=2000)],
    }
)


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

    def test_request_taken_late_is_cut_at_the_end(self) -> None:
        """One that may not be repeated is refused as not run instead."""

        async def scenario() -> None:
            session = _create_write_session(answer_after(3.5))
            node = session.nodes['one']
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            await asyncio.sleep(2.3)
            answer = await session.call('one', '/svc/write')
            self.assertEqual(answer.status, 503)
            self.assertEqual(session.executions.total(), 0)

        run_virtually(scenario())

    def test_request_taken_late_that_is_known_to_be_short_is_refused(
        self,
    ) -> None:
        """It is served: others of its kind took far less than is left."""

        async def scenario() -> None:
            session = _create_write_session(answer_after(0.5))
            node = session.nodes['one']
            await session.call('one', '/svc/write')
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            await asyncio.sleep(2.3)
            answer = await session.call('one', '/svc/write')
            self.assertEqual(answer.status, 200)

        run_virtually(scenario())

    def test_call_of_another_node_outlasts_the_process(self) -> None:
        """It is refused as not run, and the other server runs it."""

        async def scenario() -> None:
            session = Session(_WRITE_DOCUMENT, ('ingress', 'one', 'two'))
            runs = {'one': 0, 'two': 0}
            for name in runs:
                session.add_backend(name, 'svc', _count(runs, name))
            session.nodes['one'].lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            for _ in range(20):
                answer = await session.call('ingress', '/svc/write')
                self.assertEqual(answer.status, 200)
            self.assertEqual(runs, {'one': 0, 'two': 20})

        run_virtually(scenario())

    def test_calls_of_the_backend_server_are_cut_at_the_end(self) -> None:
        """Those that may not be repeated are refused when they may not end."""

        async def scenario() -> None:
            session = Session(_NESTED_DOCUMENT, ('ingress', 'one', 'two'))
            runs = {'two': 0}
            statuses: list[int] = []

            async def run_top(request: HttpRequest) -> HttpResponse:
                while len(statuses) < 16 and set(statuses) <= {200}:
                    target = f'/deep/w?{len(statuses)}'
                    answer = await session.call_nested('one', request, target)
                    statuses.append(answer.status)
                return HttpResponse(200, (), b'')

            async def run_deep(request: HttpRequest) -> HttpResponse:
                runs['two'] += 1
                return await answer_after(0.25)(request)

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', run_deep)
            node = session.nodes['one']
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            await asyncio.sleep(1.5)
            await session.call('ingress', '/top/x')
            self.assertEqual(statuses, [200] * runs['two'] + [503])
            self.assertGreaterEqual(runs['two'], 10)

        run_virtually(scenario())

    def test_process_ends_before_its_answers_are_sent(self) -> None:
        """It waits for connections that still have something to send."""

        async def scenario() -> None:
            session = _create_session(0.05)
            node = session.nodes['one']
            servers = _SlowServers(asyncio.get_running_loop().time() + 4.0)
            lifecycle = _create_lifecycle(node, servers)
            lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            await asyncio.sleep(3.9)
            self.assertFalse(lifecycle.stopped.is_set())
            async with asyncio.timeout(1):
                await lifecycle.stopped.wait()
            self.assertFalse(servers.has_answered)

        run_virtually(scenario())

    def test_process_ends_before_its_last_answers_are_taken(self) -> None:
        """It waits for callers to take what is written at the end."""

        async def scenario() -> None:
            session = _create_session(60.0)
            node = session.nodes['one']
            begun_at = asyncio.get_running_loop().time()
            servers = _SlowServers(begun_at + 5.3)
            lifecycle = _create_lifecycle(node, servers)
            lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            await lifecycle.stopped.wait()
            ended_at = asyncio.get_running_loop().time()
            self.assertGreaterEqual(ended_at - begun_at, 5.3)
            self.assertLess(ended_at - begun_at, _GRACE_S - 0.5)

        run_virtually(scenario())

    def test_stop_signal_in_a_drain_exceeds_the_grace_period(self) -> None:
        """The drain for a planned stop waits longer than the platform does."""

        async def scenario() -> None:
            kind = build_kind('read', deadline_ms=60000)
            session = Session(build_document({'svc': [kind]}), ('one', 'two'))
            session.add_backend('two', 'svc', answer_after(50.0))
            node = session.nodes['one']
            calls = asyncio.create_task(session.call('one', '/svc/read'))
            await asyncio.sleep(1)
            node.lifecycle.start_drain('planned stop')
            await asyncio.sleep(2)
            node.lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            async with asyncio.timeout(_GRACE_S - 0.5):
                await node.lifecycle.stopped.wait()
            calls.cancel()

        run_virtually(scenario())

    def test_failing_drain_keeps_the_process(self) -> None:
        """The process ends although an error ended its drain."""

        async def scenario() -> None:
            session = _create_session(60.0)
            node = session.nodes['one']
            lifecycle = _create_lifecycle(node, _FailingServers())
            lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            async with asyncio.timeout(_GRACE_S):
                await lifecycle.stopped.wait()

        run_virtually(scenario())

    def test_callers_that_wait_at_the_end_get_no_answer(self) -> None:
        """They get the last answer before the process ends."""

        async def scenario() -> None:
            session = _create_session(60.0)
            node = session.nodes['one']
            servers = _SlowServers(asyncio.get_running_loop().time() + 60.0)
            lifecycle = _create_lifecycle(node, servers)
            lifecycle.start_shutdown('SIGTERM', _GRACE_S)
            async with asyncio.timeout(_GRACE_S - 0.5):
                await lifecycle.stopped.wait()
            self.assertTrue(servers.has_answered)

        run_virtually(scenario())


class _SlowServers(NodeServers):
    """Servers with one connection that is busy until a time."""

    def __init__(self, busy_until: float) -> None:
        super().__init__(FakeCallerAnswers(), create_memory())
        self._busy_until = busy_until
        self.has_answered = False

    def count_busy(self) -> int:
        """Count the busy connections."""
        return int(asyncio.get_running_loop().time() < self._busy_until)

    def answer_unfinished(self) -> None:
        """Record that callers get the last answer."""
        self.has_answered = True


class _FailingServers(NodeServers):
    """Servers whose connections cannot be counted."""

    def __init__(self) -> None:
        super().__init__(FakeCallerAnswers(), create_memory())

    def count_busy(self) -> int:
        """Fail."""
        raise LookupError('a fault of the node')


def _create_lifecycle(node: Node, servers: NodeServers) -> Lifecycle:
    return Lifecycle(node.lifecycle._deps._replace(servers=servers))


def _create_write_session(handler: BackendHandler) -> Session:
    session = Session(_WRITE_DOCUMENT, ('one', 'two'))
    session.add_backend('two', 'svc', handler)
    return session


def _count(runs: dict[str, int], name: str) -> BackendHandler:
    """Create a handler that counts the calls it runs."""

    async def handle(request: HttpRequest) -> HttpResponse:
        runs[name] += 1
        await asyncio.sleep(0.05)
        return HttpResponse(200, (), request.body)

    return handle
