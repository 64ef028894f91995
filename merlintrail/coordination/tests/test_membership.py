"""Discovery, failure detection and gossip over an in-memory network."""

import asyncio
import unittest
from collections import Counter

from merlintrail.coordination import (
    choose_neighbours,
)
from merlintrail.coordination._messages import (
    StatusUpdate,
    read_members,
    read_statuses,
    read_suspicions,
)
from merlintrail.coordination._outbox import (
    MAX_UPDATES_PER_MESSAGE,
    Outbox,
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

    def test_nodes_discover_each_other(self) -> None:
        """All tables are equal, and a new node is in all within 2 s."""

        async def scenario() -> None:
            network = await start_network()
            self.assertTrue(network.have_equal_tables(network.nodes))
            network.add('late', 'a')
            await asyncio.sleep(2)
            self.assertEqual(network.count_views('late', MemberStatus.ALIVE), 8)
            network.stop()

        run_virtually(scenario())

    def test_failed_node_is_not_alive_after_five_seconds(self) -> None:
        """A failed node is suspect within 5 s and dead within 7 s."""

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
        """A node restarted under its name and address is a member again."""

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

    def test_paused_node_resumes_and_refutes(self) -> None:
        """A paused node is declared dead, and refutes it once it resumes."""

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
        """A node that is wrongly suspected by another refutes it in 1.4 s."""

        async def scenario() -> None:
            network = await start_network()
            network.nodes['n0'].membership.suspect('n5')
            await asyncio.sleep(1.4)
            self.assertEqual(network.count_views('n5', MemberStatus.ALIVE), 7)
            network.stop()

        run_virtually(scenario())

    def test_data_centre_fails_at_once(self) -> None:
        """When half of the nodes fail, the others agree on it within 8 s."""

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

    def test_partition_heals(self) -> None:
        """Two partitions declare each other dead and merge once connected.

        Guards against members that have been dead for a long time and are
        never contacted again. A node that joins one partition must reach the
        other, too.
        """

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
        """A configuration offered to one node is at all within 4 s."""

        async def scenario() -> None:
            network = await start_network()
            first = network.nodes['n0']
            first.holder.apply_if_newer(Envelope(7, 'x', 'op', 0.0, DOCUMENT))
            first.heartbeats.notify_neighbours()
            await asyncio.sleep(4)
            for node in network.nodes.values():
                self.assertEqual(node.holder.generation, 7)
            network.stop()

        run_virtually(scenario())

    def test_suspicions_reach_every_node(self) -> None:
        """A quarantine at one node reaches every other node within 1 s."""

        async def scenario() -> None:
            network = await start_network()
            first = network.nodes['n0']
            suspicion = Suspicion(
                'bad', ('one', 'two', 'three'), 1.0e9, refused_until=1.0e9
            )
            first.quarantine.merge(suspicion, 0.0)
            first.membership.gossip_suspicions([suspicion])
            await asyncio.sleep(1)
            for node in network.nodes.values():
                self.assertTrue(node.quarantine.is_quarantined('bad', 0.0))
            network.stop()

        run_virtually(scenario())


class MalformedGossipTest(unittest.TestCase):
    """Records that a later or faulty build may send."""

    def test_malformed_records_are_skipped(self) -> None:
        """The others of the same message are read."""
        status = ['n1', 1, 2, int(MemberStatus.DEAD)]
        for malformed in (5, 'text', None, [], [1, 2], ['n1', 1, 2, ['x']]):
            with self.subTest(malformed):
                self.assertEqual(
                    read_statuses([malformed, status]),
                    [StatusUpdate('n1', 1, 2, MemberStatus.DEAD)],
                )
                self.assertEqual(read_suspicions([malformed]), [])
                self.assertEqual(read_members([malformed]), [])


class SuspicionGossipTest(unittest.TestCase):
    """Suspicions that gossip alone leaves behind at some nodes."""

    def test_quarantine_made_during_a_partition_stays_there(self) -> None:
        """It reaches the other side within 3 s of a short partition."""

        async def scenario() -> None:
            network = await start_network()
            for name in network.nodes:
                network.partitions[name] = int(name == 'n5')
            first = network.nodes['n0']
            held = first.quarantine.record_crash('crash', ['bad'], 0.0, 1.0e9)
            first.membership.gossip_suspicions(held)
            await asyncio.sleep(1)
            network.partitions.clear()
            await asyncio.sleep(3)
            self.assertFalse(network.nodes['n5'].quarantine.is_empty)
            network.stop()

        run_virtually(scenario())

    def test_received_record_replaces_a_fuller_one_that_waits(self) -> None:
        """What waits for a neighbour holds the crashes of both."""

        async def scenario() -> None:
            network = await start_network()
            membership = network.nodes['n0'].membership
            outbox = membership.outboxes['n2']
            outbox.take_batch()
            for crash_id in ('one', 'two'):
                membership.accept_suspicions(
                    [Suspicion('bad', (crash_id,), 1.0e9)], 'n4'
                )
            waiting = outbox.take_batch()[1]
            self.assertEqual(
                [held.crashes for held in waiting], [('one', 'two')]
            )
            network.stop()

        run_virtually(scenario())

    def test_quarantine_in_a_lost_reply_is_never_sent_again(self) -> None:
        """The sender took it for delivered; digests show the difference."""

        async def scenario() -> None:
            network = await start_network()
            for sender in network.nodes.values():
                for outbox in sender.membership.outboxes.values():
                    outbox.take_batch()
            first = network.nodes['n0']
            first.quarantine.record_crash('crash', ['bad'], 0.0, 1.0e9)
            await asyncio.sleep(5)
            for node in network.nodes.values():
                self.assertFalse(node.quarantine.is_empty)
            network.stop()

        run_virtually(scenario())


class OutboxTest(unittest.TestCase):
    """Order of the updates for one neighbour."""

    def test_quarantine_waits_behind_many_suspects(self) -> None:
        """It is in the first message, and all others follow."""

        async def scenario() -> None:
            outbox = Outbox()
            for number in range(2 * MAX_UPDATES_PER_MESSAGE):
                outbox.put_suspicion(Suspicion(f'{number}', ('one',), 1.0e9))
            outbox.put_suspicion(
                Suspicion('bad', ('one', 'two', 'three'), 1.0e9)
            )
            batches = [outbox.take_batch()[1] for _ in range(3)]
            self.assertIn('bad', [held.digest for held in batches[0]])
            self.assertEqual(len(sum(batches, [])), 97)

        run_virtually(scenario())


class TopologyTest(unittest.TestCase):
    """Choice of neighbours in a fleet of 1800 nodes in 14 data centres."""

    def test_every_node_is_monitored(self) -> None:
        """Nodes have few neighbours, yet each is monitored by at least 4.

        More than 95 % of the nodes are also monitored from another data
        centre.
        """
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
        monitored: Counter[str] = Counter()
        monitored_remotely: Counter[str] = Counter()
        for own in members:
            neighbours = choose_neighbours(own, members)
            self.assertLessEqual(len(neighbours), 6)
            for neighbour in neighbours:
                monitored[neighbour.node_id] += 1
                if neighbour.data_centre != own.data_centre:
                    monitored_remotely[neighbour.node_id] += 1
        self.assertGreaterEqual(min(monitored.values()), 4)
        self.assertEqual(len(monitored), 1800)
        self.assertGreater(len(monitored_remotely), 1800 * 0.95)
