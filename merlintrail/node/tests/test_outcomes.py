"""What callers are told, when connections and nodes fail."""

import asyncio
import unittest

from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.protocol import (
    OUTCOME_HEADER,
    REASON_HEADER,
    InquiryState,
    Reason,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_DOCUMENT = build_document(
    {
        'svc': [
            build_kind('read', deadline_ms=2000),
            build_kind('write', idempotent=False, deadline_ms=2000),
        ]
    }
)


def _create_session(*servers: str) -> Session:
    session = Session(_DOCUMENT, ('ingress', *servers))
    for name in servers:
        session.add_backend(name, 'svc', answer_after(0.01))
    return session


class InquiryTest(unittest.TestCase):
    """``not-run`` is proved by inquiry and tombstone."""

    def test_swallowed_call_is_sent_again(self) -> None:
        """A pooled connection swallows the call: proved, sent anew, run once.

        The peer is well, so the only backend server there is gets it.
        """

        async def scenario() -> None:
            session = _create_session('one')
            session.network.swallowing.add('one:2')
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await session.call('ingress', '/svc/write', 'a')
            self.assertEqual((answer.status, answer.body), (200, b'a'))
            self.assertLess(loop.time() - started_at, 1.0)
            self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())

    def test_lost_answer_is_fetched(self) -> None:
        """The call ran and its answer is lost: it is not run again."""

        async def scenario() -> None:
            for fault in ('losing', 'deaf'):
                session = _create_session('one', 'two')
                for address in ('one:2', 'two:2'):
                    if fault == 'losing':
                        session.network.losing[address] = 1
                    else:
                        session.network.deaf.add(address)
                answer = await session.call('ingress', '/svc/write', 'a')
                self.assertEqual((answer.status, answer.body), (200, b'a'))
                self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())

    def test_silent_node_gives_may_have_run(self) -> None:
        """No word at all: a non-idempotent call goes nowhere else."""

        async def scenario() -> None:
            session = _create_session('one')
            session.network.silent.add('one:2')
            answer = await session.call('ingress', '/svc/write', 'a')
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')

        run_virtually(scenario())

    def test_silent_node_costs_an_idempotent_call_nothing(self) -> None:
        """It is tried elsewhere within its deadline."""

        async def scenario() -> None:
            session = _create_session('one', 'two')
            session.network.silent.add('one:2')
            for number in range(8):
                answer = await session.call('ingress', '/svc/read', str(number))
                self.assertEqual(answer.status, 200)

        run_virtually(scenario())

    def test_not_run_counts_every_attempt(self) -> None:
        """One attempt may have run: the refusal of the next proves nothing."""

        async def scenario() -> None:
            for _ in range(4):
                session = _create_session('one', 'two')
                session.network.silent.add('one:2')
                session.nodes['two'].gatekeeper.is_draining = True
                answer = await session.call('ingress', '/svc/read', 'a')
                if session.network.counts['one:2']:
                    self.assertEqual(
                        get_header(answer, OUTCOME_HEADER), 'may-have-run'
                    )

        run_virtually(scenario())

    def test_orders_of_call_and_inquiry(self) -> None:
        """Every order of arrival, duplicate and inquiry is consistent."""

        async def scenario() -> None:
            session = _create_session('one')
            calls = session.nodes['one'].calls
            self.assertIsNone(calls.begin('early'))
            self.assertEqual(calls.inquire('early').state, InquiryState.RUNNING)
            self.assertEqual(calls.begin('early'), InquiryState.RUNNING)
            calls.finish('early', HttpResponse(200, (), b'x'))
            self.assertEqual(
                calls.inquire('early').state, InquiryState.FINISHED
            )
            self.assertEqual(calls.begin('early'), InquiryState.FINISHED)
            self.assertEqual(
                calls.inquire('late').state, InquiryState.TOMBSTONE
            )
            self.assertEqual(calls.begin('late'), InquiryState.TOMBSTONE)

        run_virtually(scenario())

    def test_other_incarnation_proves_nothing(self) -> None:
        """A restarted node cannot say what its predecessor did."""

        async def scenario() -> None:
            session = _create_session('one')
            node = session.nodes['one']
            session.network.losing['one:2'] = 1
            call = asyncio.create_task(
                session.call('ingress', '/svc/write', 'a')
            )
            await asyncio.sleep(0.005)
            service = node.peer_service
            service._parts = service._parts._replace(  # noqa: SLF001
                incarnation=node.incarnation + 1
            )
            answer = await call
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')
            self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())


class DeadlineTest(unittest.TestCase):
    """Deadlines and cancellation go down the chain."""

    def test_deadline_is_told_at_once(self) -> None:
        """The caller gets its answer at the deadline, not later."""

        async def scenario() -> None:
            session = Session(_DOCUMENT, ('ingress', 'one'))
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

    def test_work_below_stops_with_its_caller(self) -> None:
        """A caller that leaves ends the calls two hops below."""

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
                return await session.call_below('one', request, '/deep/x')

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', run_deep)
            call = asyncio.create_task(session.call('ingress', '/top/x'))
            await asyncio.sleep(0.1)
            call.cancel()
            await asyncio.sleep(0.05)
            self.assertTrue(ended.is_set())
            self.assertEqual(session.nodes['two'].gatekeeper.running, 0)

        run_virtually(scenario())


