"""Nodes that learn of each other over peers in memory."""

import asyncio
import unittest
from collections import Counter

from merlintrail.coordination import (
    choose_neighbours,
)
from merlintrail.coordination.tests.peer_network import DOCUMENT, start_network
from merlintrail.state import (
    Envelope,
    Member,
    MemberStatus,
    Suspicion,
)
from merlintrail.testing import run_virtually


class MembershipTest(unittest.TestCase):
    """Eight nodes in two data centres, in virtual time."""

    def test_nodes_learn_of_each_other(self) -> None:
        """All know all, and a new one is known within 2 s."""

        async def scenario() -> None:
            network = await start_network()
            self.assertTrue(network.have_equal_tables(network.nodes))
            network.add('late', 'a')
            await asyncio.sleep(2)
            self.assertEqual(network.count_views('late', MemberStatus.ALIVE), 8)
            network.stop()

        run_virtually(scenario())

    def test_failed_node_is_left_within_five_seconds(self) -> None:
        """Every node stops routing to it."""

        async def scenario() -> None:
            network = await start_network()
            network.kill('n3')
            await asyncio.sleep(5)
            self.assertEqual(network.count_views('n3', MemberStatus.ALIVE), 0)
            await asyncio.sleep(2)
            self.assertEqual(network.count_views('n3', MemberStatus.DEAD), 7)
            network.stop()

        run_virtually(scenario())

    def test_restart_with_a_new_incarnation(self) -> None:
        """The same name and address, known as alive again."""

        async def scenario() -> None:
            network = await start_network()
            network.kill('n3')
            await asyncio.sleep(1)
            network.add('n3', 'b', incarnation=2)
            await asyncio.sleep(6)
            self.assertEqual(network.count_views('n3', MemberStatus.ALIVE), 7)
            self.assertTrue(network.have_equal_tables(network.nodes))
            network.stop()

        run_virtually(scenario())

    def test_paused_node_wakes_and_refutes(self) -> None:
        """It was counted dead, and is alive again by a higher version."""

        async def scenario() -> None:
            network = await start_network()
            network.paused.add('n3')
            await asyncio.sleep(8)
            self.assertEqual(network.count_views('n3', MemberStatus.DEAD), 7)
            network.paused.clear()
            await asyncio.sleep(25)
            self.assertEqual(network.count_views('n3', MemberStatus.ALIVE), 7)
            network.stop()

        run_virtually(scenario())

    def test_false_suspicion_is_refuted(self) -> None:
        """One node claims that another is silent; it is not."""

        async def scenario() -> None:
            network = await start_network()
            network.nodes['n0'].membership.suspect('n5')
            await asyncio.sleep(1.4)
            self.assertEqual(network.count_views('n5', MemberStatus.ALIVE), 7)
            network.stop()

        run_virtually(scenario())

    def test_data_centre_gone_at_once(self) -> None:
        """Half of the nodes; the others know within 8 s."""

        async def scenario() -> None:
            network = await start_network()
            lost = [name for name in network.nodes if name in 'n1 n3 n5 n7']
            for name in lost:
                network.kill(name)
            await asyncio.sleep(8)
            for name in lost:
                self.assertEqual(
                    network.count_views(name, MemberStatus.ALIVE), 0
                )
            self.assertTrue(network.have_equal_tables(network.nodes))
            network.stop()

        run_virtually(scenario())

    def test_regions_apart_and_merged(self) -> None:
        """Each side goes on by itself; when they meet they are one again."""

        async def scenario() -> None:
            network = await start_network()
            for name in network.nodes:
                network.partitions[name] = int(name[1:]) % 2
            await asyncio.sleep(900)
            self.assertEqual(network.count_views('n0', MemberStatus.ALIVE), 3)
            network.add('new', 'a')
            network.partitions['new'] = 0
            await asyncio.sleep(5)
            network.partitions.clear()
            await asyncio.sleep(60)
            self.assertTrue(network.have_equal_tables(network.nodes))
            self.assertEqual(network.count_views('new', MemberStatus.ALIVE), 8)
            network.stop()

        run_virtually(scenario())

    def test_configuration_reaches_every_node(self) -> None:
        """Offered at one node, in force at all within 4 s."""

        async def scenario() -> None:
            network = await start_network()
            first = network.nodes['n0']
            first.holder.offer(Envelope(7, 'x', 'op', 0.0, DOCUMENT))
            first.heartbeats.notify_neighbours()
            await asyncio.sleep(4)
            for node in network.nodes.values():
                self.assertEqual(node.holder.generation, 7)
            network.stop()

        run_virtually(scenario())

    def test_suspicions_reach_every_node(self) -> None:
        """A convicted request is known everywhere within a second."""

        async def scenario() -> None:
            network = await start_network()
            first = network.nodes['n0']
            suspicion = Suspicion('bad', ('one', 'two'), True, 1.0e9)
            first.quarantine.merge(suspicion, 0.0)
            first.membership.gossip_suspicions([suspicion])
            await asyncio.sleep(1)
            for node in network.nodes.values():
                self.assertTrue(node.quarantine.is_convicted('bad', 0.0))
            network.stop()

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
