"""At-most-once execution: resends, moved slots and store failures."""

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
    """Return the name of the node that has acquired the slot."""
    for name, node in session.nodes.items():
        if any(slot.is_owned for slot in node.keyed.ledger._slots.values()):  # noqa: SLF001
            return name
    return ''


def _set_status(
    session: Session, name: str, status: MemberStatus, observers: Sequence[str]
) -> None:
    """Make observers believe that a member has a status."""
    for node_id in observers:
        table = session.nodes[node_id].table
        member = table.find(name)
        assert member is not None
        table.merge([member._replace(status=status, version=99)])


def _build_key(age_s: float) -> str:
    """Build a UUIDv7 that has an age at the start of a session."""
    timestamp = int((EPOCH_S - age_s) * 1000)
    return str(uuid.UUID(int=timestamp << 80 | 7 << 76 | 2 << 62 | 5))


class KeyedCallTest(unittest.TestCase):
    """Three nodes with one ledger slot and one backend server."""

    def test_resends_get_the_first_answer(self) -> None:
        """Resends arrive at every node, during and after the first run."""

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
        """A key reused with another body is refused, and nothing runs."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            answer = await _send(session, 'b', 'y')
            self.assertEqual(answer.status, 422)
            self.assertEqual(session.executions['svc y'], 0)

        run_virtually(scenario())

    def test_key_of_another_running_request_is_refused(self) -> None:
        """A key in use must not return the answer to its other request."""

        async def scenario() -> None:
            session = _create_session(0.5)
            first = asyncio.create_task(_send(session, 'a', 'x'))
            await asyncio.sleep(0.2)
            answer = await _send(session, 'b', 'y')
            self.assertEqual(answer.status, 422)
            self.assertEqual((await first).body, b'x')
            self.assertEqual(session.executions['svc y'], 0)

        run_virtually(scenario())

    def test_resend_after_the_deadline_of_the_caller(self) -> None:
        """A request that outlives its caller's deadline is not run again."""

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
        """Nothing runs during the outage; a resend after it runs once."""

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

    def test_append_whose_answer_is_lost(self) -> None:
        """Reading the log back settles it, and the request runs once."""

        async def scenario() -> None:
            session = _create_session()
            session.store.fault = WriteFault.ANSWER_LOST
            answer = await _send(session, 'a', 'x')
            self.assertEqual(answer.status, 200)
            await _send(session, 'b', 'x')
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_new_owner_does_not_run_it_again(self) -> None:
        """The owner is dead, so its successor answers ``may-have-run``."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            owner = _find_owner(session)
            _set_status(session, owner, MemberStatus.DEAD, _NAMES)
            session.network.refusing.add(f'{owner}:2')
            other = next(name for name in _NAMES if name != owner)
            answer = await _send(session, other, 'x')
            self.assertEqual(answer.status, 409)
            self.assertEqual(get_header(answer, OUTCOME_HEADER), 'may-have-run')
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_slot_moves_in_a_drain(self) -> None:
        """The previous owner is draining and still returns its answer."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            owner = _find_owner(session)
            _set_status(session, owner, MemberStatus.DRAINING, _NAMES)
            other = next(name for name in _NAMES if name != owner)
            answer = await _send(session, other, 'x')
            self.assertEqual((answer.status, answer.body), (200, b'x'))
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())

    def test_paused_owner_starts_nothing(self) -> None:
        """After it resumes, its append conflicts and it asks the new owner."""

        async def scenario() -> None:
            session = _create_session()
            await _send(session, 'a', 'x')
            owner = _find_owner(session)
            others = [name for name in _NAMES if name != owner]
            _set_status(session, owner, MemberStatus.SUSPECT, others)
            other = next(name for name in _NAMES if name != owner)
            await _send(session, other, 'y', 'key-2')
            answer = await _send(session, owner, 'y', 'key-2')
            self.assertEqual((answer.status, answer.body), (200, b'y'))
            self.assertEqual(session.executions['svc y'], 1)

        run_virtually(scenario())

    def test_ages_of_keys(self) -> None:
        """Only a recent key runs; an expired or future one is refused."""

        async def scenario() -> None:
            session = _create_session()
            for age_s, status in ((3600, 422), (-600, 422), (1, 200)):
                answer = await _send(session, 'a', 'x', _build_key(age_s))
                self.assertEqual(answer.status, status)
            self.assertEqual(session.executions['svc x'], 1)

        run_virtually(scenario())
