"""Requests that crash backend servers, and harmless ones beside them."""

import asyncio
import unittest
from typing import Final

from merlintrail.node.backend._backend import DEFAULT_TTL_S, Announcement
from merlintrail.node.tests.crash_load import (
    MAX_LATE_DELIVERIES,
    CrashFigures,
    CrashLoad,
    CrashRun,
    Disturbance,
)
from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    EPOCH_S,
    READ_AND_WRITE,
    Session,
    answer_after,
)
from merlintrail.protocol import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Outcome,
    Reason,
)
from merlintrail.state import compute_digest
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_SEEDS = (1, 2, 3)


def _run(
    load: CrashLoad, disturb: Disturbance | None = None
) -> list[CrashFigures]:
    """Run a load with several seeds."""

    async def run_seed(seed: int) -> CrashFigures:
        return await CrashRun(load._replace(seed=seed)).run(disturb)

    return [run_virtually(run_seed(seed)) for seed in _SEEDS]


#: A route to two services.
_SPLIT: Final = {
    'format': 1,
    'services': [{'name': 'a', 'warmup_s': 0}, {'name': 'b', 'warmup_s': 0}],
    'routes': [
        {
            'name': 'split',
            'host': 'h',
            'prefix': '/p/',
            'split': [
                {'service': 'a', 'weight': 1},
                {'service': 'b', 'weight': 1},
            ],
            'importance': 'normal',
            'idempotent': False,
            'timeout_ms': 1000,
            'attempts': 1,
        }
    ],
    'regions': [{'name': 'one', 'data_centres': ['dc']}],
}


def suspect_all(session: Session, count: int) -> None:
    """Let requests with the bodies 0, 1 and so on be suspects of a crash."""
    digests = [
        compute_digest('svc', 'POST', '/write', f'{number}'.encode())
        for number in range(count)
    ]
    quarantine = session.nodes['one'].quarantine
    quarantine.record_crash('crash', digests, EPOCH_S, 600.0)


async def _fail(_: HttpRequest) -> HttpResponse:
    return HttpResponse(500, (), b'')


