"""Backend servers that drain, stop as planned or crash."""

import asyncio
import unittest

from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    READ_AND_WRITE,
    Session,
    create_read_write_session,
)
from merlintrail.protocol import REASON_HEADER, Reason
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse


class DrainTest(unittest.TestCase):
    """Calls while a node drains or a planned stop is near."""

    def test_draining_node_refuses_and_others_serve(self) -> None:
        """Refused calls are sent to another node; callers see no failure."""

        async def scenario() -> None:
            session = create_read_write_session('one', 'two')
            session.nodes['one'].gateway.is_draining = True
            for number in range(10):
                answer = await session.call(
                    'ingress', '/svc/write', str(number)
                )
                self.assertEqual(answer.status, 200)
            self.assertEqual(session.network.counts['one:svc'], 0)
            self.assertLessEqual(session.network.counts['one:2'], 1)

        run_virtually(scenario())

    def test_planned_stop_takes_no_call_that_outlasts_it(self) -> None:
        """Calls whose deadline is after the start of the stop are refused."""

        async def scenario() -> None:
            session = create_read_write_session('one')
            document = {
                **READ_AND_WRITE,
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
            node.lifecycle._check_planned_stop()  # noqa: SLF001
            answer = await session.call('ingress', '/svc/read', 'a')
            self.assertIn(
                get_header(answer, REASON_HEADER),
                {Reason.PLANNED_STOP.value, Reason.DRAINING.value},
            )
            self.assertEqual(session.executions['svc a'], 0)

        run_virtually(scenario())


class CrashTest(unittest.TestCase):
    """A request that crashes the backend servers that run it."""

    def test_at_most_two_servers_are_lost(self) -> None:
        """The crashing request is quarantined, harmless ones are served.

        It is sent repeatedly while harmless requests run at the same time.
        """

        async def scenario() -> None:
            servers = ('one', 'two', 'three', 'four')
            session = Session(READ_AND_WRITE, ('ingress', *servers))
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
                await self.share_suspicions(session)
            self.assertLessEqual(deaths, 2)
            answer = await session.call('ingress', '/svc/read', 'bad')
            self.assertEqual(
                get_header(answer, REASON_HEADER), Reason.QUARANTINED.value
            )
            answer = await session.call('ingress', '/svc/read', 'good 0')
            self.assertEqual(answer.status, 200, answer)

        run_virtually(scenario())

    async def share_suspicions(self, session: Session) -> None:
        """Merge every node's suspicions into the others, as gossip does."""
        for node in session.nodes.values():
            for other in session.nodes.values():
                for suspicion in node.quarantine.list_suspicions(0.0):
                    other.quarantine.merge(suspicion, 0.0)


if __name__ == '__main__':
    unittest.main()
