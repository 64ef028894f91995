"""Relays, the few nodes of each data centre that watch the store.

A relay holds one of the data centre's relay slots in the store by a lease. It
passes configurations on by gossip, joins relays that its node does not know
yet, and compares the quarantined requests with the store.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from merlintrail.coordination._configuration_source import ConfigurationSource
from merlintrail.coordination._configuration_watch import ConfigurationWatch
from merlintrail.coordination._heartbeat import Heartbeats
from merlintrail.coordination._membership import Membership
from merlintrail.coordination._quarantine_archive import QuarantineArchive
from merlintrail.coordination._relay_slots import (
    LEASE_DURATION_S,
    RELAYS_PER_DATA_CENTRE,
    RelaySlots,
    SlotClaim,
    find_relays,
)
from merlintrail.coordination._store import Store, StoreFailure, StoreFault
from merlintrail.coordination._supervision import run_supervised
from merlintrail.coordination._topology import compute_hash
from merlintrail.observability import create_logger
from merlintrail.state import Member, MemberStatus
from merlintrail.state.repeats import SlotRight

#: Probability that a node which is not preferred tries for a free slot at a
#: check, in case the preferred nodes cannot reach the store.
SUBSTITUTE_PROBABILITY: Final = 0.02
#: Seconds after which a slot that is still free is tried for by about one
#: node of the data centre at each check.
VACANCY_LIMIT_S: Final = 2.0
#: Seconds between renewals of the lease.
RENEWAL_INTERVAL_S: Final = 2.0
#: Seconds between checks for a free relay slot in the data centre.
CHECK_INTERVAL_S: Final = 1.0
#: Seconds over which nodes that know no other node of their data centre
#: spread their first check, so that the first ones become relays and the
#: others find them.
ALONE_SPREAD_S: Final = 1.0
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
MAX_BACKOFF_S: Final = 1.0

_LOG: Final = create_logger('relay')


class RelayDependencies(NamedTuple):
    """Dependencies of :class:`Relay`."""

    membership: Membership
    heartbeats: Heartbeats
    store: Store
    source: ConfigurationSource
    archive: QuarantineArchive
    #: Clock in seconds that also counts while the machine is suspended.
    clock: Callable[[], float]


class Relay:
    """Acquires a free relay slot and watches the store while it holds it."""

    def __init__(self, deps: RelayDependencies, rng: random.Random) -> None:
        store = deps.store
        self._membership = deps.membership
        self._archive = deps.archive
        self._heartbeats = deps.heartbeats
        self._store = store
        self._clock = deps.clock
        self._slots = RelaySlots(deps.membership, store, deps.clock)
        self._rng = rng
        #: The slot that this node holds, for what its holder alone may do.
        self.right = SlotRight()
        self._backoff_s = MIN_BACKOFF_S
        #: Clock time since which a slot has been free, ``None`` if all
        #: are held.
        self._vacant_since: float | None = None
        #: Watch of the configuration, which begins anew with each slot.
        self.watch = ConfigurationWatch(
            store,
            deps.source.offer,
            deps.source.confirm,
            rng,
        )

    async def run(self) -> None:
        """Repeatedly acquire a free slot and serve as a relay."""
        if self._is_alone():
            await asyncio.sleep(ALONE_SPREAD_S * self._rng.random())
        while True:
            await self._check_slots()
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.7, 1.3))

    async def _check_slots(self) -> None:
        """Serve as a relay if this node should and can claim a slot."""
        slot = self._choose_slot()
        if slot is None:
            return
        claim = await self._claim_slot(slot)
        if claim is None:
            await self._back_off()
            return
        self._backoff_s = MIN_BACKOFF_S
        await self._serve(claim)

    def _is_alone(self) -> bool:
        """Return whether no other node of the data centre is known."""
        own = self._membership.own
        return not any(
            member.data_centre == own.data_centre
            and member.node_id != own.node_id
            for member in self._membership.table.list_active()
        )

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
        if free <= 0:
            self._vacant_since = None
            return None
        preferred_ids = [member.node_id for member in preferred]
        is_preferred = own.node_id in preferred_ids
        if not (is_preferred or self._is_substitute(len(alive))):
            return None
        return (compute_hash(own.node_id) + self._rng.getrandbits(1)) % (
            RELAYS_PER_DATA_CENTRE
        )

    def _is_substitute(self, nodes: int) -> bool:
        """Return whether to try for a free slot in place of another node.

        :param nodes: number of nodes in the data centre.
        """
        now = self._clock()
        if self._vacant_since is None:
            self._vacant_since = now
        probability = SUBSTITUTE_PROBABILITY
        if now - self._vacant_since > VACANCY_LIMIT_S:
            probability = max(probability, 1 / nodes)
        return self._rng.random() < probability

    async def _claim_slot(self, first: int) -> SlotClaim | None:
        """Claim a slot that is free or abandoned, or join those who hold them.

        The slots are read before anything is written, since nodes that start
        together do not know yet that others have claimed them.

        :param first: number of the slot to prefer.
        :returns: ``None`` if no slot was claimed.
        """
        slots = await self._slots.list_slots()
        if isinstance(slots, StoreFailure):
            return None
        if slots.free_versions:
            return await self._slots.claim(slots, first)
        # A dead member's lease may still run; waiting for it gains nothing.
        await self._join_one(slots.relay_addresses, self._membership.table)
        return None

    async def _serve(self, claim: SlotClaim) -> None:
        self._membership.update_own(is_relay=True)
        self.right.begin(claim.slot, claim.asked_at, LEASE_DURATION_S)
        _LOG.info(
            'relay begins',
            extra={'instance': self._membership.own.node_id},
        )
        renewal = asyncio.create_task(self._keep_lease(claim))
        watch = asyncio.create_task(run_supervised('watch', self.watch.run))
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
            await self._step_down(claim.lease)

    async def _step_down(self, lease: str) -> None:
        self.right.end()
        _LOG.info('relay ends')
        self._membership.update_own(is_relay=False)
        await self._store.revoke_lease(lease)

    async def _keep_lease(self, claim: SlotClaim) -> None:
        """Renew the lease until it has expired or this node leaves.

        Other failures of the store are retried at the next renewal. The node
        counts as a relay only while its lease is confirmed: another one of
        the data centre can then claim a slot that may have become free.
        """
        confirmed_at = claim.asked_at
        while self._membership.own.status == MemberStatus.ALIVE:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            asked_at = self._clock()
            failure = await self._store.renew_lease(claim.lease)
            if failure is None:
                confirmed_at = asked_at
                self.right.confirm(asked_at)
                self._confirm_role(is_confirmed=True)
                continue
            unconfirmed_s = self._clock() - confirmed_at
            _LOG.warning(
                'relay lease not renewed',
                extra={
                    'unconfirmed_s': round(unconfirmed_s, 3),
                    'fault': failure.fault.value,
                    'reason': failure.reason,
                },
            )
            if failure.fault == StoreFault.LEASE_EXPIRED:
                return
            if unconfirmed_s > LEASE_DURATION_S:
                self._confirm_role(is_confirmed=False)

    def _confirm_role(self, *, is_confirmed: bool) -> None:
        if self._membership.own.is_relay != is_confirmed:
            _LOG.info('relay confirmed', extra={'is_confirmed': is_confirmed})
            self._membership.update_own(is_relay=is_confirmed)

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
        addresses = [relay.address for relay in relays]
        await self._join_one(addresses, self._membership.table.list_active())

    async def _join_one(
        self, addresses: Iterable[str], known: Iterable[Member]
    ) -> None:
        """Join one of some relays that is not among known members, if any."""
        known_addresses = {member.peer_address for member in known}
        unknown_addresses = sorted(set(addresses) - known_addresses)
        if unknown_addresses:
            await self._heartbeats.join(self._rng.choice(unknown_addresses))

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._rng.uniform(0.5, 1.5))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
