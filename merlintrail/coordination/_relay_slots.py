"""Relay slots in the store: a lease holds each of a data centre's few."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from merlintrail.coordination._membership import Membership
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreItem,
)
from merlintrail.coordination._unreadable_entries import log_unreadable_entry
from merlintrail.protocol import DecodeFailure, decode_record
from merlintrail.transport import parse_address

#: Prefix of the keys under which relays announce themselves.
RELAY_PREFIX: Final = 'relay/'
#: Relay slots of each data centre.
RELAYS_PER_DATA_CENTRE: Final = 2
#: Seconds until a relay's lease expires unless it is renewed.
LEASE_DURATION_S: Final = 6.0


def build_relay_key(data_centre: str, slot: int) -> str:
    """Return the store key of a relay slot."""
    return f'{RELAY_PREFIX}{data_centre}/{slot}'


class RelayAnnouncement(NamedTuple):
    """A relay that the store lists."""

    data_centre: str
    #: ``host:port`` at which the relay accepts messages from other nodes.
    address: str


async def find_relays(
    store: Store, *, may_be_stale: bool = False
) -> list[RelayAnnouncement]:
    """Return the relays of all data centres; none if the store fails.

    :param may_be_stale: whether a listing that is seconds old suffices.
    """
    listing = await store.read_range(RELAY_PREFIX, may_be_stale=may_be_stale)
    if isinstance(listing, StoreFailure):
        return []
    relays = []
    for entry in listing.entries:
        document = read_relay_document(entry.document)
        if isinstance(document, DecodeFailure):
            log_unreadable_entry(entry.key, entry.version, document.reason)
            continue
        data_centre, _, _ = entry.key.removeprefix(RELAY_PREFIX).partition('/')
        relays.append(RelayAnnouncement(data_centre, document.address))
    return relays


class RelayDocument(NamedTuple):
    """What the store holds under the key of a relay slot."""

    #: ``host:port`` at which the relay accepts messages from other nodes.
    address: str
    #: Run of the relay's process.
    incarnation: int = 0


def read_relay_document(document: object) -> RelayDocument | DecodeFailure:
    """Decode the document of a relay slot.

    :returns: a failure for one that names no relay to connect to.
    """
    decoded = decode_record(RelayDocument, document)
    if isinstance(decoded, DecodeFailure):
        return decoded
    incarnation: object = decoded.incarnation
    if parse_address(decoded.address) is None:
        return DecodeFailure(f'not an address: {decoded.address!r}')
    if not isinstance(incarnation, int):
        return DecodeFailure(f'not an incarnation: {incarnation!r}')
    return decoded


class SlotClaim(NamedTuple):
    """A relay slot that this node holds."""

    #: Number of the slot in its data centre.
    slot: int
    lease: str
    #: Clock time at which the lease was asked for. It runs from when the
    #: store received the call.
    asked_at: float


class ListedSlots(NamedTuple):
    """The relay slots of a data centre as the store lists them."""

    #: Version of the key of each slot that can be claimed, by slot number.
    free_versions: Mapping[int, int]
    #: Addresses of the relays that hold the others.
    relay_addresses: Sequence[str]


class RelaySlots:
    """The relay slots of a node's data centre."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock

    async def list_slots(self) -> ListedSlots | StoreFailure:
        """Read which slots are held and which can be claimed."""
        data_centre = self._membership.own.data_centre
        listing = await self._store.read_range(f'{RELAY_PREFIX}{data_centre}/')
        if isinstance(listing, StoreFailure):
            return listing
        return self._sort_slots(listing.entries)

    async def claim(self, slots: ListedSlots, first: int) -> SlotClaim | None:
        """Claim one of the slots that can be claimed.

        :param first: number of the slot to prefer.
        :returns: ``None`` if no slot could be claimed.
        """
        asked_at = self._clock()
        lease = await self._store.grant_lease(LEASE_DURATION_S)
        if isinstance(lease, StoreFailure):
            return None
        numbers = sorted(slots.free_versions, key=first.__ne__)
        for number in numbers:
            version = slots.free_versions[number]
            if await self._write(number, version, lease):
                return SlotClaim(number, lease, asked_at)
        await self._store.revoke_lease(lease)
        return None

    def _sort_slots(self, entries: Sequence[StoreItem]) -> ListedSlots:
        held = {entry.key: entry for entry in entries}
        free_versions = {}
        addresses = []
        for slot in range(RELAYS_PER_DATA_CENTRE):
            key = build_relay_key(self._membership.own.data_centre, slot)
            entry = held.get(key)
            if entry is None:
                free_versions[slot] = 0
                continue
            document = read_relay_document(entry.document)
            if isinstance(document, DecodeFailure):
                log_unreadable_entry(key, entry.version, document.reason)
                free_versions[slot] = entry.version
            elif self._is_abandoned(document):
                free_versions[slot] = entry.version
            else:
                addresses.append(document.address)
        return ListedSlots(free_versions, addresses)

    def _is_abandoned(self, document: RelayDocument) -> bool:
        """Return whether a later process uses the relay's address."""
        return any(
            member.peer_address == document.address
            and member.incarnation > document.incarnation
            for member in self._membership.table.list_active()
        )

    async def _write(self, slot: int, version: int, lease: str) -> bool:
        own = self._membership.own
        document = RelayDocument(own.peer_address, own.incarnation)
        written = await self._store.write(
            build_relay_key(own.data_centre, slot),
            document._asdict(),
            version,
            lease,
        )
        return isinstance(written, int)
