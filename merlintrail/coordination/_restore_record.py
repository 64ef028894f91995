"""When the store was last restored from an older copy, as the store tells it."""

from collections.abc import Callable
from typing import Final

from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreFault,
    StoreValue,
)

#: Store key of the record.
RESTORE_RECORD_KEY: Final = 'ledger-restore'


class RestoreRecord:
    """The era of the store that the ledger has seen last, and its beginning.

    The first node that uses the ledger in a new era writes it, so that nodes
    that start later know that keys recorded before may be missing.
    """

    def __init__(self, store: Store, wall_clock: Callable[[], float]) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._era = 0
        #: Seconds since the epoch, 0 if the store was never restored.
        self.restored_at = 0.0

    async def refresh(self) -> StoreFailure | None:
        """Read the record of the current era, and write it if it is missing."""
        era = self._store.era
        if era == self._era:
            return None
        stored = await self._store.read(RESTORE_RECORD_KEY)
        version = 0
        if isinstance(stored, StoreValue):
            version = stored.version
            if stored.document['era'] == era:
                self._accept(era, stored.document['restored_at'])
                return None
        elif stored.fault != StoreFault.NOT_FOUND:
            return stored
        restored_at = self._wall_clock()
        written = await self._store.write(
            RESTORE_RECORD_KEY,
            {'era': era, 'restored_at': restored_at},
            version,
        )
        if isinstance(written, StoreFailure):
            return written
        self._accept(era, restored_at)
        return None

    def _accept(self, era: int, restored_at: float) -> None:
        self._era = era
        self.restored_at = restored_at
