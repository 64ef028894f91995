"""The store client against the stand-in, over HTTP, with its faults."""

import asyncio
import threading
import unittest
from typing import Any

import orjson
import urllib3

from merlintrail.coordination import (
    StoreClient,
    StoreFailure,
    StoreFault,
    StoreValue,
    create_store_client,
)
from merlintrail.lab.store import start_store


class StoreTest(unittest.TestCase):
    """One stand-in on a thread of its own."""

    def setUp(self) -> None:
        ready = threading.Event()
        self.thread = threading.Thread(
            target=lambda: asyncio.run(self.serve(ready))
        )
        self.thread.start()
        ready.wait(10)
        self.client: StoreClient = create_store_client([self.address])
        self.addCleanup(self.stop)

    async def serve(self, ready: threading.Event) -> None:
        """Run the stand-in until it is stopped."""
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        server = await start_store('127.0.0.1', 0)
        self.address = f'127.0.0.1:{server.port}'
        ready.set()
        await self.stopped.wait()
        server.close()

    def stop(self) -> None:
        """Stop the stand-in and its thread."""
        self.loop.call_soon_threadsafe(self.stopped.set)
        self.thread.join(10)

    def set_faults(self, **faults: Any) -> None:
        """Switch faults on or off."""
        urllib3.request(
            'POST',
            f'http://{self.address}/v1/faults',
            body=orjson.dumps(faults),
        )

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
        """A change ends it; without one it ends unchanged."""
        version = self.write('old', 0)
        self.assert_fault(
            self.client.watch('a/b', version, 0.05), StoreFault.UNCHANGED
        )
        threading.Timer(0.05, self.write, ('new', version)).start()
        found = self.client.watch('a/b', version, 20)
        assert isinstance(found, StoreValue)
        self.assertEqual(found.document, 'new')

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
