"""Quarantined requests in the store while store and nodes fail."""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from merlintrail.coordination import QuarantineArchive
from merlintrail.coordination._quarantine_archive import (
    QUARANTINE_PREFIX,
    REMOVAL_DELAY_S,
)
from merlintrail.coordination.tests.fake_store import FakeStore, WriteFault
from merlintrail.coordination.tests.peer_network import PeerNetwork, PeerNode
from merlintrail.state import Quarantine
from merlintrail.testing import run_virtually

#: Start of the virtual clock in seconds.
_START = 1000.0
#: Seconds for which a request is refused; it is remembered twice as long.
_TERM_S = 1000.0
_CRASHES = ('one', 'two', 'three')


class _ArchivingNode(NamedTuple):
    quarantine: Quarantine
    archive: QuarantineArchive


class ArchiveTest(unittest.TestCase):
    """Nodes that know each other only through the store."""

    def run_archives(
        self, scenario: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a scenario and stop its tasks."""

        async def run() -> None:
            self.store = FakeStore()
            self.tasks: list[asyncio.Task[None]] = []
            await scenario()
            for task in self.tasks:
                task.cancel()

        run_virtually(run())

    def start_node(self, *, is_relay: bool = False) -> _ArchivingNode:
        """Start the archive of a new node without neighbours."""
        node = PeerNode(PeerNetwork(), 'node', 'a', 1)
        archive = QuarantineArchive(
            node.membership,
            self.store,
            asyncio.get_running_loop().time,
            random.Random(len(self.tasks)),
        )
        self.tasks.append(asyncio.create_task(archive.run()))
        if is_relay:
            self.tasks.append(asyncio.create_task(archive.compare_repeatedly()))
        return _ArchivingNode(node.quarantine, archive)

    def quarantine(self, node: _ArchivingNode, digest: str) -> None:
        """Quarantine a request at a node, as after its crashes."""
        for crash_id in _CRASHES:
            node.archive.save(
                node.quarantine.record_crash(
                    crash_id, [digest], _START, _TERM_S
                )
            )

    def is_quarantined(self, node: _ArchivingNode, digest: str) -> bool:
        """Return whether a node refuses a request."""
        return node.quarantine.is_quarantined(digest, _START)

    def test_node_that_starts_later_knows_it(self) -> None:
        """The first node is gone by then."""

        async def scenario() -> None:
            self.quarantine(self.start_node(), 'bad')
            await asyncio.sleep(0.1)
            self.tasks.pop().cancel()
            later = self.start_node()
            await asyncio.sleep(0.1)
            self.assertTrue(self.is_quarantined(later, 'bad'))

        self.run_archives(scenario)

    def test_suspects_are_not_written(self) -> None:
        """Each crash leaves many of them; only quarantines must last."""

        async def scenario() -> None:
            node = self.start_node()
            many = [f'good {number}' for number in range(100)]
            node.archive.save(
                node.quarantine.record_crash('one', many, _START, _TERM_S)
            )
            await asyncio.sleep(1)
            self.assertEqual(self.store.counts['write'], 0)

        self.run_archives(scenario)

    def test_quarantine_made_while_the_store_is_away(self) -> None:
        """It is written once the store is back."""

        async def scenario() -> None:
            node = self.start_node()
            await asyncio.sleep(0.1)
            self.store.is_down = True
            self.quarantine(node, 'bad')
            await asyncio.sleep(10)
            self.store.is_down = False
            await asyncio.sleep(5)
            self.assertIn(f'{QUARANTINE_PREFIX}bad', self.store.documents)

        self.run_archives(scenario)

    def test_quarantine_whose_node_died_before_it_was_written(self) -> None:
        """A relay that knows it from gossip writes it."""

        async def scenario() -> None:
            relay = self.start_node(is_relay=True)
            await asyncio.sleep(0.1)
            for crash_id in _CRASHES:
                relay.quarantine.record_crash(
                    crash_id, ['bad'], _START, _TERM_S
                )
            await asyncio.sleep(3)
            self.assertIn(f'{QUARANTINE_PREFIX}bad', self.store.documents)

        self.run_archives(scenario)

    def test_relay_learns_of_a_quarantine_made_elsewhere(self) -> None:
        """No gossip connects the two nodes."""

        async def scenario() -> None:
            relay = self.start_node(is_relay=True)
            await asyncio.sleep(0.1)
            self.quarantine(self.start_node(), 'bad')
            await asyncio.sleep(10)
            self.assertTrue(self.is_quarantined(relay, 'bad'))

        self.run_archives(scenario)

    def test_write_whose_answer_was_lost(self) -> None:
        """It is found when it is repeated, and later changes follow it."""

        async def scenario() -> None:
            node = self.start_node()
            self.store.fault = WriteFault.ANSWER_LOST
            self.quarantine(node, 'bad')
            await asyncio.sleep(1)
            self.store.fault = WriteFault.NONE
            cleared = node.quarantine.clear_suspect('bad', _START)
            assert cleared is not None
            node.archive.save([cleared])
            await asyncio.sleep(5)
            later = self.start_node()
            await asyncio.sleep(0.1)
            self.assertFalse(later.quarantine.is_empty)
            self.assertFalse(self.is_quarantined(later, 'bad'))

        self.run_archives(scenario)

    def test_unreadable_record_hides_the_others(self) -> None:
        """It is logged and passed over."""

        async def scenario() -> None:
            self.store.swap(f'{QUARANTINE_PREFIX}a', {'from': 'others'}, 0)
            self.quarantine(self.start_node(), 'bad')
            await asyncio.sleep(0.1)
            later = self.start_node()
            await asyncio.sleep(0.1)
            self.assertTrue(self.is_quarantined(later, 'bad'))

        self.run_archives(scenario)

    def test_expired_record_is_removed(self) -> None:
        """A relay removes it some time after its expiry."""

        async def scenario() -> None:
            self.start_node(is_relay=True)
            self.quarantine(self.start_node(), 'bad')
            await asyncio.sleep(2 * _TERM_S + REMOVAL_DELAY_S + 20)
            self.assertNotIn(f'{QUARANTINE_PREFIX}bad', self.store.documents)

        self.run_archives(scenario)
