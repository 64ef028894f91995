"""Nodes that start together make few calls to the store."""

import asyncio
import unittest
from collections import Counter

from merlintrail.coordination import CONFIGURATION_KEY, build_relay_key
from merlintrail.node import Node
from merlintrail.node.tests.session import Session, build_document, build_kind
from merlintrail.state import Envelope
from merlintrail.testing import run_virtually

_DOCUMENT = build_document({'svc': [build_kind('read')]})
_PLACES = ('north', 'east', 'south', 'west')
#: Seconds within which nodes that all restart know each other again.
_REJOIN_S = 0.5
#: Seconds within which all nodes know each other.
_START_S = 8.0


def _create_session() -> Session:
    """Create a session without nodes, whose store has the configuration."""
    session = Session(_DOCUMENT, ())
    envelope = Envelope(1, 'change-1', 'op', 0.0, _DOCUMENT)
    session.store.swap(CONFIGURATION_KEY, envelope._asdict(), 0)
    return session


def _start_node(session: Session, name: str) -> Node:
    """Start a node that knows no others."""
    node = session.add_node(name)
    node.start_task('join', node.join)
    node.start_task('heartbeats', node.heartbeats.run)
    node.start_task('relay', node.run_relay)
    node.start_task('archive', node.run_archive)
    return node


async def _start_nodes(count: int) -> tuple[Counter[str], list[int]]:
    """Start nodes of one data centre that know no others.

    :returns: the calls to the store by kind, and the number of members that
        each node knows in the end.
    """
    session = _create_session()
    nodes = [_start_node(session, f'node-{number}') for number in range(count)]
    await asyncio.sleep(_START_S)
    known = [len(member.table.list_active()) for member in nodes]
    await asyncio.gather(*(started.stop() for started in nodes))
    return session.store.counts, known


def _create_regions() -> Session:
    """Create a session without nodes, whose store lists two relays a region.

    The relays are those of a run that ended a moment ago.
    """
    session = _create_session()
    session.data_centres = {
        f'{place}-{number}': place for place in _PLACES for number in range(4)
    }
    for place in _PLACES:
        for slot in range(2):
            relay = {'address': f'{place}-{slot}:2', 'incarnation': 1}
            session.store.swap(build_relay_key(place, slot), relay, 0)
    return session


class StartTogetherTest(unittest.TestCase):
    """All nodes of a data centre start at the same moment, or one later."""

    def test_configuration_of_neighbours(self) -> None:
        """A node that starts later reads no configuration from the store."""

        async def scenario() -> None:
            session = _create_session()
            nodes = [_start_node(session, name) for name in ('a', 'b', 'c')]
            await asyncio.sleep(_START_S)
            session.store.counts.clear()
            nodes.append(_start_node(session, 'd'))
            await asyncio.sleep(1.0)
            self.assertEqual(nodes[-1].holder.generation, 1)
            self.assertEqual(session.store.counts['read'], 0)
            await asyncio.gather(*(started.stop() for started in nodes))

        run_virtually(scenario())

    def test_configuration_of_the_store(self) -> None:
        """Nodes that start together soon have it, whoever reads it."""

        async def scenario() -> None:
            session = _create_session()
            nodes = [_start_node(session, f'n{number}') for number in range(9)]
            await asyncio.sleep(1.2)
            generations = {started.holder.generation for started in nodes}
            self.assertEqual(generations, {1})
            await asyncio.gather(*(started.stop() for started in nodes))

        run_virtually(scenario())

    def test_data_centres_know_each_other(self) -> None:
        """After a restart of all nodes each soon knows those of all places."""

        async def scenario() -> None:
            session = _create_regions()
            names = tuple(session.data_centres)
            nodes = [_start_node(session, name) for name in names]
            await asyncio.sleep(_REJOIN_S)
            known = [len(started.table.list_active()) for started in nodes]
            self.assertEqual(known, [len(names)] * len(names))
            await asyncio.gather(*(started.stop() for started in nodes))

        run_virtually(scenario())

    def test_calls_to_the_store(self) -> None:
        """Each node reads the configuration; few do anything else.

        Writes and leases are those of the two relays and of nodes that try
        for a slot at the same time.
        """
        for count in (8, 40):
            with self.subTest(count=count):
                calls, known = run_virtually(_start_nodes(count))
                self.assertEqual(known, [count] * count)
                self.assertLessEqual(calls['write'], 8)
                self.assertLessEqual(calls['lease'], 8)
                self.assertLessEqual(calls['read'], 2 * count + 8)
