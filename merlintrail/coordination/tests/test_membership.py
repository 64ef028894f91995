"""Nodes that learn of each other over peers in memory."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Iterable
from typing import Any

from merlintrail.coordination import (
    Heartbeats,
    Knowledge,
    Membership,
    PeerClient,
    choose_neighbours,
)
from merlintrail.protocol import DecodeFailure, decode_json, encode_json
from merlintrail.state import (
    ConfigurationHolder,
    Envelope,
    Member,
    MemberStatus,
    MemberTable,
    Quarantine,
    ServiceOffer,
    Suspicion,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import FailureStage, TransportFailure

_DOCUMENT = {
    'format': 1,
    'services': [
        {
            'name': 'svc',
            'kinds': [
                {
                    'name': 'x',
                    'path': '/x',
                    'importance': 'low',
                    'idempotent': True,
                    'deadline_ms': 5,
                }
            ],
        }
    ],
    'regions': [{'name': 'r', 'data_centres': ['a', 'b']}],
}


class _World:
    """Nodes, and which pairs of them can talk."""

    def __init__(self) -> None:
        self.nodes: dict[str, _PeerNode] = {}
        self.paused: set[str] = set()
        #: Groups that cannot reach each other.
        self.sides: dict[str, int] = {}
        self.bytes_sent: Counter[str] = Counter()

    def can_talk(self, sender: str, receiver: str) -> bool:
        """Tell whether a message arrives."""
        is_up = receiver in self.nodes
        is_awake = not self.paused & {sender, receiver}
        return (
            is_up
            and is_awake
            and self.sides.get(sender) == self.sides.get(receiver)
        )

    def add(self, name: str, data_centre: str, incarnation: int = 1) -> None:
        """Start a node that joins through any other."""
        contacts = [other for other in self.nodes if other != name]
        node = _PeerNode(self, name, data_centre, incarnation)
        self.nodes[name] = node
        node.start(contacts[:2])

    def kill(self, name: str) -> None:
        """End a node without a word."""
        self.nodes.pop(name).stop()

    def count_views(self, name: str, status: MemberStatus) -> int:
        """Count the nodes that see a member in a state."""
        views = [
            node.table.find(name)
            for other, node in self.nodes.items()
            if other != name
        ]
        return sum(
            1 for view in views if view is not None and view.status == status
        )

    def have_same_view(self, names: Iterable[str]) -> bool:
        """Tell whether nodes know the same."""
        return len({self.nodes[name].table.digest for name in names}) == 1

    def stop(self) -> None:
        """End every node."""
        for node in self.nodes.values():
            node.stop()


class _FakePeers(PeerClient):
    """Messages of one node, through JSON as on the wire."""

    def __init__(self, world: _World, name: str) -> None:
        self._world = world
        self._name = name

    async def ask(
        self,
        address: str,
        subject: str,
        document: object,
        *,
        timeout_s: float,
        is_fresh: bool = False,
    ) -> Any:
        """Deliver a message unless the two are apart."""
        payload = encode_json(document)
        self._world.bytes_sent[self._name] += len(payload)
        await asyncio.sleep(0.002)
        if not self._world.can_talk(self._name, address):
            await asyncio.sleep(timeout_s)
            return TransportFailure(FailureStage.ANSWER, 'timeout')
        node = self._world.nodes[address]
        answer = encode_json(node.handle(subject, decode_json(payload)))
        self._world.bytes_sent[address] += len(answer)
        await asyncio.sleep(0.002)
        return decode_json(answer)


class _PeerNode:
    """The part of a node that keeps membership."""

    def __init__(
        self, world: _World, name: str, data_centre: str, incarnation: int
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.table = MemberTable(clock)
        self.holder = ConfigurationHolder()
        self.quarantine = Quarantine()
        own = Member(
            name,
            incarnation,
            1,
            MemberStatus.ALIVE,
            data_centre,
            name,
            name,
            (ServiceOffer('svc', 4),),
        )
        self.membership = Membership(
            own,
            Knowledge(self.table, self.holder, self.quarantine),
            clock,
            clock,
        )
        self.heartbeats = Heartbeats(
            self.membership,
            _FakePeers(world, name),
            clock,
            random.Random(name),
        )
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self, contacts: Iterable[str]) -> None:
        """Join and keep in touch."""

        async def run() -> None:
            for contact in contacts:
                await self.heartbeats.join(contact)
            await self.heartbeats.run()

        self._tasks.append(asyncio.create_task(run()))

    def stop(self) -> None:
        """End at once."""
        for task in self._tasks:
            task.cancel()

    def handle(self, subject: str, document: Any) -> object:
        """Answer a message."""
        if subject == 'gossip':
            answer = self.heartbeats.handle_gossip(document)
            assert not isinstance(answer, DecodeFailure)
            return dict(answer)
        if subject == 'configuration':
            difference = self.heartbeats.handle_configuration(document)
            return None if difference is None else difference._asdict()
        if subject == 'join':
            return self.heartbeats.handle_join(document)
        return self.heartbeats.handle_comparison(document)


async def _start_world(size: int = 8) -> _World:
    world = _World()
    for number in range(size):
        world.add(f'n{number}', 'ab'[number % 2])
    await asyncio.sleep(5)
    return world


class MembershipTest(unittest.TestCase):
    """Eight nodes in two data centres, in virtual time."""

    def test_nodes_learn_of_each_other(self) -> None:
        """All know all, and a new one is known within 2 s."""

        async def scenario() -> None:
            world = await _start_world()
            self.assertTrue(world.have_same_view(world.nodes))
            world.add('late', 'a')
            await asyncio.sleep(2)
            self.assertEqual(world.count_views('late', MemberStatus.ALIVE), 8)
            world.stop()

        run_virtually(scenario())

    def test_failed_node_is_left_within_five_seconds(self) -> None:
        """Every node stops routing to it."""

        async def scenario() -> None:
            world = await _start_world()
            world.kill('n3')
            await asyncio.sleep(5)
            self.assertEqual(world.count_views('n3', MemberStatus.ALIVE), 0)
            await asyncio.sleep(2)
            self.assertEqual(world.count_views('n3', MemberStatus.DEAD), 7)
            world.stop()

        run_virtually(scenario())

    def test_restart_with_a_new_incarnation(self) -> None:
        """The same name and address, known as alive again."""

        async def scenario() -> None:
            world = await _start_world()
            world.kill('n3')
            await asyncio.sleep(1)
            world.add('n3', 'b', incarnation=2)
            await asyncio.sleep(6)
            self.assertEqual(world.count_views('n3', MemberStatus.ALIVE), 7)
            self.assertTrue(world.have_same_view(world.nodes))
            world.stop()

        run_virtually(scenario())

    def test_paused_node_wakes_and_refutes(self) -> None:
        """It was counted dead, and is alive again by a higher version."""

        async def scenario() -> None:
            world = await _start_world()
            world.paused.add('n3')
            await asyncio.sleep(8)
            self.assertEqual(world.count_views('n3', MemberStatus.DEAD), 7)
            world.paused.clear()
            await asyncio.sleep(25)
            self.assertEqual(world.count_views('n3', MemberStatus.ALIVE), 7)
            world.stop()

        run_virtually(scenario())

    def test_false_suspicion_is_refuted(self) -> None:
        """One node claims that another is silent; it is not."""

        async def scenario() -> None:
            world = await _start_world()
            world.nodes['n0'].membership.suspect('n5')
            await asyncio.sleep(1.4)
            self.assertEqual(world.count_views('n5', MemberStatus.ALIVE), 7)
            world.stop()

        run_virtually(scenario())

    def test_data_centre_gone_at_once(self) -> None:
        """Half of the nodes; the others know within 8 s."""

        async def scenario() -> None:
            world = await _start_world()
            lost = [name for name in world.nodes if name in 'n1 n3 n5 n7']
            for name in lost:
                world.kill(name)
            await asyncio.sleep(8)
            for name in lost:
                self.assertEqual(world.count_views(name, MemberStatus.ALIVE), 0)
            self.assertTrue(world.have_same_view(world.nodes))
            world.stop()

        run_virtually(scenario())

    def test_regions_apart_and_merged(self) -> None:
        """Each side goes on by itself; when they meet they are one again."""

        async def scenario() -> None:
            world = await _start_world()
            for name in world.nodes:
                world.sides[name] = int(name[1:]) % 2
            await asyncio.sleep(900)
            self.assertEqual(world.count_views('n0', MemberStatus.ALIVE), 3)
            world.add('new', 'a')
            world.sides['new'] = 0
            await asyncio.sleep(5)
            world.sides.clear()
            await asyncio.sleep(60)
            self.assertTrue(world.have_same_view(world.nodes))
            self.assertEqual(world.count_views('new', MemberStatus.ALIVE), 8)
            world.stop()

        run_virtually(scenario())

    def test_configuration_reaches_every_node(self) -> None:
        """Offered at one node, in force at all within 4 s."""

        async def scenario() -> None:
            world = await _start_world()
            first = world.nodes['n0']
            first.holder.offer(Envelope(7, 'x', 'op', 0.0, _DOCUMENT))
            first.heartbeats.spread()
            await asyncio.sleep(4)
            for node in world.nodes.values():
                self.assertEqual(node.holder.generation, 7)
            world.stop()

        run_virtually(scenario())

    def test_suspicions_reach_every_node(self) -> None:
        """A convicted request is known everywhere within a second."""

        async def scenario() -> None:
            world = await _start_world()
            first = world.nodes['n0']
            suspicion = Suspicion('bad', ('one', 'two'), True, 1.0e9)
            first.quarantine.merge(suspicion, 0.0)
            first.membership.tell_suspicions([suspicion])
            await asyncio.sleep(1)
            for node in world.nodes.values():
                self.assertTrue(node.quarantine.is_convicted('bad', 0.0))
            world.stop()

        run_virtually(scenario())


class TopologyTest(unittest.TestCase):
    """Neighbours at the size of the fleet."""

    def test_every_node_is_watched(self) -> None:
        """Few neighbours each, and links cover every other data centre."""
        members = [
            Member(
                f'n{number}',
                1,
                1,
                MemberStatus.ALIVE,
                f'dc{number % 14}',
                '',
                '',
            )
            for number in range(1800)
        ]
        watched: Counter[str] = Counter()
        watched_from_outside: Counter[str] = Counter()
        for own in members:
            neighbours = choose_neighbours(own, members)
            self.assertLessEqual(len(neighbours), 6)
            for neighbour in neighbours:
                watched[neighbour.node_id] += 1
                if neighbour.data_centre != own.data_centre:
                    watched_from_outside[neighbour.node_id] += 1
        self.assertGreaterEqual(min(watched.values()), 4)
        self.assertEqual(len(watched), 1800)
        self.assertGreater(len(watched_from_outside), 1800 * 0.95)
