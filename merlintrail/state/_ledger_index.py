"""Idempotency keys recorded in a ledger slot."""

import enum
from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from merlintrail.transport import HttpResponse


class KeyState(enum.StrEnum):
    """State of an idempotency key in the ledger."""

    #: The request is being recorded or runs at this owner.
    RUNNING = 'running'
    #: The request ran or may have run.
    EXECUTED = 'executed'
    #: The request is proved not to have run and may be tried again.
    RELEASED = 'released'


class KeyRecord(NamedTuple):
    """The ledger record of one idempotency key."""

    key: str
    #: Digest of the request for which the key was used.
    digest: str
    #: Seconds since the epoch.
    recorded_at: float
    state: KeyState
    #: Identifier of the node that recorded the key.
    owner: str
    answer: HttpResponse | None = None


class LedgerIndex:
    """The records of one ledger slot, in the order of their first entry."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._records)

    def __iter__(self) -> Iterator[KeyRecord]:
        """Iterate over the records."""
        return iter(self._records.values())

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def put(self, record: KeyRecord) -> None:
        """Add or replace the record of a key."""
        self._records[record.key] = record

    def remove_older(self, oldest: float) -> int:
        """Remove leading records that are older than a time.

        It stops at the first record that is recent enough or running.

        :param oldest: time of the oldest record to keep, in seconds since
            the epoch.
        :returns: number of removed records.
        """
        removed = 0
        while self._records:
            first = next(iter(self._records.values()))
            if first.recorded_at >= oldest or first.state == KeyState.RUNNING:
                break
            self._records.popitem(last=False)
            removed += 1
        return removed
