"""Keys beyond what a node can keep."""

import itertools
import unittest
from typing import Final

from merlintrail.coordination._ledger import KeyedRequest, Ledger, create_ledger
from merlintrail.coordination._ledger_slot import SlotDependencies
from merlintrail.coordination.tests.fake_store import FakeStore
from merlintrail.protocol import Outcome, Refusal
from merlintrail.state import KeyRecord, LedgerSettings
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpResponse

_MAX_KEYS: Final = 20
_RETENTION_S: Final = 10.0


class LedgerRoomTest(unittest.TestCase):
    """A ledger that may keep 20 keys for 10 seconds."""

    def setUp(self) -> None:
        self.now = 1.0e9
        self.runs = 0
        numbers = itertools.count()

        async def query(record: KeyRecord) -> None:
            """No other node knows anything."""

        self.ledger: Ledger = create_ledger(
            SlotDependencies(
                FakeStore(),
                'node',
                lambda: self.now,
                lambda: f'nonce-{next(numbers)}',
                max_keys=_MAX_KEYS,
            ),
            query,
        )
        self.ledger.update_settings(
            LedgerSettings(slots=4, retention_s=_RETENTION_S)
        )

    def test_keys_take_all_memory(self) -> None:
        """Further ones are refused as not run, until the first expire."""

        async def scenario() -> None:
            refusals = [await self.send(f'a{key}') for key in range(50)]
            self.assertEqual(self.runs, _MAX_KEYS)
            for refusal in refusals[_MAX_KEYS:]:
                assert isinstance(refusal, Refusal), refusal
                self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
            self.now += _RETENTION_S * 10
            await self.send('b')
            self.assertEqual(self.runs, _MAX_KEYS + 1)

        run_virtually(scenario())

    def test_known_keys_are_answered(self) -> None:
        """Also while there is no room for others."""

        async def scenario() -> None:
            for key in range(_MAX_KEYS):
                await self.send(f'a{key}')
            answer = await self.send('a0')
            self.assertIsInstance(answer, HttpResponse)
            self.assertEqual(self.runs, _MAX_KEYS)

        run_virtually(scenario())

    async def send(self, key: str) -> HttpResponse | Refusal:
        """Send a request with a key."""

        async def run() -> HttpResponse:
            self.runs += 1
            return HttpResponse(200, (), b'')

        return await self.ledger.execute(KeyedRequest(key, 'digest', run))
