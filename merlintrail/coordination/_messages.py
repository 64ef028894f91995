"""Messages of the membership protocol and their JSON form."""

from collections.abc import Sequence
from typing import Any, Final, NamedTuple

from merlintrail.state import (
    Member,
    MemberStatus,
    Suspicion,
    read_member,
    read_suspicion,
)


class StatusUpdate(NamedTuple):
    """Update of a member's status, sent in place of its whole record."""

    node_id: str
    incarnation: int
    version: int
    #: Value of :class:`MemberStatus`.
    status: int


#: Fields that are sent even when their value is empty or 0.
_REQUIRED_FIELDS: Final = frozenset(
    ('sender', 'incarnation', 'generation', 'digest')
)
_MS_PER_S: Final = 1000


class Gossip(NamedTuple):
    """A heartbeat with updates that the receiver may not have."""

    #: Identifier of the sending node.
    sender: str
    #: Incarnation of the sending node.
    incarnation: int
    #: Generation of the configuration at the sender.
    generation: int
    #: Digest of the sender's member table.
    digest: int
    #: Complete member records.
    members: Sequence[Any] = ()
    #: Records of :class:`StatusUpdate`.
    statuses: Sequence[Any] = ()
    #: Records of :class:`Suspicion`.
    suspicions: Sequence[Any] = ()
    #: Digest of the sender's suspicions, 0 without any.
    suspicion_digest: int = 0
    #: Milliseconds since the sender's generation was last confirmed as the
    #: newest, ``None`` if the sender does not state it.
    confirmation_age_ms: int | None = None

    @property
    def has_updates(self) -> bool:
        """Whether the message carries any updates."""
        return bool(self.members or self.statuses or self.suspicions)


def encode_gossip(gossip: Gossip) -> dict[str, Any]:
    """Return the JSON form of a message, without empty optional fields."""
    return {
        name: value
        for name, value in gossip._asdict().items()
        if value or name in _REQUIRED_FIELDS
    }


def encode_age(age_s: float) -> int:
    """Return the milliseconds of an age, at least 1."""
    return max(1, round(age_s * _MS_PER_S))


def read_age(age_ms: object) -> float | None:
    """Return the seconds of an age that a message states.

    :returns: ``None`` for anything but a whole number of milliseconds.
    """
    if isinstance(age_ms, bool) or not isinstance(age_ms, int) or age_ms < 0:
        return None
    return age_ms / _MS_PER_S


def read_members(records: Sequence[Any]) -> list[Member]:
    """Decode member records; malformed ones are skipped."""
    members = [read_member(record) for record in records]
    return [member for member in members if member is not None]


def read_statuses(records: Sequence[Any]) -> list[StatusUpdate]:
    """Decode status updates.

    Records of another shape or with an unknown status are skipped.
    """
    return [
        StatusUpdate(*record) for record in records if _is_status_update(record)
    ]


def _is_status_update(record: object) -> bool:
    if not isinstance(record, Sequence):
        return False
    if len(record) != len(StatusUpdate._fields):
        return False
    statuses: list[object] = list(MemberStatus)
    return record[3] in statuses


def read_suspicions(records: Sequence[Any]) -> list[Suspicion]:
    """Decode suspicions; malformed ones are skipped."""
    suspicions = [read_suspicion(record) for record in records]
    return [suspicion for suspicion in suspicions if suspicion is not None]
