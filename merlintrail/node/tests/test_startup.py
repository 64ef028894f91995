"""Requests that reach a node before it knows configuration and servers.

The load is that of the restart of a whole fleet: callers send at once, and the
configuration and the records of the other nodes follow within a second.
"""

import asyncio
import unittest
from typing import Final

from merlintrail.coordination import CONFIGURATION_KEY
from merlintrail.node import Node
from merlintrail.node.tests.session import READ_AND_WRITE, Session, answer_after
from merlintrail.protocol import DEADLINE_HEADER, OUTCOME_HEADER, Outcome
from merlintrail.state import Envelope
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_OK: Final = 200
_UNAVAILABLE: Final = 503
#: Seconds for which a request without objective may be held at most, half of
#: the deadline of its kind.
_MAX_HELD_S: Final = 1.0


def _start_node(session: Session, name: str) -> Node:
    """Start a node that knows no configuration and no others."""
    node = session.add_node(name)
    node.dispatcher.startup.begin()
    return node


def _start_with_tasks(session: Session, name: str) -> Node:
    """Start a node with the tasks by which it finds the others."""
    node = _start_node(session, name)
    node.start_task('join', node.join)
    node.start_task('heartbeats', node.heartbeats.run)
    node.start_task('relay', node.run_relay)
    return node


def _create_session() -> Session:
    """Create a session without nodes, whose store has the configuration."""
    session = Session(READ_AND_WRITE, ())
    envelope = Envelope(1, 'change-1', 'op', 0.0, READ_AND_WRITE)
    session.store.swap(CONFIGURATION_KEY, envelope._asdict(), 0)
    return session


async def _call(session: Session, name: str) -> tuple[HttpResponse, float]:
    """Send one request; return the answer and the seconds it took."""
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    answer = await session.call(name, '/svc/read', 'body')
    return answer, loop.time() - sent_at


class StartupTest(unittest.TestCase):
    """A request that arrives right after the start of its node."""

    def test_configuration_arrives(self) -> None:
        """The request is served as soon as the configuration is there."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('server',))
            session.add_backend('server', 'svc', answer_after(0.01))
            _start_node(session, 'entry')
            call = asyncio.create_task(_call(session, 'entry'))
            await asyncio.sleep(0.2)
            session.apply(READ_AND_WRITE, 1)
            session.share_members()
            answer, duration_s = await call
            self.assertEqual(answer.status, _OK)
            self.assertLess(duration_s, 0.25)

        run_virtually(scenario())

    def test_server_becomes_known(self) -> None:
        """The request is served by the first server that becomes known."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('entry', 'server'))
            session.nodes['entry'].dispatcher.startup.begin()
            call = asyncio.create_task(_call(session, 'entry'))
            await asyncio.sleep(0.3)
            session.add_backend('server', 'svc', answer_after(0.01))
            answer, duration_s = await call
            self.assertEqual(answer.status, _OK)
            self.assertLess(duration_s, 0.35)

        run_virtually(scenario())

    def test_whole_fleet_starts(self) -> None:
        """Nodes with a server each serve what arrives from the first moment."""

        async def scenario() -> None:
            session = _create_session()
            names = [f'node-{number}' for number in range(24)]
            nodes = [_start_with_tasks(session, name) for name in names]
            for server in names:
                session.announce_backend(server, 'svc', answer_after(0.01))
            answers = await asyncio.gather(
                *(_call(session, name) for name in names)
            )
            await asyncio.gather(*(started.stop() for started in nodes))
            statuses = [answer.status for answer, _ in answers]
            self.assertEqual(statuses, [_OK] * len(names))
            self.assertLess(max(duration for _, duration in answers), 1.0)

        run_virtually(scenario())

    def test_time_of_the_caller(self) -> None:
        """The time for which a request is held counts against its deadline."""

        async def scenario() -> None:
            remaining_ms: list[float] = []

            async def serve(request: HttpRequest) -> HttpResponse:
                remaining_ms.append(float(request.headers[DEADLINE_HEADER]))
                return HttpResponse(_OK, (), b'')

            session = Session(READ_AND_WRITE, ('server',))
            session.add_backend('server', 'svc', serve)
            _start_node(session, 'entry')
            call = asyncio.create_task(
                session.call(
                    'entry', '/svc/read', 'body', {DEADLINE_HEADER: '1000'}
                )
            )
            await asyncio.sleep(0.4)
            session.apply(READ_AND_WRITE, 1)
            session.share_members()
            self.assertEqual((await call).status, _OK)
            self.assertLessEqual(remaining_ms[0], 600.0)

        run_virtually(scenario())

    def test_nothing_arrives(self) -> None:
        """The caller is told in time that the request has not run."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('entry',))
            session.nodes['entry'].dispatcher.startup.begin()
            answer, duration_s = await _call(session, 'entry')
            self.assertEqual(answer.status, _UNAVAILABLE)
            self.assertEqual(
                answer.find_header(OUTCOME_HEADER), Outcome.NOT_RUN.value
            )
            self.assertLessEqual(duration_s, _MAX_HELD_S)

        run_virtually(scenario())

    def test_node_that_has_run_for_long(self) -> None:
        """A service that has no servers is refused at once."""

        async def scenario() -> None:
            session = Session(READ_AND_WRITE, ('entry',))
            session.nodes['entry'].dispatcher.startup.begin()
            await asyncio.sleep(60.0)
            answer, duration_s = await _call(session, 'entry')
            self.assertEqual(answer.status, _UNAVAILABLE)
            self.assertEqual(duration_s, 0.0)

        run_virtually(scenario())
