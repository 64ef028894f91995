"""Segments of a ledger slot: the form in which keys lie in the store."""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from merlintrail.state import KeyRecord, KeyState

#: Keys of one segment; a full one is sealed and the next begun.
MAX_SEGMENT_KEYS: Final = 500


class Segment(NamedTuple):
    """One stored part of a slot's log."""

    sequence: int
    #: Version in the store, 0 for one that is not there yet.
    version: int
    records: tuple[KeyRecord, ...] = ()
    #: Whether the log goes on in the next segment.
    is_sealed: bool = False
    #: Identifier of the write that brought the segment to this form.
    nonce: str = ''

    @property
    def is_full(self) -> bool:
        """Whether the segment is to be sealed."""
        return len(self.records) >= MAX_SEGMENT_KEYS

    @property
    def last_recorded_at(self) -> float:
        """Time of the last record, 0 when there is none."""
        return self.records[-1].recorded_at if self.records else 0.0

    def encode(self, owner: str) -> Mapping[str, Any]:
        """Return the JSON form.

        :param owner: identifier of the writing node.
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
    """Read a segment from its JSON form."""
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