class CrashingRequestsTest(unittest.TestCase):
    """Deliveries later than three seconds after a request's third crash."""

    def assert_stopped(self, runs: list[CrashFigures]) -> None:
        """Check that each crashing request was stopped in every run."""
        for figures in runs:
            self.assertTrue(figures.crashes)
            self.assertLessEqual(
                figures.max_late_deliveries, MAX_LATE_DELIVERIES, figures
            )

    def test_several_crashing_requests_keep_each_other_from_quarantine(
        self,
    ) -> None:
        """Five of them run beside each other and beside harmless ones."""
        self.assert_stopped(
            _run(CrashLoad(crashing=5, crashing_interval_s=0.5))
        )

    def test_crash_that_closes_no_connection_is_not_noticed(self) -> None:
        """The backend server goes silent and comes back as a new run."""
        self.assert_stopped(_run(CrashLoad(is_silent=True)))

    def test_crash_of_a_server_that_is_back_at_once_is_not_noticed(
        self,
    ) -> None:
        """A new run announces itself before a connection is refused."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            node = session.nodes['one']

            async def crash(_: HttpRequest) -> HttpResponse:
                raise ConnectionAbortedError

            session.add_backend('one', 'svc', crash)
            run = Announcement('svc', 'one:svc', 4, identity='first')
            for identity in ('first', 'second'):
                node.gateway.registry.announce(
                    run._replace(identity=identity, started_at_ms=len(identity))
                )
                if identity == 'first':
                    await session.call('one', '/svc/write', 'bad')
            self.assertEqual(node.quarantine.count_suspects(), 1)

        run_virtually(scenario())

    def test_crash_of_a_server_that_never_returns_is_not_noticed(self) -> None:
        """Its announcement expires while its connections hang."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            registry = session.nodes['one'].gateway.registry
            session.add_backend('one', 'svc', answer_after(10.0))
            registry.announce(
                Announcement(
                    'svc', 'one:svc', 4, identity='only', started_at_ms=1
                )
            )
            await session.call('one', '/svc/write', 'bad')
            registry.report_expired()
            quarantine = session.nodes['one'].quarantine
            self.assertTrue(quarantine.is_empty)
            await asyncio.sleep(DEFAULT_TTL_S)
            registry.report_expired()
            self.assertEqual(quarantine.count_suspects(), 1)

        run_virtually(scenario())

    def test_failure_answered_in_its_place_clears_a_suspect(self) -> None:
        """A 500 does not prove that the request ran without a crash."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            session.add_backend('one', 'svc', _fail)
            quarantine = session.nodes['one'].quarantine
            digest = compute_digest('svc', 'POST', '/write', b'bad')
            quarantine.record_crash('crash', [digest], EPOCH_S, 600.0)
            answer = await session.call('one', '/svc/write', 'bad')
            self.assertEqual(answer.status, 500)
            self.assertEqual(quarantine.count_suspects(), 1)

        run_virtually(scenario())

    def test_suspect_that_waits_runs_after_its_quarantine(self) -> None:
        """Copies of it wait at a backend server, one runs at a time."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            runs = 0

            async def run(_: HttpRequest) -> HttpResponse:
                nonlocal runs  # noqa: WPS420
                runs += 1
                await asyncio.sleep(0.1)
                raise ConnectionAbortedError

            session.add_backend('one', 'svc', run)
            quarantine = session.nodes['one'].quarantine
            digest = compute_digest('svc', 'POST', '/write', b'bad')
            quarantine.record_crash('crash', [digest], EPOCH_S, 600.0)
            answers = await asyncio.gather(
                *(session.call('one', '/svc/write', 'bad') for _ in range(5))
            )
            self.assertEqual(runs, 1)
            reasons = [get_header(answer, REASON_HEADER) for answer in answers]
            self.assertEqual(reasons.count(Reason.QUARANTINED.value), 4)

        run_virtually(scenario())

    def test_requests_behind_a_suspect_get_no_answer_at_their_timeout(
        self,
    ) -> None:
        """Six of them, of which one runs at a time, for 0.9 s."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            session.add_backend('one', 'svc', answer_after(0.9))
            suspect_all(session, 6)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            answers = await asyncio.gather(
                *(
                    session.call('one', '/svc/write', f'{number}')
                    for number in range(6)
                )
            )
            self.assertLessEqual(loop.time() - began_at, 2.0)
            statuses = [answer.status for answer in answers]
            self.assertEqual(statuses.count(503) + statuses.count(200), 6)
            for answer in answers:
                if answer.status == 503:
                    outcome = get_header(answer, OUTCOME_HEADER)
                    self.assertEqual(outcome, Outcome.NOT_RUN.value)
                    self.assertGreater(get_header(answer, 'retry-after'), '0')

        run_virtually(scenario())

    def test_request_behind_a_suspect_reaches_a_server_that_drains(
        self,
    ) -> None:
        """The server announces it while the request waits."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            bodies: list[bytes] = []

            async def run(request: HttpRequest) -> HttpResponse:
                bodies.append(request.body)
                await asyncio.sleep(0.5)
                return HttpResponse(200, (), b'')

            session.add_backend('one', 'svc', run)
            suspect_all(session, 2)
            calls = asyncio.gather(
                session.call('one', '/svc/write', '0'),
                session.call('one', '/svc/write', '1'),
            )
            await asyncio.sleep(0.1)
            registry = session.nodes['one'].gateway.registry
            registry.announce(Announcement('svc', 'one:svc', 4, is_ready=False))
            answers = await calls
            self.assertEqual(bodies, [b'0'])
            self.assertEqual([answer.status for answer in answers], [200, 503])

        run_virtually(scenario())

    def test_node_that_was_cut_off_never_learns_of_a_quarantine(self) -> None:
        """Nodes are cut off from the others one after the other."""

        async def cut_off_in_turn(run: CrashRun) -> None:
            for name in run.servers:
                run.session.network.partitions[name] = 1
                await asyncio.sleep(5)
                run.session.network.partitions.clear()
                await asyncio.sleep(3)

        self.assert_stopped(
            _run(
                CrashLoad(
                    servers=6,
                    crashing_interval_s=0.3,
                    harmless_interval_s=0.1,
                    duration_s=50,
                ),
                cut_off_in_turn,
            )
        )

    def test_quarantine_is_forgotten_when_all_nodes_are_killed(self) -> None:
        """They start again with nothing but the store."""

        async def kill_all_nodes(run: CrashRun) -> None:
            names = tuple(run.servers)
            for _ in range(4):
                await asyncio.sleep(4)
                for name in names:
                    run.kill_node(name)
                await asyncio.sleep(1)
                for name in names:
                    run.start_node(name)

        self.assert_stopped(
            _run(
                CrashLoad(crashing_interval_s=0.3, harmless_interval_s=0.1),
                kill_all_nodes,
            )
        )

    def test_split_route_gives_a_request_several_counts(self) -> None:
        """Its crashes in the backend servers of two services add up."""

        async def scenario() -> None:
            session = Session(_SPLIT, ('ingress', 'a', 'b'))

            async def crash(_: HttpRequest) -> HttpResponse:
                raise ConnectionAbortedError

            for name in ('a', 'b'):
                session.add_backend(name, name, crash)
            for _ in range(10):
                await session.call(
                    'ingress', '/p/x', 'bad', {'host': 'h'}, 'POST'
                )
                await asyncio.sleep(1)
            runs = session.executions
            self.assertEqual(runs['a bad'] + runs['b bad'], 2, runs)

        run_virtually(scenario())


