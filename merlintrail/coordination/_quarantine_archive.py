"""Quarantined requests in the store, where they outlive the nodes.

The node that quarantines a request writes it at once. Relays compare the store
with what they know, so that a record whose writer was killed or could not
reach the store is written later, and data centres that cannot reach each other
learn of it. A node reads all records when it starts.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from merlintrail.coordination._backoff import Backoff, repeat_until_done
from merlintrail.coordination._membership import Membership
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreFault,
    StoreItem,
    StoreValue,
)
from merlintrail.coordination._unreadable_entries import log_unreadable_entry
from merlintrail.state import Suspicion, merge_suspicions, read_suspicion

#: Prefix of the store keys, followed by the digest of the request.
QUARANTINE_PREFIX: Final = 'quarantine/'
#: Seconds between two comparisons of a relay with the store.
COMPARISON_INTERVAL_S: Final = 5.0
#: Longest delay in seconds of the comparison after a change, random so that
#: one relay writes the record and the others find it.
MAX_COMPARISON_DELAY_S: Final = 2.0
#: Pauses after failed calls.
_BACKOFF: Final = Backoff(first_s=0.2, limit_s=3.0)
#: Attempts to write one record before a pause.
MAX_WRITE_ATTEMPTS: Final = 3
#: Seconds after which an expired record is removed from the store. Clocks of
#: nodes may differ by less.
REMOVAL_DELAY_S: Final = 60.0


class _StoredSuspicion(NamedTuple):
    suspicion: Suspicion
    #: Version of its key.
    version: int


class QuarantineArchive:
    """Keeps the quarantined requests that a node knows in the store."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._store = store
        self._wall_clock = wall_clock
        self._rng = rng
        self._stored: dict[str, _StoredSuspicion] = {}
        #: Digests of the records to write.
        self._unsaved: set[str] = set()
        self._has_unsaved = asyncio.Event()
        self._has_changed = asyncio.Event()
        membership.quarantine.add_listener(self._handle_change)

    def save(self, suspicions: Iterable[Suspicion]) -> None:
        """Write the records of likely causes, and changes of stored ones."""
        for suspicion in suspicions:
            if self._must_store(suspicion):
                self._unsaved.add(suspicion.digest)
                self._has_unsaved.set()

    async def run(self) -> None:
        """Read all records, then write the saved ones until cancelled."""
        await repeat_until_done(self.load, _BACKOFF, self._rng)
        while True:
            await self._has_unsaved.wait()
            self._has_unsaved.clear()
            await repeat_until_done(self._write_unsaved, _BACKOFF, self._rng)

    async def compare_repeatedly(self) -> None:
        """Compare with the store until cancelled, as relays do."""
        while True:
            self._has_changed.clear()
            if await self.load():
                self.save(self._membership.list_suspicions())
                await self._remove_expired()
            await self._wait_for_change()

    async def load(self) -> bool:
        """Read all records and merge them.

        Seconds-old ones suffice: a record whose version has changed since is
        read again when it is written.

        :returns: whether the store answered.
        """
        listing = await self._store.read_range(
            QUARANTINE_PREFIX, may_be_stale=True
        )
        if isinstance(listing, StoreFailure):
            return False
        self._stored.clear()
        self._accept(listing.entries)
        return True

    def _handle_change(self, suspicion: Suspicion) -> None:
        if self._must_store(suspicion):
            self._has_changed.set()

    def _accept(self, entries: Iterable[StoreItem]) -> None:
        """Merge stored records and remember their versions."""
        received = []
        for entry in entries:
            suspicion = read_suspicion(entry.document)
            if suspicion is None:
                log_unreadable_entry(
                    entry.key, entry.version, 'not a suspicion'
                )
                continue
            received.append(suspicion)
            self._stored[suspicion.digest] = _StoredSuspicion(
                suspicion, entry.version
            )
        self._membership.accept_suspicions(received, 'the store')

    def _must_store(self, suspicion: Suspicion) -> bool:
        """Return whether the store lacks something of a record."""
        stored = self._stored.get(suspicion.digest)
        if stored is None:
            # A write that has not been confirmed may have taken effect.
            is_written = suspicion.digest in self._unsaved
            return suspicion.is_likely_cause or is_written
        merged = merge_suspicions(stored.suspicion, suspicion)
        return merged != stored.suspicion

    async def _write_unsaved(self) -> bool:
        """Write the records that wait.

        :returns: whether none is left.
        """
        for digest in tuple(self._unsaved):
            if await self._write(digest):
                self._unsaved.discard(digest)
        return not self._unsaved

    async def _write(self, digest: str) -> bool:
        """Write one record; merge what another node wrote meanwhile.

        :returns: whether the store has the record.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            suspicion = self._membership.quarantine.find(
                digest, self._wall_clock()
            )
            if suspicion is None or not self._must_store(suspicion):
                return True
            stored = self._stored.get(digest)
            version = 0 if stored is None else stored.version
            written = await self._store.write(
                f'{QUARANTINE_PREFIX}{digest}', suspicion, version
            )
            if isinstance(written, int):
                self._stored[digest] = _StoredSuspicion(suspicion, written)
            elif written.fault == StoreFault.CONFLICT:
                await self._read(digest)
            else:
                return False
        return False

    async def _read(self, digest: str) -> None:
        """Read the record of one request and merge it."""
        key = f'{QUARANTINE_PREFIX}{digest}'
        found = await self._store.read(key)
        if isinstance(found, StoreValue):
            self._accept((StoreItem(key, found.document, found.version),))
        elif found.fault == StoreFault.NOT_FOUND:
            self._stored.pop(digest, None)

    async def _remove_expired(self) -> None:
        """Remove one record that expired long ago."""
        cutoff = self._wall_clock() - REMOVAL_DELAY_S
        expired = [
            stored
            for stored in self._stored.values()
            if stored.suspicion.expires_at < cutoff
        ]
        if expired:
            oldest = self._rng.choice(expired)
            key = f'{QUARANTINE_PREFIX}{oldest.suspicion.digest}'
            await self._store.remove(key, oldest.version)

    async def _wait_for_change(self) -> None:
        interval_s = COMPARISON_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(interval_s):
                await self._has_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._rng.uniform(0, MAX_COMPARISON_DELAY_S))
