"""The store client against the stand-in, over HTTP, with its faults."""

import threading
import unittest
from typing import Any
from unittest import mock

import orjson
import urllib3

from merlintrail.coordination import (
    StoreClient,
    StoreFailure,
    StoreFault,
    StoreItems,
    StoreValue,
    Transaction,
    create_store_client,
)
from merlintrail.lab.store import start_store
from merlintrail.testing import ServerThread


class StoreTest(unittest.TestCase):
    """One stand-in on a thread of its own."""

    def setUp(self) -> None:
        thread = ServerThread(lambda: start_store('127.0.0.1', 0))
        self.addCleanup(thread.stop)
        self.address = thread.address
        self.client: StoreClient = create_store_client([thread.address])

    def set_faults(self, **faults: Any) -> None:
        """Switch faults on or off."""
        urllib3.request(
            'POST',
            f'http://{self.address}/v1/faults',
            body=orjson.dumps(faults),
        )

    def drop_history(self) -> None:
        """Have the store forget its history."""
        urllib3.request('DELETE', f'http://{self.address}/v1/history')

    def write(self, document: object, expected: int) -> int:
        """Write the key and return its version."""
        version = self.client.write('a/b', document, expected)
        assert isinstance(version, int), version
        return version

    def assert_fault(self, answer: object, fault: StoreFault) -> None:
        """Check that a call failed in a certain way."""
        assert isinstance(answer, StoreFailure), answer
        self.assertEqual(answer.fault, fault)

    def test_compare_and_swap(self) -> None:
        """Create, replace, collide, remove."""
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)
        first = self.write([1], 0)
        self.assert_fault(self.client.write('a/b', [2], 0), StoreFault.CONFLICT)
        second = self.write([2], first)
        self.assertEqual(self.client.read('a/b'), StoreValue([2], second))
        self.assert_fault(self.client.remove('a/b', first), StoreFault.CONFLICT)
        self.assertIsNone(self.client.remove('a/b', second))

    def test_leases(self) -> None:
        """A key goes with its lease; a lost lease writes nothing."""
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

    def test_watch(self) -> None:
        """A change ends it, a removal too; without one it ends empty."""
        version = self.write('old', 0)
        self.assertEqual(
            self.client.watch('a/', version, 0.05), StoreItems((), version)
        )
        threading.Timer(0.05, self.write, ('new', version)).start()
        found = self.client.watch('a/', version, 20)
        assert isinstance(found, StoreItems)
        self.assertEqual([entry.document for entry in found.entries], ['new'])
        self.client.remove('a/b', found.position)
        found = self.client.watch('a/', found.position, 20)
        assert isinstance(found, StoreItems)
        self.assertEqual([entry.document for entry in found.entries], [None])

    def test_range(self) -> None:
        """Every key under a prefix, over several pages."""
        with mock.patch('merlintrail.lab.store.PAGE_KEYS', 2):
            for number in range(5):
                self.client.write(f'p/{number}', number, 0)
            self.client.write('q/0', 'other', 0)
            found = self.client.read_range('p/')
        assert isinstance(found, StoreItems)
        self.assertEqual(
            [(entry.key, entry.document) for entry in found.entries],
            [(f'p/{place}', place) for place in range(5)],
        )

    def test_transaction(self) -> None:
        """Several keys change together or not at all."""
        first = self.write(1, 0)
        colliding = Transaction({'a/b': 0}, puts={'a/c': 3})
        self.assert_fault(self.client.transact(colliding), StoreFault.CONFLICT)
        self.assert_fault(self.client.read('a/c'), StoreFault.NOT_FOUND)
        fitting = Transaction(
            {'a/b': first}, puts={'a/c': 3}, removals=('a/b',)
        )
        self.assertIsInstance(self.client.transact(fitting), int)
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)

    def test_history_that_is_lost(self) -> None:
        """A watch behind it says so, a waiting one too."""
        version = self.write('old', 0)
        threading.Timer(0.05, self.drop_history).start()
        self.assert_fault(
            self.client.watch('a/', version, 20), StoreFault.HISTORY_LOST
        )
        self.assert_fault(
            self.client.watch('a/', version, 20), StoreFault.HISTORY_LOST
        )

    def test_busy(self) -> None:
        """A call beyond the store's rates is certainly not done."""
        self.set_faults(is_busy=True)
        self.assert_fault(
            self.client.write('a/b', 1, 0), StoreFault.UNAVAILABLE
        )
        self.set_faults()
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)

    def test_late_write(self) -> None:
        """It takes effect after the writer was told that it cannot know."""
        self.set_faults(loses_write_answers=True, late_s=0.2)
        self.assert_fault(self.client.write('a/b', 7, 0), StoreFault.UNKNOWN)
        self.set_faults()
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)
        found = self.client.watch('a/', 1, 20)
        assert isinstance(found, StoreItems)
        self.assertEqual([entry.document for entry in found.entries], [7])

    def test_down(self) -> None:
        """Certainly nothing is done, also when nothing listens."""
        self.set_faults(is_down=True)
        self.assert_fault(
            self.client.write('a/b', 1, 0), StoreFault.UNAVAILABLE
        )
        self.set_faults()
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)
        other = create_store_client(['127.0.0.1:1'])
        self.assert_fault(other.read('a/b'), StoreFault.UNAVAILABLE)
        both = create_store_client(['127.0.0.1:1', self.address])
        self.assert_fault(both.read('a/b'), StoreFault.NOT_FOUND)

    def test_write_taken_and_its_answer_lost(self) -> None:
        """The writer is told that it cannot know, and the write is there."""
        self.set_faults(loses_write_answers=True)
        self.assert_fault(self.client.write('a/b', 7, 0), StoreFault.UNKNOWN)
        self.set_faults()
        found = self.client.read('a/b')
        assert isinstance(found, StoreValue)
        self.assertEqual(found.document, 7)

    def test_stale_reads_and_counts(self) -> None:
        """An earlier document comes back, and every call is counted."""
        version = self.write('old', 0)
        self.write('new', version)
        self.set_faults(is_stale=True)
        found = self.client.read('a/b')
        assert isinstance(found, StoreValue)
        self.assertEqual(found.document, 'old')
        counts = orjson.loads(
            urllib3.request('GET', f'http://{self.address}/v1/counts').data
        )
        self.assertEqual((counts['write'], counts['read']), (2, 1))