class HarmlessRequestsTest(unittest.TestCase):
    """Backend servers crash for other reasons than the requests."""

    def test_request_that_ran_during_the_crash_is_not_cleared(self) -> None:
        """A copy of it ran elsewhere at that time and completed."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('one',))
            session.add_backend('one', 'svc', answer_after(0.1))
            quarantine = session.nodes['one'].quarantine
            digest = compute_digest('svc', 'POST', '/write', b'good')
            call = asyncio.create_task(
                session.call('one', '/svc/write', 'good')
            )
            await asyncio.sleep(0.05)
            quarantine.record_crash('crash', [digest], EPOCH_S, 600.0)
            await call
            self.assertEqual(quarantine.count_suspects(), 0)

        run_virtually(scenario())

    def test_one_crash_counts_for_each_lost_connection(self) -> None:
        """Two equal requests that run alone in it are one suspect."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('ingress', 'one'))
            crashed = asyncio.Event()

            async def run(_: HttpRequest) -> HttpResponse:
                await crashed.wait()
                raise ConnectionAbortedError

            session.add_backend('one', 'svc', run)
            calls = [
                asyncio.create_task(
                    session.call('ingress', '/svc/write', 'same')
                )
                for _ in range(2)
            ]
            await asyncio.sleep(0.1)
            session.network.refusing.add('one:svc')
            crashed.set()
            await asyncio.gather(*calls)
            suspicions = session.nodes['one'].quarantine.list_suspicions(0.0)
            self.assertEqual([len(held.crashes) for held in suspicions], [1])

        run_virtually(scenario())

    def test_harmless_requests_are_quarantined_for_crashes_of_others(
        self,
    ) -> None:
        """At most 5 and one in 500 may be refused without a reason."""
        runs = _run(
            CrashLoad(
                crashing=0, other_crash_interval_s=0.4, harmless_bodies=40
            )
        )
        sent = sum(figures.harmless_sent for figures in runs)
        refused = sum(figures.harmless_quarantined for figures in runs)
        self.assertLessEqual(refused, 5 + sent / 500)
