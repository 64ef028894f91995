"""Segments of a ledger slot's log, the form in which the store holds it."""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from merlintrail.state import KeyRecord, KeyState

#: Records after which a segment is sealed and the next one begins. A batch is
#: written whole, so that a segment may exceed this.
MAX_SEGMENT_KEYS: Final = 500


class Segment(NamedTuple):
    """A part of a slot's log, stored under one key."""

    #: Position in the log, from 0.
    sequence: int
    #: Version in the store, 0 for a segment that is not stored yet.
    version: int
    records: tuple[KeyRecord, ...] = ()
    #: Whether the log continues in the next segment.
    is_sealed: bool = False
    #: Identifier of the latest write of the segment.
    nonce: str = ''

    @property
    def is_full(self) -> bool:
        """Whether the segment holds enough records to be sealed."""
        return len(self.records) >= MAX_SEGMENT_KEYS

    @property
    def last_recorded_at(self) -> float:
        """Time of the last record in seconds, 0 when there is none."""
        return self.records[-1].recorded_at if self.records else 0.0

    def encode(self, owner: str) -> Mapping[str, Any]:
        """Return the JSON document that is stored.

        :param owner: identifier of the node that writes the segment.
        """
        return {
            'owner': owner,
            'nonce': self.nonce,
            'sealed': self.is_sealed,
            'records': [
                (
                    record.key,
                    record.digest,
                    record.recorded_at,
                    record.state.value,
                    record.owner,
                )
                for record in self.records
            ],
        }


def read_segment(
    sequence: int, version: int, document: Mapping[str, Any]
) -> Segment:
    """Decode a segment from its stored JSON document."""
    return Segment(
        sequence,
        version,
        tuple(_read_records(document['records'])),
        document['sealed'],
        document['nonce'],
    )


def _read_records(records: Iterable[Any]) -> Iterable[KeyRecord]:
    for key, digest, recorded_at, state, owner in records:
        yield KeyRecord(key, digest, recorded_at, KeyState(state), owner)
