"""The table of nodes and the rule by which news of them is merged."""

import enum
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final, NamedTuple

import xxhash

from merlintrail.protocol import encode_json

#: Seconds for which a member that left is remembered.
LEFT_RETENTION_S: Final = 120.0
#: Seconds for which a member that fell silent is remembered, so that
#: regions that were apart find each other again.
DEAD_RETENTION_S: Final = 7200.0


class MemberStatus(enum.IntEnum):
    """State of a member; of equal news the higher one counts."""

    ALIVE = 0
    DRAINING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4

    @property
    def has_departed(self) -> bool:
        """Whether the member takes no further part."""
        return self >= MemberStatus.DEAD


class ServiceOffer(NamedTuple):
    """A backend server beside a node."""

    service: str
    slots: int
    #: Whether it takes new calls.
    is_ready: bool = True


class Member(NamedTuple):
    """What is known of one node."""

    node_id: str
    #: Set at start; a later process at the same place has a higher one.
    incarnation: int
    #: Raised by the member itself with each change.
    version: int
    #: Value of :class:`MemberStatus`.
    status: int
    data_centre: str
    #: ``host:port`` for callers.
    call_address: str
    #: ``host:port`` for nodes.
    peer_address: str
    offers: tuple[ServiceOffer, ...] = ()
    #: Whether the node watches the store for its data centre.
    is_relay: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Precedence among news of the same member."""
        return (self.incarnation, self.version, self.status)

    @property
    def has_departed(self) -> bool:
        """Whether the member takes no further part."""
        return self.status >= MemberStatus.DEAD

    def find_offer(self, service: str) -> ServiceOffer | None:
        """Return the offer for a service."""
        for offer in self.offers:
            if offer.service == service:
                return offer
        return None


def read_member(document: object) -> Member | None:
    """Read a member from a JSON array in the order of the fields.

    :returns: ``None`` when the array does not have that shape.
    """
    if not isinstance(document, Sequence) or len(document) != len(
        Member._fields
    ):
        return None
    try:
        member = Member(*document)
        offers = tuple(ServiceOffer(*offer) for offer in member.offers)
    except TypeError:
        return None
    numbers = (member.incarnation, member.version, member.status)
    if not all(isinstance(number, int) for number in numbers):
        return None
    return member._replace(offers=offers)


def compute_member_hash(member: Member) -> int:
    """Compute the hash of one member's news."""
    news = (member.node_id, *member.order)
    digest: int = xxhash.xxh3_64_intdigest(encode_json(news))
    return digest


class MemberTable:
    """All members that a node knows, with a digest of the whole."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._gone_since: dict[str, float] = {}
        self._digest = 0
        self._listeners: list[Callable[[Member | None, Member], None]] = []

    def __len__(self) -> int:
        """Return the number of members known, gone ones included."""
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members known."""
        return iter(self._members.values())

    @property
    def digest(self) -> int:
        """Hash that equals another node's when both know the same."""
        return self._digest

    def add_listener(
        self, listener: Callable[[Member | None, Member], None]
    ) -> None:
        """Have each change told, with what was known before."""
        self._listeners.append(listener)

    def find(self, node_id: str) -> Member | None:
        """Return what is known of a member."""
        return self._members.get(node_id)

    def list_active(self) -> list[Member]:
        """Return the members that are not gone."""
        return [member for member in self if not member.has_departed]

    def merge(self, news: Iterable[Member]) -> list[Member]:
        """Take news and return those that were new."""
        return [member for member in news if self._merge_one(member)]

    def remove_expired(self) -> None:
        """Remove members that have been gone for long."""
        now = self._clock()
        for node_id, since in tuple(self._gone_since.items()):
            member = self._members[node_id]
            retention_s = DEAD_RETENTION_S
            if member.status == MemberStatus.LEFT:
                retention_s = LEFT_RETENTION_S
            if now - since > retention_s:
                del self._members[node_id]
                self._digest ^= compute_member_hash(member)
                del self._gone_since[node_id]

    def _merge_one(self, member: Member) -> bool:
        known = self._members.get(member.node_id)
        if known is not None and known.order >= member.order:
            return False
        if known is None and member.has_departed:
            return False
        if known is not None:
            self._digest ^= compute_member_hash(known)
        self._members[member.node_id] = member
        self._digest ^= compute_member_hash(member)
        if member.has_departed:
            self._gone_since.setdefault(member.node_id, self._clock())
        else:
            self._gone_since.pop(member.node_id, None)
        for listener in self._listeners:
            listener(known, member)
        return True
