"""Store client against the fake store over HTTP, with faults."""

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
    """Client of one fake store that runs in its own thread."""

    def setUp(self) -> None:
        thread = ServerThread(lambda: start_store('127.0.0.1', 0))
        self.addCleanup(thread.stop)
        self.address = thread.address
        self.client: StoreClient = create_store_client([thread.address])

    def set_faults(self, **faults: Any) -> None:
        """Replace the active faults; no arguments switch all of them off."""
        urllib3.request(
            'POST',
            f'http://{self.address}/v1/faults',
            body=orjson.dumps(faults),
        )

    def drop_history(self) -> None:
        """Make the store drop its change history."""
        urllib3.request('DELETE', f'http://{self.address}/v1/history')

    def write(self, document: object, expected: int) -> int:
        """Write the key ``a/b`` and return its version."""
        version = self.client.write('a/b', document, expected)
        assert isinstance(version, int), version
        return version

    def assert_fault(self, answer: object, fault: StoreFault) -> None:
        """Check that a call failed with the given fault."""
        assert isinstance(answer, StoreFailure), answer
        self.assertEqual(answer.fault, fault)

    def test_compare_and_swap(self) -> None:
        """Writes and removals succeed only with the current version."""
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)
        first_version = self.write([1], 0)
        self.assert_fault(self.client.write('a/b', [2], 0), StoreFault.CONFLICT)
        second_version = self.write([2], first_version)
        self.assertEqual(
            self.client.read('a/b'), StoreValue([2], second_version)
        )
        self.assert_fault(
            self.client.remove('a/b', first_version), StoreFault.CONFLICT
        )
        self.assertIsNone(self.client.remove('a/b', second_version))

    def test_leases(self) -> None:
        """A key is removed with its lease, and a revoked lease is unusable."""
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
        """A watch returns on a change or a removal, or empty on timeout."""
        version = self.write('old', 0)
        self.assertEqual(
            self.client.watch('a/', version, 0.05), StoreItems((), version)
        )
        threading.Timer(0.05, self.write, ('new', version)).start()
        result = self.client.watch('a/', version, 20)
        assert isinstance(result, StoreItems)
        self.assertEqual([entry.document for entry in result.entries], ['new'])
        self.client.remove('a/b', result.position)
        result = self.client.watch('a/', result.position, 20)
        assert isinstance(result, StoreItems)
        self.assertEqual([entry.document for entry in result.entries], [None])

    def test_range(self) -> None:
        """A range returns every key with the prefix, over several pages."""
        with mock.patch('merlintrail.lab.store.PAGE_KEYS', 2):
            for number in range(5):
                self.client.write(f'p/{number}', number, 0)
            self.client.write('q/0', 'other', 0)
            result = self.client.read_range('p/')
        assert isinstance(result, StoreItems)
        self.assertEqual(
            [(entry.key, entry.document) for entry in result.entries],
            [(f'p/{index}', index) for index in range(5)],
        )

    def test_transaction(self) -> None:
        """Several keys are changed together or not at all."""
        first_version = self.write(1, 0)
        conflicting = Transaction({'a/b': 0}, puts={'a/c': 3})
        self.assert_fault(
            self.client.transact(conflicting), StoreFault.CONFLICT
        )
        self.assert_fault(self.client.read('a/c'), StoreFault.NOT_FOUND)
        matching = Transaction(
            {'a/b': first_version}, puts={'a/c': 3}, removals=('a/b',)
        )
        self.assertIsInstance(self.client.transact(matching), int)
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)

    def test_lost_history(self) -> None:
        """A watch reports a dropped history, also when it already waits."""
        version = self.write('old', 0)
        threading.Timer(0.05, self.drop_history).start()
        self.assert_fault(
            self.client.watch('a/', version, 20), StoreFault.HISTORY_LOST
        )
        self.assert_fault(
            self.client.watch('a/', version, 20), StoreFault.HISTORY_LOST
        )

    def test_busy(self) -> None:
        """A rate-limited request is reported as certainly not done."""
        self.set_faults(is_busy=True)
        self.assert_fault(
            self.client.write('a/b', 1, 0), StoreFault.UNAVAILABLE
        )
        self.set_faults()
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)

    def test_late_write(self) -> None:
        """A write may take effect after it was reported as unknown."""
        self.set_faults(loses_write_answers=True, late_s=0.2)
        self.assert_fault(self.client.write('a/b', 7, 0), StoreFault.UNKNOWN)
        self.set_faults()
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)
        result = self.client.watch('a/', 1, 20)
        assert isinstance(result, StoreItems)
        self.assertEqual([entry.document for entry in result.entries], [7])

    def test_down(self) -> None:
        """A request is reported as not done when the store is down.

        The same holds for an address on which nothing listens; with a
        second address the client uses that one.
        """
        self.set_faults(is_down=True)
        self.assert_fault(
            self.client.write('a/b', 1, 0), StoreFault.UNAVAILABLE
        )
        self.set_faults()
        self.assert_fault(self.client.read('a/b'), StoreFault.NOT_FOUND)
        unreachable = create_store_client(['127.0.0.1:1'])
        self.assert_fault(unreachable.read('a/b'), StoreFault.UNAVAILABLE)
        with_fallback = create_store_client(['127.0.0.1:1', self.address])
        self.assert_fault(with_fallback.read('a/b'), StoreFault.NOT_FOUND)

    def test_write_with_lost_answer(self) -> None:
        """A write whose answer is lost is reported as unknown and is stored."""
        self.set_faults(loses_write_answers=True)
        self.assert_fault(self.client.write('a/b', 7, 0), StoreFault.UNKNOWN)
        self.set_faults()
        result = self.client.read('a/b')
        assert isinstance(result, StoreValue)
        self.assertEqual(result.document, 7)

    def test_stale_reads_and_counts(self) -> None:
        """A stale read returns the previous document; requests are counted."""
        version = self.write('old', 0)
        self.write('new', version)
        self.set_faults(is_stale=True)
        result = self.client.read('a/b')
        assert isinstance(result, StoreValue)
        self.assertEqual(result.document, 'old')
        counts = orjson.loads(
            urllib3.request('GET', f'http://{self.address}/v1/counts').data
        )
        self.assertEqual((counts['write'], counts['read']), (2, 1))
