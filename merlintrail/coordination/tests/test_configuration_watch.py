"""The watch of the configuration while the path to the store is disturbed."""

import asyncio
import random
import unittest
from typing import Final

from merlintrail.coordination import (
    CONFIGURATION_KEY,
    StoreFailure,
    StoreFault,
    StoreItems,
    StoreValue,
)
from merlintrail.coordination._configuration_watch import ConfigurationWatch
from merlintrail.coordination._store_era import split_version
from merlintrail.coordination._store_exchange import WATCH_MARGIN_S
from merlintrail.coordination.tests.fake_store import FakeStore
from merlintrail.testing import run_virtually

#: Seconds within which a confirmed change has to be read.
_BOUND_S: Final = 2.5
_STEP_S: Final = 0.01
_SEEDS: Final = 20


class _DisturbedStore(FakeStore):
    """Store whose watches fall silent or miss changes."""

    def __init__(self) -> None:
        super().__init__()
        self._silences = 0
        #: Whether watches end without the changes that were made.
        self.hides_changes = False

    def silence(self) -> None:
        """Give the watches that wait no answer; new calls get one."""
        self._silences += 1

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreItems | StoreFailure:
        """Wait for changes as a store does."""
        silences = self._silences
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        after = split_version(position).version
        while loop.time() < end:
            if self.is_down:
                return StoreFailure(StoreFault.UNAVAILABLE, 'down')
            if silences != self._silences:
                await asyncio.sleep(end - loop.time() + WATCH_MARGIN_S)
                return StoreFailure(StoreFault.UNKNOWN, 'timeout')
            changes = self._list_changes(prefix, after)
            if changes.entries and not self.hides_changes:
                return changes
            await asyncio.sleep(_STEP_S)
        return self._list_changes(prefix, self._version)


class _FollowedConfiguration:
    """A watch of a configuration that changes."""

    def __init__(self, seed: int) -> None:
        self.store = _DisturbedStore()
        #: Documents that the watch has offered.
        self.offered: list[object] = []
        self._watch = ConfigurationWatch(
            self.store,
            self._accept,
            lambda _: None,
            random.Random(seed),
        )
        self.change(1)
        self.task = asyncio.create_task(self._watch.run())

    def change(self, document: int) -> None:
        """Write the next version."""
        current = self.store.documents.get(CONFIGURATION_KEY)
        version = 0 if current is None else current.version
        self.store.swap(CONFIGURATION_KEY, document, version)

    async def _accept(self, stored: StoreValue) -> None:
        self.offered.append(stored.document)


class ConfigurationWatchTest(unittest.TestCase):
    """A change is read in time whatever befell the watch before."""

    def test_change_behind_a_silent_watch_is_read_in_time(self) -> None:
        """The path falls silent without a reset just before the change."""

        async def scenario(seed: int) -> None:
            followed = _FollowedConfiguration(seed)
            await asyncio.sleep(random.Random(seed).uniform(1, 4))
            followed.store.silence()
            followed.change(2)
            await asyncio.sleep(_BOUND_S)
            self.assertEqual(followed.offered, [1, 2])
            followed.task.cancel()

        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                run_virtually(scenario(seed))

    def test_change_that_a_watch_missed_comes_with_the_next_answer(
        self,
    ) -> None:
        """The store's answer names a position behind the change."""

        async def scenario() -> None:
            followed = _FollowedConfiguration(1)
            await asyncio.sleep(1)
            followed.store.hides_changes = True
            followed.change(2)
            await asyncio.sleep(4)
            followed.store.hides_changes = False
            await asyncio.sleep(_BOUND_S)
            self.assertEqual(followed.offered, [1, 2])
            followed.task.cancel()

        run_virtually(scenario())

    def test_change_after_a_long_outage_is_read_in_time(self) -> None:
        """Pauses that grew during the outage do not outlast the bound."""

        async def scenario(seed: int) -> None:
            followed = _FollowedConfiguration(seed)
            await asyncio.sleep(1)
            followed.store.is_down = True
            await asyncio.sleep(30 + seed)
            followed.store.is_down = False
            followed.change(2)
            await asyncio.sleep(_BOUND_S)
            self.assertEqual(followed.offered[-1], 2)
            followed.task.cancel()

        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                run_virtually(scenario(seed))
