"""Recovery when all nodes of a fleet start at the same time."""

import asyncio
import unittest

from merlintrail.coordination import (
    CONFIGURATION_KEY,
    StoreValue,
    build_relay_key,
)
from merlintrail.node.tests.session import Session, build_document, build_kind
from merlintrail.state import Envelope
from merlintrail.testing import run_virtually

_DOCUMENT = build_document({'svc': [build_kind('read')]})
_NAMES = ('three', 'four', 'five')
#: Seconds within which another node takes the slot of a relay whose lease has
#: ended: the lease's duration and a few attempts.
_TAKEOVER_S = 20.0


def _create_session() -> Session:
    """Create restarted nodes and a store that still lists dead relays."""
    session = Session(_DOCUMENT, ())
    envelope = Envelope(7, 'change-7', 'op', 0.0, _DOCUMENT)
    session.store.swap(CONFIGURATION_KEY, envelope._asdict(), 0)
    for slot, name in enumerate(_NAMES[:2]):
        session.store.swap(
            build_relay_key('dc', slot),
            {'address': f'{name}:2', 'incarnation': 1},
            0,
        )
    for name in _NAMES:
        session.add_node(name)
    return session


class RecoveryTest(unittest.TestCase):
    """All processes were killed and start again at the same addresses."""

    def test_configuration_is_applied_at_once(self) -> None:
        """The nodes join each other, but none has the configuration yet.

        Each must fetch it from the store.
        """

        async def scenario() -> None:
            session = _create_session()
            joining = [
                asyncio.create_task(node.join())
                for node in session.nodes.values()
            ]
            await asyncio.sleep(0.5)
            for started in session.nodes.values():
                self.assertEqual(started.holder.generation, 7)
            for task in joining:
                task.cancel()

        run_virtually(scenario())

    def test_slots_of_dead_relays_are_taken_over(self) -> None:
        """Restarted nodes take them over before the old leases expire."""

        async def scenario() -> None:
            session = _create_session()
            tasks = []
            for node in session.nodes.values():
                tasks.append(asyncio.create_task(node.join()))
                tasks.append(asyncio.create_task(node.run_relay()))
            await asyncio.sleep(3)
            self.assertTrue(
                any(
                    started.membership.own.is_relay
                    for started in session.nodes.values()
                )
            )
            for slot in range(2):
                entry = session.store.documents[build_relay_key('dc', slot)]
                assert isinstance(entry, StoreValue)
                if entry.document['incarnation'] != 1:
                    break
            else:
                self.fail('both relay slots still belong to dead processes')
            for task in tasks:
                task.cancel()

        run_virtually(scenario())

    def test_slot_of_a_relay_that_cannot_renew_is_taken_over(self) -> None:
        """It counts as a relay only while its lease is confirmed."""

        async def scenario() -> None:
            session = _create_session()
            tasks = []
            for node in session.nodes.values():
                tasks.append(asyncio.create_task(node.join()))
                tasks.append(asyncio.create_task(node.run_relay()))
                tasks.append(asyncio.create_task(node.heartbeats.run()))
            await asyncio.sleep(5)
            key = build_relay_key('dc', 0)
            first_lease = session.store.leases[key]
            session.store.lose_lease(key)
            await asyncio.sleep(_TAKEOVER_S)
            self.assertNotEqual(session.store.leases.get(key), None)
            self.assertNotEqual(session.store.leases[key], first_lease)
            for task in tasks:
                task.cancel()

        run_virtually(scenario())
