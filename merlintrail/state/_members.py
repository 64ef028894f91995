"""The table of nodes and the rule by which updates of it are merged."""

import enum
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Final, NamedTuple

import xxhash

from merlintrail.protocol import RunNotice, encode_json, read_run_notice

#: Seconds for which a member that left is kept in the table.
LEFT_RETENTION_S: Final = 120.0
#: Seconds for which a dead member is kept in the table. The time is long so
#: that regions can contact each other again after a network partition.
DEAD_RETENTION_S: Final = 7200.0


class MemberStatus(enum.IntEnum):
    """State of a member, in ascending order of precedence.

    Among updates of one version the higher status prevails.
    """

    ALIVE = 0
    DRAINING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4

    @property
    def has_departed(self) -> bool:
        """Whether the member is dead or has left."""
        return self >= MemberStatus.DEAD


class ServiceOffer(NamedTuple):
    """A backend server beside a node."""

    service: str
    #: Number of calls that the backend server can run at a time.
    slots: int
    #: Whether it accepts new calls.
    is_ready: bool = True
    #: The run that has left or is about to, ``None`` while it serves.
    departure: RunNotice | None = None


class Member(NamedTuple):
    """The state of one node as the members exchange it."""

    node_id: str
    #: Set at the start of the process. A later process with the same
    #: identifier has a higher one.
    incarnation: int
    #: Incremented by the member itself with each change.
    version: int
    #: Value of :class:`MemberStatus`.
    status: int
    data_centre: str
    #: ``host:port`` for callers.
    call_address: str
    #: ``host:port`` for other nodes.
    peer_address: str
    offers: tuple[ServiceOffer, ...] = ()
    #: Whether the node watches the store and passes configurations on.
    is_relay: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key for updates of one member; the highest prevails."""
        return (self.incarnation, self.version, self.status)

    @property
    def has_departed(self) -> bool:
        """Whether the member is dead or has left."""
        return self.status >= MemberStatus.DEAD

    def find_offer(self, service: str) -> ServiceOffer | None:
        """Return the offer for a service."""
        for offer in self.offers:
            if offer.service == service:
                return offer
        return None


def read_member(document: object) -> Member | None:
    """Read a member from a JSON array in the order of the fields.

    :returns: ``None`` if the array does not have that shape.
    """
    if not isinstance(document, Sequence) or len(document) != len(
        Member._fields
    ):
        return None
    try:
        member = Member(*document)
        offers = tuple(_read_offer(offer) for offer in member.offers)
    except TypeError:
        return None
    numbers = (member.incarnation, member.version, member.status)
    if not all(isinstance(number, int) for number in numbers):
        return None
    return member._replace(offers=offers)


def _read_offer(record: Sequence[Any]) -> ServiceOffer:
    offer = ServiceOffer(*record[: len(ServiceOffer._fields)])
    return offer._replace(departure=read_run_notice(offer.departure))


def compute_member_hash(member: Member) -> int:
    """Return a hash of a member's identifier and update order."""
    identity = (member.node_id, *member.order)
    digest: int = xxhash.xxh3_64_intdigest(encode_json(identity))
    return digest


class MemberTable:
    """All members that a node knows, with a digest of the whole table."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._members: dict[str, Member] = {}
        #: Clock times at which members departed.
        self._departed_at: dict[str, float] = {}
        #: Exclusive or of the hashes of all members.
        self._digest = 0
        self._listeners: list[Callable[[Member | None, Member], None]] = []

    def __len__(self) -> int:
        """Return the number of members, including departed ones."""
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members, including departed ones."""
        return iter(self._members.values())

    @property
    def digest(self) -> int:
        """Hash by which nodes detect that their tables differ."""
        return self._digest

    def add_listener(
        self, listener: Callable[[Member | None, Member], None]
    ) -> None:
        """Add a function to call after each change of a member.

        It receives the previous state, ``None`` for a new member, and the
        new one.
        """
        self._listeners.append(listener)

    def find(self, node_id: str) -> Member | None:
        """Return a member by its identifier."""
        return self._members.get(node_id)

    def list_active(self) -> list[Member]:
        """Return the members that have not departed."""
        return [member for member in self if not member.has_departed]

    def merge(self, updates: Iterable[Member]) -> list[Member]:
        """Merge updates and return those that changed the table."""
        return [member for member in updates if self._merge_one(member)]

    def remove_expired(self) -> None:
        """Remove departed members whose retention time has passed."""
        now = self._clock()
        for node_id, departed_at in tuple(self._departed_at.items()):
            member = self._members[node_id]
            retention_s = DEAD_RETENTION_S
            if member.status == MemberStatus.LEFT:
                retention_s = LEFT_RETENTION_S
            if now - departed_at > retention_s:
                del self._members[node_id]
                self._digest ^= compute_member_hash(member)
                del self._departed_at[node_id]

    def _merge_one(self, member: Member) -> bool:
        """Merge an update and return whether it changed the table.

        An update is ignored unless it is newer than the current state. So is
        the departure of an unknown member, which has nothing to remove.
        """
        previous = self._members.get(member.node_id)
        if previous is not None and previous.order >= member.order:
            return False
        if previous is None and member.has_departed:
            return False
        if previous is not None:
            self._digest ^= compute_member_hash(previous)
        self._members[member.node_id] = member
        self._digest ^= compute_member_hash(member)
        if member.has_departed:
            self._departed_at.setdefault(member.node_id, self._clock())
        else:
            self._departed_at.pop(member.node_id, None)
        for listener in self._listeners:
            listener(previous, member)
        return True
