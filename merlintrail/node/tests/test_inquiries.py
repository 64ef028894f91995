"""Outcomes that inquiries prove for calls without an answer."""

import asyncio
import unittest

from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    READ_AND_WRITE,
    answer_after,
    create_read_write_session,
)
from merlintrail.protocol import OUTCOME_HEADER, InquiryState
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpResponse


class InquiryTest(unittest.TestCase):
    """An inquiry and its tombstone prove that a call did not run."""

    def test_dropped_call_is_sent_again(self) -> None:
        """A call lost on a pooled connection is sent again and runs once.

        The peer works, so the call may go to the only backend server again.
        """

        async def scenario() -> None:
            session = create_read_write_session('one')
            session.network.dropping_requests.add('one:2')
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await session.call('ingress', '/svc/write', 'a')
            self.assertEqual((answer.status, answer.body), (200, b'a'))
            self.assertLess(loop.time() - started_at, 1.0)
            self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())

    def test_lost_answer_is_fetched(self) -> None:
        """A call that ran although its answer was lost is not run again."""

        async def scenario() -> None:
            for fault in ('connection lost', 'no response'):
                session = create_read_write_session('one', 'two')
                for address in ('one:2', 'two:2'):
                    if fault == 'connection lost':
                        session.network.answers_to_lose[address] = 1
                    else:
                        session.network.dropping_answers.add(address)
                answer = await session.call('ingress', '/svc/write', 'a')
                self.assertEqual((answer.status, answer.body), (200, b'a'))
                self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())

    def test_unresponsive_node_gives_may_have_run(self) -> None:
        """A non-idempotent call without any reply is not sent elsewhere."""

        async def scenario() -> None:
            session = create_read_write_session('one')
            session.network.unresponsive.add('one:2')
            answer = await session.call('ingress', '/svc/write', 'a')
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')

        run_virtually(scenario())

    def test_unresponsive_node_fails_no_idempotent_call(self) -> None:
        """The call is sent to another node within its deadline."""

        async def scenario() -> None:
            session = create_read_write_session('one', 'two')
            session.network.unresponsive.add('one:2')
            for number in range(8):
                answer = await session.call('ingress', '/svc/read', str(number))
                self.assertEqual(answer.status, 200)

        run_virtually(scenario())

    def test_slow_call_runs_once(self) -> None:
        """A peer that says that the call is running is waited for."""

        async def scenario() -> None:
            session = create_read_write_session()
            for name in ('one', 'two'):
                session.add_node(name)
                session.add_backend(name, 'svc', answer_after(1.2))
            session.apply(READ_AND_WRITE, 2)
            session.share_members()
            answer = await session.call('ingress', '/svc/read', 'a')
            self.assertEqual(answer.status, 200)
            self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())

    def test_not_run_counts_every_attempt(self) -> None:
        """After an attempt that may have run, ``not-run`` is not reported."""

        async def scenario() -> None:
            for _ in range(4):
                session = create_read_write_session('one', 'two')
                session.network.unresponsive.add('one:2')
                session.nodes['two'].gateway.is_draining = True
                answer = await session.call('ingress', '/svc/read', 'a')
                if session.network.counts['one:2']:
                    self.assertEqual(
                        get_header(answer, OUTCOME_HEADER), 'may-have-run'
                    )

        run_virtually(scenario())

    def test_orders_of_call_and_inquiry(self) -> None:
        """Calls, duplicates and inquiries are consistent in every order."""

        async def scenario() -> None:
            session = create_read_write_session('one')
            calls = session.nodes['one'].calls
            self.assertIsNone(calls.begin('early', 5.0))
            self.assertEqual(
                calls.find_or_tombstone('early').state, InquiryState.RUNNING
            )
            self.assertEqual(calls.begin('early', 5.0), InquiryState.RUNNING)
            calls.finish('early', HttpResponse(200, (), b'x'))
            self.assertEqual(
                calls.find_or_tombstone('early').state, InquiryState.FINISHED
            )
            self.assertEqual(calls.begin('early', 5.0), InquiryState.FINISHED)
            self.assertEqual(
                calls.find_or_tombstone('late').state, InquiryState.TOMBSTONE
            )
            self.assertEqual(calls.begin('late', 5.0), InquiryState.TOMBSTONE)

        run_virtually(scenario())

    def test_other_incarnation_proves_nothing(self) -> None:
        """A restarted node does not know what ran in its previous process."""

        async def scenario() -> None:
            session = create_read_write_session('one')
            node = session.nodes['one']
            session.network.answers_to_lose['one:2'] = 1
            call = asyncio.create_task(
                session.call('ingress', '/svc/write', 'a')
            )
            await asyncio.sleep(0.005)
            service = node.peer_service
            service._deps = service._deps._replace(  # noqa: SLF001
                incarnation=node.incarnation + 1
            )
            answer = await call
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')
            self.assertEqual(session.executions['svc a'], 1)

        run_virtually(scenario())
