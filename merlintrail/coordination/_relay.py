"""Relays, the few nodes of each data centre that watch the store.

A relay holds one of the data centre's relay slots in the store by a lease. It
passes configurations on by gossip, joins relays that its node does not know
yet, and compares the quarantined requests with the store.
"""

import asyncio
import random
from typing import Final, NamedTuple

from merlintrail.coordination._changes import (
    CONFIGURATION_KEY,
    read_envelope,
)
from merlintrail.coordination._heartbeat import Heartbeats
from merlintrail.coordination._membership import Membership
from merlintrail.coordination._quarantine_archive import QuarantineArchive
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreFault,
    StoreValue,
)
from merlintrail.coordination._supervision import run_supervised
from merlintrail.coordination._topology import compute_hash
from merlintrail.observability import create_logger
from merlintrail.protocol import DecodeFailure, decode_record
from merlintrail.state import MemberStatus

#: Prefix of the keys under which relays announce themselves.
RELAY_PREFIX: Final = 'relay/'
#: Relay slots of each data centre.
RELAYS_PER_DATA_CENTRE: Final = 2
#: Probability that a node which is not preferred tries for a free slot at a
#: check, in case the preferred nodes cannot reach the store.
SUBSTITUTE_PROBABILITY: Final = 0.02
#: Seconds until a relay's lease expires unless it is renewed.
LEASE_DURATION_S: Final = 6.0
#: Seconds between renewals of the lease.
RENEWAL_INTERVAL_S: Final = 2.0
#: Seconds for which one watch waits for changes.
WATCH_TIMEOUT_S: Final = 20.0
#: Seconds between checks for a free relay slot in the data centre.
CHECK_INTERVAL_S: Final = 1.0
#: Seconds between polls of the store for unknown relays.
DISCOVERY_INTERVAL_S: Final = 5.0
#: Seconds after its start during which a relay polls at the eager interval.
EAGER_DISCOVERY_PERIOD_S: Final = 20.0
#: Seconds between polls during that period.
EAGER_DISCOVERY_INTERVAL_S: Final = 0.5
#: Seconds of the first pause after a store failure or a failed attempt to
#: acquire a slot; each further failure doubles it.
MIN_BACKOFF_S: Final = 0.2
#: Upper limit of the doubled pause, in seconds.
MAX_BACKOFF_S: Final = 5.0

_LOG: Final = create_logger('relay')


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
        document = _read_document(entry.document)
        if document is None:
            _LOG.error('stored relay unreadable', extra={'key': entry.key})
            continue
        data_centre, _, _ = entry.key.removeprefix(RELAY_PREFIX).partition('/')
        relays.append(RelayAnnouncement(data_centre, document.address))
    return relays


class _RelayDocument(NamedTuple):
    """What the store holds under the key of a relay slot."""

    #: ``host:port`` at which the relay accepts messages from other nodes.
    address: str
    #: Run of the relay's process.
    incarnation: int = 0


def _read_document(document: object) -> _RelayDocument | None:
    """Decode the document of a relay slot.

    :returns: ``None`` for one of another form.
    """
    decoded = decode_record(_RelayDocument, document)
    if isinstance(decoded, DecodeFailure):
        return None
    is_typed = isinstance(decoded.address, str) and isinstance(
        decoded.incarnation, int
    )
    return decoded if is_typed else None


