"""Watch of the configuration in the store, as relays keep it."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

from merlintrail.coordination._backoff import Backoff
from merlintrail.coordination._changes import CONFIGURATION_KEY
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreFault,
    StoreItems,
    StoreValue,
)
from merlintrail.observability import create_logger

#: Longest time in seconds for which one watch waits for changes. A path that
#: fell silent is noticed when it is over.
WATCH_TIMEOUT_S: Final = 1.5
#: Smallest share of that time. It is random, so that relays whose paths fell
#: silent together do not notice it together.
MIN_TIMEOUT_SHARE: Final = 0.7
#: Pauses after failures of the store.
_BACKOFF: Final = Backoff(first_s=0.1, limit_s=1.0)

_LOG: Final = create_logger('relay')


class ConfigurationWatch:
    """Reads the configuration and then follows its changes."""

    def __init__(
        self,
        store: Store,
        offer: Callable[[StoreValue], Awaitable[None]],
        confirm: Callable[[float], None],
        rng: random.Random,
    ) -> None:
        """Initialize the watch.

        :param offer: called with each document that is read.
        :param confirm: called after each answer with the seconds since which
            the store may have had a newer document than the last one offered.
        """
        self._store = store
        self._offer = offer
        self._confirm = confirm
        self._rng = rng
        #: Position from which to watch, 0 to read the document first.
        self._position = 0
        self._pause_s = _BACKOFF.first_s
        self._loop: asyncio.AbstractEventLoop | None = None
        #: Event loop time of the last answer, ``None`` before the first one.
        self._answered_at: float | None = None
        #: Event loop time since which the store has not answered, if so.
        self._failing_since: float | None = None

    def read_age(self) -> float | None:
        """Return the seconds since the last answer, ``None`` before one.

        Any thread may call it.
        """
        if self._answered_at is None or self._loop is None:
            return None
        return self._loop.time() - self._answered_at

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        self._loop = asyncio.get_running_loop()
        while True:
            asked_at = _now()
            wait_s = self._choose_wait()
            changes = await self._wait_for_changes(wait_s)
            if isinstance(changes, StoreFailure):
                self._record_failure(changes, asked_at)
                if changes.fault != StoreFault.HISTORY_LOST:
                    await self._back_off()
                continue
            self._record_answer()
            await self._accept(changes)
            # The store holds an answer without changes back for the wait.
            self._confirm(max(0.0, _now() - asked_at - wait_s))

    def _choose_wait(self) -> float:
        """Return the seconds to wait for changes, 0 to read the document."""
        if not self._position:
            return 0
        return WATCH_TIMEOUT_S * self._rng.uniform(MIN_TIMEOUT_SHARE, 1.0)

    async def _wait_for_changes(
        self, wait_s: float
    ) -> StoreItems | StoreFailure:
        if not self._position:
            return await self._store.read_range(CONFIGURATION_KEY)
        return await self._store.watch(
            CONFIGURATION_KEY, self._position, wait_s
        )

    async def _accept(self, changes: StoreItems) -> None:
        """Offer the documents, and continue after them.

        An answer without changes leaves the position: a change that the store
        did not report in time is then part of the next answer.
        """
        if changes.entries or not self._position:
            self._position = changes.position
        for entry in changes.entries:
            if entry.key == CONFIGURATION_KEY:
                await self._offer(StoreValue(entry.document, entry.version))

    def _record_failure(self, failure: StoreFailure, asked_at: float) -> None:
        now = _now()
        if self._failing_since is None:
            self._failing_since = asked_at
        _LOG.warning(
            'configuration watch failed',
            extra={
                'position': self._position,
                'waited_s': round(now - asked_at, 3),
                'failing_s': round(now - self._failing_since, 3),
                'fault': failure.fault.value,
                'reason': failure.reason,
            },
        )
        self._position = 0

    def _record_answer(self) -> None:
        now = _now()
        self._answered_at = now
        self._pause_s = _BACKOFF.first_s
        if self._failing_since is None:
            return
        _LOG.info(
            'configuration watch restored',
            extra={'failing_s': round(now - self._failing_since, 3)},
        )
        self._failing_since = None

    async def _back_off(self) -> None:
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.5))
        self._pause_s = min(_BACKOFF.limit_s, self._pause_s * 2)


def _now() -> float:
    return asyncio.get_running_loop().time()
