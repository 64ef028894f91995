"""Typed messages of the membership protocol."""

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
    """News of a member that needs no more than its status."""

    node_id: str
    incarnation: int
    version: int
    #: Value of :class:`MemberStatus`.
    status: int


_REQUIRED_FIELDS: Final = frozenset(
    ('sender', 'incarnation', 'generation', 'digest')
)


class Gossip(NamedTuple):
    """A heartbeat with the news that the receiver may not know."""

    sender: str
    incarnation: int
    #: Generation of the configuration at the sender.
    generation: int
    #: Digest of the sender's member table.
    digest: int
    #: Whole records of members.
    members: Sequence[Any] = ()
    #: Records of :class:`StatusUpdate`.
    statuses: Sequence[Any] = ()
    #: Records of :class:`Suspicion`.
    suspicions: Sequence[Any] = ()

    @property
    def has_updates(self) -> bool:
        """Whether it is more than a heartbeat."""
        return bool(self.members or self.statuses or self.suspicions)


def encode_gossip(gossip: Gossip) -> dict[str, Any]:
    """Return the JSON form of a message, without what is empty."""
    return {
        name: value
        for name, value in gossip._asdict().items()
        if value or name in _REQUIRED_FIELDS
    }


def read_members(records: Sequence[Any]) -> list[Member]:
    """Read member records; a malformed one is passed over."""
    members = [read_member(record) for record in records]
    return [member for member in members if member is not None]


def read_statuses(records: Sequence[Any]) -> list[StatusUpdate]:
    """Read status records; a malformed one is passed over."""
    return [
        StatusUpdate(*record)
        for record in records
        if len(record) == len(StatusUpdate._fields)
        and record[3] in MemberStatus.__members__.values()
    ]


def read_suspicions(records: Sequence[Any]) -> list[Suspicion]:
    """Read suspicions; a malformed one is passed over."""
    suspicions = [read_suspicion(record) for record in records]
    return [suspicion for suspicion in suspicions if suspicion is not None]