class Relay:
    """Acquires a free relay slot and watches the store while it holds it."""

    def __init__(
        self,
        membership: Membership,
        heartbeats: Heartbeats,
        store: Store,
        archive: QuarantineArchive,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._archive = archive
        self._heartbeats = heartbeats
        self._store = store
        self._rng = rng
        self._backoff_s = MIN_BACKOFF_S

    async def run(self) -> None:
        """Repeatedly acquire a free slot and serve as a relay."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.7, 1.3))
            slot = self._choose_slot()
            if slot is None:
                continue
            lease = await self._acquire_slot(slot)
            if lease is None:
                await self._back_off()
                continue
            self._backoff_s = MIN_BACKOFF_S
            await self._serve(lease)

    async def fetch_configuration(self) -> StoreValue | StoreFailure:
        """Read the configuration from the store and offer it to the node."""
        stored = await self._store.read(CONFIGURATION_KEY)
        if isinstance(stored, StoreValue):
            self._offer_configuration(stored)
        return stored

    def _choose_slot(self) -> int | None:
        """Return the slot that this node should try for, if any."""
        own = self._membership.own
        if own.status != MemberStatus.ALIVE:
            return None
        alive = [
            member
            for member in self._membership.table
            if member.data_centre == own.data_centre
            and member.status == MemberStatus.ALIVE
        ]
        free = RELAYS_PER_DATA_CENTRE - sum(
            1 for member in alive if member.is_relay
        )
        preferred = sorted(
            (member for member in alive if not member.is_relay),
            key=lambda member: compute_hash(member.node_id),
        )[: max(0, free)]
        preferred_ids = [member.node_id for member in preferred]
        is_preferred = own.node_id in preferred_ids
        is_substitute = self._rng.random() < SUBSTITUTE_PROBABILITY
        if free <= 0 or not (is_preferred or is_substitute):
            return None
        return (compute_hash(own.node_id) + self._rng.getrandbits(1)) % (
            RELAYS_PER_DATA_CENTRE
        )

    async def _acquire_slot(self, slot: int) -> str | None:
        lease = await self._store.grant_lease(LEASE_DURATION_S)
        if isinstance(lease, StoreFailure):
            return None
        for offset in range(RELAYS_PER_DATA_CENTRE):
            if await self._claim_slot(
                (slot + offset) % RELAYS_PER_DATA_CENTRE, lease
            ):
                return lease
        await self._store.revoke_lease(lease)
        return None

    async def _claim_slot(self, slot: int, lease: str) -> bool:
        """Write the key of a slot that is free or abandoned."""
        own = self._membership.own
        key = build_relay_key(own.data_centre, slot)
        current = await self._store.read(key)
        version = 0
        if isinstance(current, StoreValue):
            if not self._is_abandoned(current):
                return False
            version = current.version
        elif current.fault != StoreFault.NOT_FOUND:
            return False
        document = _RelayDocument(own.peer_address, own.incarnation)
        written = await self._store.write(
            key, document._asdict(), version, lease
        )
        return isinstance(written, int)

    def _is_abandoned(self, announcement: StoreValue) -> bool:
        """Return whether a later process uses the relay's address.

        A slot whose document is unreadable belongs to no relay.
        """
        document = _read_document(announcement.document)
        return document is None or any(
            member.peer_address == document.address
            and member.incarnation > document.incarnation
            for member in self._membership.table.list_active()
        )

    async def _serve(self, lease: str) -> None:
        self._membership.update_own(is_relay=True)
        _LOG.info(
            'relay begins',
            extra={'instance': self._membership.own.node_id},
        )
        renewal = asyncio.create_task(self._keep_lease(lease))
        watch = asyncio.create_task(run_supervised('watch', self._watch))
        discovery = asyncio.create_task(
            run_supervised('discovery', self._discover)
        )
        comparison = asyncio.create_task(
            run_supervised('comparison', self._archive.compare_repeatedly)
        )
        try:
            await renewal
        finally:
            for task in (watch, discovery, comparison, renewal):
                task.cancel()
            await self._step_down(lease)

    async def _step_down(self, lease: str) -> None:
        self._membership.update_own(is_relay=False)
        await self._store.revoke_lease(lease)

    async def _keep_lease(self, lease: str) -> None:
        """Renew the lease until it expires or this node stops being alive.

        Other failures of the store are retried at the next renewal.
        """
        while self._membership.own.status == MemberStatus.ALIVE:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            failure = await self._store.renew_lease(lease)
            if failure is None:
                continue
            if failure.fault == StoreFault.LEASE_EXPIRED:
                return

    async def _watch(self) -> None:
        position = 0
        while True:
            if position:
                changes = await self._store.watch(
                    CONFIGURATION_KEY, position, WATCH_TIMEOUT_S
                )
            else:
                changes = await self._store.read_range(CONFIGURATION_KEY)
            if isinstance(changes, StoreFailure):
                position = 0
                if changes.fault != StoreFault.HISTORY_LOST:
                    await self._back_off()
                continue
            self._backoff_s = MIN_BACKOFF_S
            position = changes.position
            for entry in changes.entries:
                if entry.key == CONFIGURATION_KEY:
                    self._offer_configuration(
                        StoreValue(entry.document, entry.version)
                    )

    async def _discover(self) -> None:
        """Poll the store for relays that this node does not know.

        This connects groups of nodes that started at the same time or were
        partitioned for a long time.
        """
        started_at = asyncio.get_running_loop().time()
        while True:
            age_s = asyncio.get_running_loop().time() - started_at
            interval_s = (
                DISCOVERY_INTERVAL_S
                if age_s > EAGER_DISCOVERY_PERIOD_S
                else EAGER_DISCOVERY_INTERVAL_S
            )
            await asyncio.sleep(interval_s * self._rng.uniform(0.5, 1.5))
            await self._join_unknown_relay()

    async def _join_unknown_relay(self) -> None:
        """Join one relay that the store lists and this node does not know."""
        relays = await find_relays(self._store, may_be_stale=True)
        known_addresses = {
            member.peer_address
            for member in self._membership.table.list_active()
        }
        unknown_addresses = sorted(
            {relay.address for relay in relays} - known_addresses
        )
        if unknown_addresses:
            await self._heartbeats.join(self._rng.choice(unknown_addresses))

    def _offer_configuration(self, stored: StoreValue) -> None:
        envelope = read_envelope(stored.document)
        if isinstance(envelope, DecodeFailure):
            _LOG.error(
                'stored document unreadable', extra={'reason': envelope.reason}
            )
            return
        if self._membership.holder.apply_if_newer(envelope):
            self._heartbeats.notify_neighbours()

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._rng.uniform(0.5, 1.5))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
