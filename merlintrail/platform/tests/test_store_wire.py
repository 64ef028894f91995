"""The store client speaks to the platform's store by one more wire."""

import threading
import time
import unittest
from typing import Any

from merlintrail.coordination import (
    CONFIGURATION_KEY,
    StoreClient,
    StoreFailure,
    StoreFault,
    StoreItems,
    StoreValue,
    Transaction,
)
from merlintrail.lab._store_state import StoreState
from merlintrail.platform import PlatformStoreWire
from merlintrail.platform.tests.fake_platform_store import PlatformStore
from merlintrail.platform.tests.samples import CONTENT, SETTINGS
from merlintrail.testing import ServerThread
from merlintrail.transport import start_server


class PlatformStoreWireTest(unittest.TestCase):
    """One stand-in on a thread of its own."""

    def setUp(self) -> None:
        self.state = StoreState(time.monotonic)
        store = PlatformStore(self.state)
        self.thread = ServerThread(
            lambda: start_server(store.handle, '127.0.0.1', 0)
        )
        self.addCleanup(self.thread.stop)
        self.client = StoreClient(
            [self.thread.address], PlatformStoreWire(SETTINGS)
        )

    def operate(self, content: Any) -> None:
        """Write the operator's configuration."""

        async def write() -> None:
            known = self.state.read('op/config')
            version = 0 if known is None else known.version
            self.state.transact(
                {'op/config': version}, {'op/config': content}, (), None
            )

        self.thread.call(write())

    def assert_fault(self, answer: object, fault: StoreFault) -> None:
        """Check that a call failed in a certain way."""
        assert isinstance(answer, StoreFailure), answer
        self.assertEqual(answer.fault, fault)

    def test_compare_and_swap(self) -> None:
        """Create, collide, read, remove."""
        version = self.client.write('relay/a/0', {'address': 'x'}, 0)
        assert isinstance(version, int), version
        self.assert_fault(
            self.client.write('relay/a/0', {}, 0), StoreFault.CONFLICT
        )
        self.assertEqual(
            self.client.read('relay/a/0'), StoreValue({'address': 'x'}, version)
        )
        self.assertIsNone(self.client.remove('relay/a/0', version))
        self.assert_fault(self.client.read('relay/a/0'), StoreFault.NOT_FOUND)

    def test_range_over_pages(self) -> None:
        """Every key under a prefix."""
        for number in range(7):
            self.client.transact(
                Transaction({f'relay/{number}': 0}, {f'relay/{number}': number})
            )
        found = self.client.read_range('relay/', may_be_stale=True)
        assert isinstance(found, StoreItems), found
        self.assertEqual(
            [(entry.key, entry.document) for entry in found.entries],
            [(f'relay/{place}', place) for place in range(7)],
        )

    def test_leases(self) -> None:
        """Keys go with their lease, and a lost lease writes nothing."""
        lease = self.client.grant_lease(60)
        assert isinstance(lease, str)
        self.client.write('held', 1, 0, lease)
        self.assertIsNone(self.client.renew_lease(lease))
        self.assertIsNone(self.client.revoke_lease(lease))
        self.assert_fault(self.client.read('held'), StoreFault.NOT_FOUND)
        self.assert_fault(
            self.client.renew_lease(lease), StoreFault.LEASE_EXPIRED
        )
        self.assert_fault(
            self.client.write('held', 1, 0, lease), StoreFault.LEASE_EXPIRED
        )

    def test_watch_tells_the_operators_configuration(self) -> None:
        """It comes as an envelope of our own document."""
        self.operate(CONTENT)
        found = self.client.read_range(CONFIGURATION_KEY)
        assert isinstance(found, StoreItems), found
        self.assertEqual(found.entries[0].document['generation'], 7)
        newer = {**CONTENT, 'Version': '0000000c'}
        threading.Timer(0.05, self.operate, (newer,)).start()
        changes = self.client.watch(CONFIGURATION_KEY, found.position, 20)
        assert isinstance(changes, StoreItems), changes
        self.assertEqual(
            [entry.document['generation'] for entry in changes.entries], [12]
        )

    def test_history_that_is_lost(self) -> None:
        """The caller is told to read again."""
        self.operate(CONTENT)

        async def drop() -> None:
            self.state.drop_history()

        self.thread.call(drop())
        self.assert_fault(
            self.client.watch(CONFIGURATION_KEY, 1, 5), StoreFault.HISTORY_LOST
        )

    def test_configuration_of_another_shape(self) -> None:
        """It is a failure with a reason, and no value."""
        self.operate({'Version': 'seven'})
        answer = self.client.read(CONFIGURATION_KEY)
        self.assert_fault(answer, StoreFault.UNKNOWN)
