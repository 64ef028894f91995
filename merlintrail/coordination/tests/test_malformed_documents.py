"""Malformed documents in the store stop no background work."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from typing import Final

from merlintrail.coordination import find_relays, run_supervised
from merlintrail.coordination._ledger_slot import LedgerSlot, SlotDependencies
from merlintrail.coordination.tests.fake_store import FakeStore
from merlintrail.protocol import Reason, Refusal
from merlintrail.state import LedgerSettings
from merlintrail.testing import run_virtually

_MALFORMED_RELAYS: Final[Sequence[object]] = (
    None,
    7,
    'text',
    [],
    {},
    {'address': 5},
    {'address': 'b:1', 'incarnation': 'x'},
)


class MalformedDocumentTest(unittest.TestCase):
    """Documents of another writer under the keys of nodes."""

    def test_relays(self) -> None:
        """Those that can be read are found."""
        store = FakeStore()
        for number, document in enumerate(_MALFORMED_RELAYS):
            store.swap(f'relay/d{number}/0', document, 0)
        store.swap('relay/d/0', {'address': 'a:1', 'incarnation': 3}, 0)
        relays = run_virtually(find_relays(store))
        self.assertEqual([relay.address for relay in relays], ['a:1'])

    def test_ledger_segment(self) -> None:
        """The slot is not acquired, and its requests are refused."""
        store = FakeStore()
        store.swap('ledger/0/0', {'records': 5}, 0)
        deps = SlotDependencies(store, 'a', lambda: 1.0, lambda: 'nonce')
        slot = LedgerSlot(deps, 0, LedgerSettings())
        refusal = run_virtually(slot.acquire())
        assert isinstance(refusal, Refusal), refusal
        self.assertEqual(refusal.reason, Reason.LEDGER_UNAVAILABLE)


class SupervisionTest(unittest.TestCase):
    """Background work that fails."""

    def test_work_goes_on_after_an_error(self) -> None:
        """It is started again until it returns."""
        starts: list[int] = []

        async def work() -> None:
            starts.append(len(starts))
            await asyncio.sleep(random.Random(1).random())
            if len(starts) < 3:
                raise ValueError('malformed')

        run_virtually(run_supervised('work', work))
        self.assertEqual(starts, [0, 1, 2])
