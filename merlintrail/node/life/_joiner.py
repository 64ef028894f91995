"""Discovery of other nodes at startup."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from merlintrail.coordination import (
    Backoff,
    ConfigurationSource,
    Heartbeats,
    Membership,
    RelayAnnouncement,
    Store,
    find_relays,
    repeat_until_done,
)
from merlintrail.node._settings import Settings

#: Pauses after failed attempts.
_BACKOFF: Final = Backoff(first_s=0.2, limit_s=3.0)
#: Mean seconds for which a node that starts waits for the configuration of
#: the nodes that it joins. The document takes many times the bytes of a join,
#: and the store may be in another region.
FETCH_DELAY_S: Final = 0.2
#: First attempts that contact no relays of other data centres.
LOCAL_ATTEMPTS: Final = 1
#: Relays of other data centres that are contacted in each attempt.
MAX_REMOTE_RELAYS: Final = 2
#: Attempts of a former relay to reach the relays of a data centre that it does
#: not know, and the mean pause between them in seconds.
LINK_ATTEMPTS: Final = 8
LINK_PAUSE_S: Final = 0.1


class JoinerDependencies(NamedTuple):
    """Dependencies of :class:`Joiner`."""

    settings: Settings
    membership: Membership
    heartbeats: Heartbeats
    source: ConfigurationSource
    store: Store


class Joiner:
    """Joins the fleet through relays or the addresses in the settings.

    Each attempt contacts the relays of the own data centre and the addresses
    in the settings, and later ones also a few relays of other data centres.
    Joining takes the whole member table, which nodes that start together
    should get within their data centre. After a restart of all nodes, those
    that the store still lists as relays link the data centres again.
    """

    def __init__(self, deps: JoinerDependencies, rng: random.Random) -> None:
        self._deps = deps
        self._rng = rng
        self._attempts = 0
        self._relays: Sequence[RelayAnnouncement] = ()
        #: Set when the relays are known, or no longer needed.
        self._listed = asyncio.Event()

    async def run(self) -> None:
        """Retry until the node has joined and has a configuration.

        A node that became a relay itself need not join another one. It gets
        the configuration with the answer of the node that it joins. When that
        one does not have it either, as after a start of all nodes, or no node
        answers soon, the configuration is fetched from the store.
        """
        await asyncio.gather(
            self._join(), self._fetch_later(), self._link_data_centres()
        )

    async def _join(self) -> None:
        await repeat_until_done(self._try_join, _BACKOFF, self._rng)
        self._listed.set()
        await repeat_until_done(self._try_fetch, _BACKOFF, self._rng)

    async def _fetch_later(self) -> None:
        await asyncio.sleep(FETCH_DELAY_S * self._rng.uniform(0.5, 1.5))
        await repeat_until_done(self._try_fetch, _BACKOFF, self._rng)

    async def _link_data_centres(self) -> None:
        """Join a relay of each data centre of which no node is known.

        It takes the members alone, since the configuration comes from near.

        Only a node does so whose earlier run was a relay, and which therefore
        starts together with others: a new relay discovers the others later.
        """
        await self._listed.wait()
        settings = self._deps.settings
        addresses = [relay.address for relay in self._relays]
        if settings.peer_address not in addresses:
            return
        names = {relay.data_centre for relay in self._relays}
        names.discard(settings.data_centre)
        await asyncio.gather(*map(self._link, sorted(names)))

    async def _link(self, data_centre: str) -> None:
        addresses = [
            relay.address
            for relay in self._relays
            if relay.data_centre == data_centre
        ]
        for _ in range(LINK_ATTEMPTS):
            if self._knows(data_centre):
                return
            address = self._rng.choice(addresses)
            if await self._deps.heartbeats.join(
                address, pulls_configuration=False
            ):
                return
            await asyncio.sleep(LINK_PAUSE_S * self._rng.uniform(0.5, 1.5))

    def _knows(self, data_centre: str) -> bool:
        table = self._deps.membership.table
        return any(
            member.data_centre == data_centre for member in table.list_active()
        )

    async def _try_fetch(self) -> bool:
        holder = self._deps.membership.holder
        if holder.current is None:
            await self._deps.source.fetch()
        return holder.current is not None

    async def _try_join(self) -> bool:
        own_data_centre = self._deps.settings.data_centre
        relays = await find_relays(self._deps.store, may_be_stale=True)
        if relays:
            self._relays = relays
            self._listed.set()
        local_addresses = [
            relay.address
            for relay in relays
            if relay.data_centre == own_data_centre
        ]
        if await self._join_any([*local_addresses, *self._deps.settings.join]):
            return True
        self._attempts += 1
        if self._attempts <= LOCAL_ATTEMPTS:
            return self._deps.membership.own.is_relay
        remote_addresses = [
            relay.address
            for relay in relays
            if relay.data_centre != own_data_centre
        ]
        self._rng.shuffle(remote_addresses)
        if await self._join_any(remote_addresses[:MAX_REMOTE_RELAYS]):
            return True
        return self._deps.membership.own.is_relay

    async def _join_any(self, addresses: Sequence[str]) -> bool:
        for address in addresses:
            if address == self._deps.settings.peer_address:
                continue
            if await self._deps.heartbeats.join(address):
                return True
        return False
