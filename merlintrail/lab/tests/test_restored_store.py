"""Store client against a fake store that is restored from an older copy."""

import threading
import unittest

import urllib3

from merlintrail.coordination import (
    StoreClient,
    StoreFailure,
    StoreFault,
    StoreItems,
    create_store_client,
)
from merlintrail.lab.store import start_store
from merlintrail.testing import ServerThread


class RestoredStoreTest(unittest.TestCase):
    """Two clients, of which one learns of the restore by its next call."""

    def setUp(self) -> None:
        thread = ServerThread(lambda: start_store('127.0.0.1', 0))
        self.addCleanup(thread.stop)
        self.address = thread.address
        self.client: StoreClient = create_store_client([thread.address])
        self.other: StoreClient = create_store_client([thread.address])
        self.write('copied', 0)

    def write(self, document: object, expected: int) -> int:
        """Write the key ``a`` and return its version."""
        version = self.client.write('a', document, expected)
        assert isinstance(version, int), version
        return version

    def copy(self) -> None:
        """Make the store remember what it holds."""
        urllib3.request('POST', f'http://{self.address}/v1/copy')

    def restore(self) -> None:
        """Make the store return to what it remembers."""
        urllib3.request('PUT', f'http://{self.address}/v1/copy')

    def assert_fault(self, answer: object, fault: StoreFault) -> None:
        """Check that a call failed with the given fault."""
        assert isinstance(answer, StoreFailure), answer
        self.assertEqual(answer.fault, fault)

    def test_version_of_another_history(self) -> None:
        """A write must not take another change for the one it expects.

        The restored store gives the same version to both.
        """
        self.copy()
        lost_version = self.client.write('b', 'lost', 0)
        assert isinstance(lost_version, int)
        self.restore()
        other_version = self.other.write('b', 'kept', 0)
        assert isinstance(other_version, int)
        self.assertNotEqual(lost_version, other_version)
        answer = self.client.write('b', 'mine', lost_version)
        self.assert_fault(answer, StoreFault.RESTORED)
        answer = self.client.write('b', 'mine', lost_version)
        self.assert_fault(answer, StoreFault.CONFLICT)

    def test_lease_of_another_owner(self) -> None:
        """A lost lease is not held, although its number is in use again."""
        self.copy()
        lost_lease = self.client.grant_lease(60)
        assert isinstance(lost_lease, str)
        self.restore()
        lease = self.other.grant_lease(60)
        assert isinstance(lease, str)
        self.assertEqual(lost_lease.partition(':')[2], lease.partition(':')[2])
        for _ in range(2):
            self.assert_fault(
                self.client.renew_lease(lost_lease), StoreFault.LEASE_EXPIRED
            )
        self.assert_fault(
            self.client.write('b', 1, 0, lost_lease), StoreFault.LEASE_EXPIRED
        )
        self.client.revoke_lease(lost_lease)
        self.assertIsNone(self.other.renew_lease(lease))

    def test_watch_of_another_history(self) -> None:
        """A watch does not go on from a position before the restore."""
        version = self.write('second', self.read_version())
        self.copy()
        threading.Timer(0.05, self.restore).start()
        for _ in range(2):
            self.assert_fault(
                self.client.watch('a', version, 20), StoreFault.HISTORY_LOST
            )
        listing = self.client.read_range('a')
        assert isinstance(listing, StoreItems)
        renewed = self.client.watch('a', listing.position, 0.05)
        self.assertEqual(renewed, StoreItems((), listing.position))

    def test_later_versions_are_greater(self) -> None:
        """Although the restored store counts from an earlier one."""
        self.copy()
        lost_version = self.write('lost', self.read_version())
        self.restore()
        self.assertGreater(self.read_version(), lost_version)
        self.assertEqual(self.client.era, 1)

    def read_version(self) -> int:
        """Return the version of the key ``a``."""
        found = self.client.read('a')
        assert not isinstance(found, StoreFailure), found
        return found.version