class RetryTest(unittest.TestCase):
    """Retries over the whole chain."""

    def test_thirteen_deep_with_a_failing_end(self) -> None:
        """The last of 13 services is lost: at most two further attempts."""

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
                    answer = await session.call_below(
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

    def test_own_repeats_of_a_backend_server_are_counted(self) -> None:
        """A backend server that calls again and again runs out."""

        async def scenario() -> None:
            document = build_document(
                {'top': [build_kind('x')], 'deep': [build_kind('x')]}
            )
            session = Session(document, ('ingress', 'one', 'two'))
            statuses: list[int] = []

            async def run_top(request: HttpRequest) -> HttpResponse:
                for _ in range(6):
                    answer = await session.call_below('one', request, '/deep/x')
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


class HonestyTest(unittest.TestCase):
    """What a backend server says is not believed against better knowledge."""

    def test_not_run_of_a_server_that_made_calls(self) -> None:
        """It says not-run, but a call below it has run."""

        async def scenario() -> None:
            document = build_document(
                {
                    'top': [build_kind('x', idempotent=False)],
                    'deep': [build_kind('x')],
                }
            )
            session = Session(document, ('ingress', 'one', 'two'))

            async def run_top(request: HttpRequest) -> HttpResponse:
                await session.call_below('one', request, '/deep/x')
                return HttpResponse(503, ((OUTCOME_HEADER, 'not-run'),), b'')

            session.add_backend('one', 'top', run_top)
            session.add_backend('two', 'deep', answer_after(0.01))
            answer = await session.call('ingress', '/top/x', 'a')
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')

        run_virtually(scenario())


class MetricLabelTest(unittest.TestCase):
    """What callers invent does not become a label."""

    def test_unknown_service_has_no_label(self) -> None:
        """A request to it is counted without its name."""

        async def scenario() -> None:
            session = _create_session('one')
            await session.call('ingress', '/invented-name/x')
            metrics = session.nodes['ingress'].metrics.read_all()
            self.assertNotIn('invented-name', str(metrics))
            self.assertIn('404', str(metrics))

        run_virtually(scenario())


class DrainTest(unittest.TestCase):
    """A draining backend server gets nothing new."""

    def test_draining_server_refuses_and_others_serve(self) -> None:
        """Refused as not run, tried elsewhere, nobody notices."""

        async def scenario() -> None:
            session = _create_session('one', 'two')
            session.nodes['one'].gatekeeper.is_draining = True
            for number in range(10):
                answer = await session.call(
                    'ingress', '/svc/write', str(number)
                )
                self.assertEqual(answer.status, 200)
            self.assertEqual(session.network.counts['one:svc'], 0)
            self.assertLessEqual(session.network.counts['one:2'], 1)

        run_virtually(scenario())

    def test_planned_stop_takes_no_call_that_outlasts_it(self) -> None:
        """Calls whose deadline lies beyond the start are refused."""

        async def scenario() -> None:
            session = _create_session('one')
            document = {
                **_DOCUMENT,
                'planned_stops': [
                    {
                        'id': 'x',
                        'instances': ['one'],
                        'starts_at': '2027-01-15T08:00:05+00:00',
                        'ends_at': '2027-01-15T09:00:00+00:00',
                    }
                ],
            }
            session.apply(document, 2)
            node = session.nodes['one']
            node.lifecycle._check_stop()  # noqa: SLF001
            answer = await session.call('ingress', '/svc/read', 'a')
            self.assertIn(
                get_header(answer, REASON_HEADER),
                {Reason.PLANNED_STOP.value, Reason.DRAINING.value},
            )
            self.assertEqual(session.executions['svc a'], 0)

        run_virtually(scenario())


class CrashTest(unittest.TestCase):
    """A request that crashes backend servers."""

    def test_at_most_two_servers_are_lost(self) -> None:
        """Sent again and again, while innocent calls run beside it."""

        async def scenario() -> None:
            servers = ('one', 'two', 'three', 'four')
            session = Session(_DOCUMENT, ('ingress', *servers))
            deaths = 0

            def create_backend(name: str) -> None:
                async def run(request: HttpRequest) -> HttpResponse:
                    nonlocal deaths  # noqa: WPS420
                    if request.body == b'bad':
                        deaths += 1
                        session.network.refusing.add(f'{name}:svc')
                        raise ConnectionAbortedError
                    await asyncio.sleep(0.02)
                    if f'{name}:svc' in session.network.refusing:
                        raise ConnectionAbortedError
                    return HttpResponse(200, (), request.body)

                session.add_backend(name, 'svc', run)

            for name in servers:
                create_backend(name)
            for attempt in range(12):
                good = asyncio.create_task(
                    session.call('ingress', '/svc/read', f'good {attempt}')
                )
                await session.call('ingress', '/svc/read', 'bad')
                await good
                await self.spread(session)
            self.assertLessEqual(deaths, 2)
            answer = await session.call('ingress', '/svc/read', 'bad')
            self.assertEqual(
                get_header(answer, REASON_HEADER), Reason.QUARANTINED.value
            )
            answer = await session.call('ingress', '/svc/read', 'good 0')
            self.assertEqual(answer.status, 200, answer)

        run_virtually(scenario())

    async def spread(self, session: Session) -> None:
        """Tell every node what the others suspect, as gossip does."""
        for node in session.nodes.values():
            for other in session.nodes.values():
                for suspicion in node.quarantine.list_suspicions(0.0):
                    other.quarantine.merge(suspicion, 0.0)


if __name__ == '__main__':
    unittest.main()
