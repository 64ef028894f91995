"""Keys of non-idempotent requests that a ledger slot has recorded."""

import enum
from collections import OrderedDict
from typing import NamedTuple

from merlintrail.transport import HttpResponse


class KeyState(enum.StrEnum):
    """What the ledger knows of a key."""

    #: An append is in flight or the request runs at this owner.
    RUNNING = 'running'
    #: Recorded: it ran, or may have run.
    EXECUTED = 'executed'
    #: Proved not to have run; it may be tried again.
    RELEASED = 'released'


class KeyRecord(NamedTuple):
    """One key in the ledger."""

    key: str
    #: Digest of the request that the key belongs to.
    digest: str
    #: Seconds since the epoch.
    recorded_at: float
    state: KeyState
    #: Identifier of the node that recorded it.
    owner: str
    answer: HttpResponse | None = None


class LedgerIndex:
    """Keys of one slot, oldest first."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._records)

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def put(self, record: KeyRecord) -> None:
        """Record a key, or replace what is known of it."""
        self._records[record.key] = record

    def remove_older(self, oldest: float) -> int:
        """Remove keys recorded before a time; return how many."""
        removed = 0
        while self._records:
            first = next(iter(self._records.values()))
            if first.recorded_at >= oldest or first.state == KeyState.RUNNING:
                break
            self._records.popitem(last=False)
            removed += 1
        return removed
