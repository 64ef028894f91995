"""How a node that starts finds the others."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, NamedTuple

from merlintrail.coordination import (
    Heartbeats,
    Membership,
    Relay,
    Store,
    find_relays,
)
from merlintrail.node._settings import Settings

#: Seconds before the first and the longest pause between tries to join.
MIN_JOIN_PAUSE_S: Final = 0.2
MAX_JOIN_PAUSE_S: Final = 3.0
#: Relays of other data centres that a joining node asks at a time.
MAX_CONTACTS: Final = 2


class JoinParts(NamedTuple):
    """What a joiner is made with."""

    settings: Settings
    membership: Membership
    heartbeats: Heartbeats
    relay: Relay
    store: Store


class Joiner:
    """Joins through relays, then through the settings, else by itself."""

    def __init__(self, parts: JoinParts, source: random.Random) -> None:
        self._parts = parts
        self._source = source

    async def run(self) -> None:
        """Find other nodes; go on until one is found or this is a relay.

        The configuration is fetched meanwhile: the others may have started
        at the same time and know none either.
        """
        await asyncio.gather(
            self._repeat(self._try_join), self._repeat(self._try_fetch)
        )

    async def _repeat(self, attempt: Callable[[], Awaitable[bool]]) -> None:
        pause_s = MIN_JOIN_PAUSE_S
        while not await attempt():
            await asyncio.sleep(pause_s * self._source.uniform(0.5, 1.5))
            pause_s = min(MAX_JOIN_PAUSE_S, pause_s * 2)

    async def _try_fetch(self) -> bool:
        holder = self._parts.membership.holder
        if holder.current is None:
            await self._parts.relay.fetch_configuration()
        return holder.current is not None

    async def _try_join(self) -> bool:
        own_data_centre = self._parts.settings.data_centre
        relays = await find_relays(self._parts.store)
        near = [
            relay.address
            for relay in relays
            if relay.data_centre == own_data_centre
        ]
        if await self._join_any([*near, *self._parts.settings.join]):
            return True
        others = [
            relay.address
            for relay in relays
            if relay.data_centre != own_data_centre
        ]
        self._source.shuffle(others)
        if await self._join_any(others[:MAX_CONTACTS]):
            return True
        return self._parts.membership.own.is_relay

    async def _join_any(self, addresses: Sequence[str]) -> bool:
        for address in addresses:
            if address == self._parts.settings.peer_address:
                continue
            if await self._parts.heartbeats.join(address):
                return True
        return False
