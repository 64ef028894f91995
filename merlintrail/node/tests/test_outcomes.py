"""Outcomes reported to callers when calls fail or time out."""

import asyncio
import unittest

from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    READ_AND_WRITE,
    Session,
    answer_after,
    build_document,
    build_kind,
    create_read_write_session,
)
from merlintrail.protocol import OUTCOME_HEADER
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse


class DeadlineTest(unittest.TestCase):
    """Deadlines and cancellation propagate down the call chain."""

    def test_deadline_is_reported_at_once(self) -> None:
        """The caller gets its answer at the deadline, not later."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('ingress', 'one'))
            session.add_backend('one', 'svc', answer_after(10))
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await session.call(
                'ingress',
                '/svc/read',
                headers={'merlintrail-deadline-ms': '300'},
            )
            self.assertEqual(answer.status, 504)
            self.assertAlmostEqual(loop.time() - started_at, 0.3, places=2)

        run_virtually(scenario())

    def test_cancellation_reaches_nested_calls(self) -> None:
        """A caller that disconnects ends the calls two hops away."""

        async def scenario() -> None:
            document = build_document(
                {'top': [build_kind('x')], 'deep': [build_kind('x')]}
            )
            session = Session(document, ('ingress', 'one', 'two'))
            ended = asyncio.Event()

            async def run_deep(request: HttpRequest) -> HttpResponse:
                try:
                    await asyncio.sleep(0.5)
                except asyncio.CancelledError:
                    ended.set()
                    raise
                return HttpResponse(200, (), b'')

            async def run_top(request: HttpRequest) -> HttpResponse:
                return await session.call_nested('one', request, '/deep/x')

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', run_deep)
            call = asyncio.create_task(session.call('ingress', '/top/x'))
            await asyncio.sleep(0.1)
            call.cancel()
            await asyncio.sleep(0.05)
            self.assertTrue(ended.is_set())
            self.assertEqual(session.nodes['two'].gateway.running, 0)

        run_virtually(scenario())

    def test_end_of_a_call_cuts_the_connections_of_its_server(self) -> None:
        """Its nested calls are answered, also when nobody waits for it."""

        async def scenario() -> None:
            document = build_document(
                {
                    'top': [build_kind('x', deadline_ms=300)],
                    'deep': [build_kind('x', deadline_ms=5000)],
                }
            )
            session = Session(document, ('ingress', 'one', 'two'))
            nested: list[asyncio.Task[HttpResponse]] = []

            async def run_top(request: HttpRequest) -> HttpResponse:
                call = session.call_nested('one', request, '/deep/x')
                nested.append(asyncio.create_task(call))
                await asyncio.sleep(5)
                return HttpResponse(200, (), b'')

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', answer_after(5))
            answer = await session.call('ingress', '/top/x')
            self.assertEqual(answer.status, 504)
            async with asyncio.timeout(1):
                below = await nested[0]
            self.assertEqual(below.status, 504)
            self.assertIn(b'parent-ended', below.body)

        run_virtually(scenario())


class RetryTest(unittest.TestCase):
    """Limits on retries over the whole call tree."""

    def test_chain_of_thirteen_services_with_a_failing_end(self) -> None:
        """The last of 13 services fails: at most two further attempts."""

        async def scenario() -> None:
            names = [f's{number}' for number in range(13)]
            document = build_document(
                {name: [build_kind('x', deadline_ms=5000)] for name in names}
            )
            session = Session(document, ('ingress', 'a', 'b', 'c'))

            def create_hop(node: str, number: int) -> None:
                async def run(request: HttpRequest) -> HttpResponse:
                    if number == len(names) - 1:
                        raise ConnectionAbortedError
                    answer = await session.call_nested(
                        node, request, f'/s{number + 1}/x'
                    )
                    status = 200 if answer.status == 200 else 502
                    return HttpResponse(status, (), b'')

                session.add_backend(node, names[number], run)

            for node in ('a', 'b', 'c'):
                for number, _ in enumerate(names):
                    create_hop(node, number)
            await session.call('ingress', '/s0/x', 'body')
            attempts = sum(session.executions.values())
            self.assertLessEqual(attempts - len(names), 2)
            self.assertGreaterEqual(attempts, len(names))

        run_virtually(scenario())

    def test_nested_calls_repeated_by_a_backend_server(self) -> None:
        """Repeating a nested call uses up the retries of the request."""

        async def scenario() -> None:
            document = build_document(
                {'top': [build_kind('x')], 'deep': [build_kind('x')]}
            )
            session = Session(document, ('ingress', 'one', 'two'))
            statuses: list[int] = []

            async def run_top(request: HttpRequest) -> HttpResponse:
                for _ in range(6):
                    answer = await session.call_nested(
                        'one', request, '/deep/x'
                    )
                    statuses.append(answer.status)
                return HttpResponse(200, (), b'')

            async def fail(request: HttpRequest) -> HttpResponse:
                return HttpResponse(500, (), b'')

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', fail)
            await session.call('ingress', '/top/x')
            self.assertLessEqual(session.executions['deep '], 3)
            self.assertEqual(statuses[-1], 503)

        run_virtually(scenario())


class BackendOutcomeTest(unittest.TestCase):
    """Outcomes stated by backend servers are checked by the node."""

    def test_not_run_of_a_server_that_made_calls(self) -> None:
        """``not-run`` is not accepted after a nested call has run."""

        async def scenario() -> None:
            document = build_document(
                {
                    'top': [build_kind('x', idempotent=False)],
                    'deep': [build_kind('x')],
                }
            )
            session = Session(document, ('ingress', 'one', 'two'))

            async def run_top(request: HttpRequest) -> HttpResponse:
                await session.call_nested('one', request, '/deep/x')
                return HttpResponse(503, ((OUTCOME_HEADER, 'not-run'),), b'')

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', answer_after(0.01))
            answer = await session.call('ingress', '/top/x', 'a')
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')

        run_virtually(scenario())


class MetricLabelTest(unittest.TestCase):
    """Names chosen by callers do not become metric labels."""

    def test_unknown_service_has_no_label(self) -> None:
        """A request to an unknown service is counted without its name."""

        async def scenario() -> None:
            session = create_read_write_session('one')
            await session.call('ingress', '/invented-name/x')
            metrics = session.nodes['ingress'].metrics.read_all()
            self.assertNotIn('invented-name', str(metrics))
            self.assertIn('404', str(metrics))

        run_virtually(scenario())
