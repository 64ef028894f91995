"""At most once: resends, owners that move, a store that fails."""

import asyncio
import unittest
import uuid
from collections.abc import Sequence

from merlintrail.coordination.tests.fake_store import WriteFault
from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    EPOCH_S,
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.protocol import OUTCOME_HEADER, REASON_HEADER, Reason
from merlintrail.state import MemberStatus
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpResponse

_DOCUMENT = build_document(
    {'svc': [build_kind('credit', idempotent=False, deadline_ms=2000)]}
)
_NAMES = ('a', 'b', 'c')


def _create_session(service_s: float = 0.01) -> Session:
    session = Session(_DOCUMENT, _NAMES)
    session.add_backend('c', 'svc', answer_after(service_s))
    return session


async def _send(
    session: Session, name: str, body: str, key: str = 'key-1'
) -> HttpResponse:
    return await session.call(
        name, '/svc/credit', body, {'idempotency-key': key}
    )


def _find_owner(session: Session) -> str:
    """Return the node that has written the slot."""
    for name, node in session.nodes.items():
        if any(slot.is_owned for slot in node.keyed.ledger._slots.values()):  # noqa: SLF001
            return name
    return ''


def _tell_status(
    session: Session, name: str, status: MemberStatus, told: Sequence[str]
) -> None:
    """Let nodes believe a member to be in a state."""
    for node_id in told:
        table = session.nodes[node_id].table
        known = table.find(name)
        assert known is not None
        table.merge([known._replace(status=status, version=99)])


def _build_key(age_s: float) -> str:
    """Build a UUIDv7 of an age at the beginning of a session."""
    timestamp = int((EPOCH_S - age_s) * 1000)
    return str(uuid.UUID(int=timestamp << 80 | 7 << 76 | 2 << 62 | 5))


class KeyedCallTest(unittest.TestCase):
    """Three nodes, one slot, one backend server."""

    def test_resends_get_the_first_answer(self) -> None:
        """At every node, after and during the first run."""

        async def scenario() -> None:
            session = _create_session()
            answers = await asyncio.gather(
                *(_send(session, name, 'x') for name in _NAMES)
            )
            answers.append(await _send(session, 'b', 'x'))
            for answer in answers:
                self.assertEqual((answer.status, answer.body), (200, b'x'))
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_key_of_another_request_is_refused(self) -> None:
        """The same key with another body."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            answer = await _send(session, 'b', 'y')
            self.assertEqual(answer.status, 422)
            self.assertEqual(session.executions['svc y'], 0)

        run_virtually(scenario())

    def test_resend_after_a_slow_confirmation(self) -> None:
        """The first caller gave up; its request ends and is not run again."""

        async def scenario() -> None:
            session = _create_session(service_s=1.0)
            first = await session.call(
                'a',
                '/svc/credit',
                'x',
                {
                    'idempotency-key': 'k',
                    'merlintrail-deadline-ms': '200',
                },
            )
            self.assertEqual(get_header(first, OUTCOME_HEADER), 'may-have-run')
            second = await _send(session, 'b', 'x', 'k')
            self.assertEqual((second.status, second.body), (200, b'x'))
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_store_outage_refuses_promptly(self) -> None:
        """Nothing runs, the caller is told so, and later it runs once."""

        async def scenario() -> None:
            for fault in (WriteFault.REFUSED, WriteFault.LOST):
                session = _create_session()
                session.store.fault = fault
                answer = await _send(session, 'a', 'x')
                self.assertEqual(
                    get_header(answer, REASON_HEADER),
                    Reason.LEDGER_UNAVAILABLE.value,
                )
                self.assertEqual(session.executions['svc x'], 0)
                session.store.fault = WriteFault.NONE
                await asyncio.sleep(3)
                answer = await _send(session, 'a', 'x')
                self.assertEqual(answer.status, 200)
                self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_append_taken_with_its_answer_lost(self) -> None:
        """Settled by reading back: it runs, once."""

        async def scenario() -> None:
            session = _create_session()
            session.store.fault = WriteFault.ANSWER_LOST
            answer = await _send(session, 'a', 'x')
            self.assertEqual(answer.status, 200)
            await _send(session, 'b', 'x')
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_new_owner_never_runs_it_again(self) -> None:
        """The owner is gone: its successor refuses with the truth."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            owner = _find_owner(session)
            _tell_status(session, owner, MemberStatus.DEAD, _NAMES)
            session.network.refusing.add(f'{owner}:2')
            other = next(name for name in _NAMES if name != owner)
            answer = await _send(session, other, 'x')
            self.assertEqual(answer.status, 409)
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_slot_moves_in_a_drain(self) -> None:
        """The earlier owner still lives: its answer is recalled."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            owner = _find_owner(session)
            _tell_status(session, owner, MemberStatus.DRAINING, _NAMES)
            other = next(name for name in _NAMES if name != owner)
            answer = await _send(session, other, 'x')
            self.assertEqual((answer.status, answer.body), (200, b'x'))
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_paused_owner_starts_nothing(self) -> None:
        """It wakes, believes to own the slot, collides and asks its successor."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            owner = _find_owner(session)
            others = [name for name in _NAMES if name != owner]
            _tell_status(session, owner, MemberStatus.SUSPECT, others)
            other = next(name for name in _NAMES if name != owner)
            await _send(session, other, 'y', 'key-2')
            answer = await _send(session, owner, 'y', 'key-2')
            self.assertEqual((answer.status, answer.body), (200, b'y'))
            self.assertEqual(session.executions['svc y'], 1)

        run_virtually(scenario())

    def test_ages_of_keys(self) -> None:
        """A key that may be forgotten is refused, one of today runs."""

        async def scenario() -> None:
            session = _create_session()
            for age_s, status in ((3600, 422), (-600, 422), (1, 200)):
                answer = await _send(session, 'a', 'x', _build_key(age_s))
                self.assertEqual(answer.status, status)
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())
