"""A fleet whose nodes follow the configuration of one store in virtual time."""

import asyncio
import random
from collections.abc import Iterator, Mapping
from typing import Any, Final

from merlintrail.coordination import (
    CONFIGURATION_KEY,
    ConfigurationCheck,
    ConfigurationSource,
    QuarantineArchive,
    Relay,
    RelayDependencies,
    Store,
    StoreFailure,
    StoreFault,
    StoreItem,
    StoreItems,
    StoreValue,
    Transaction,
)
from merlintrail.coordination._store_exchange import (
    FIRST_READ_TIMEOUT_S,
    READ_TIMEOUT_S,
    WATCH_MARGIN_S,
)
from merlintrail.coordination.tests.peer_network import (
    DOCUMENT,
    PeerNetwork,
    PeerNode,
)
from merlintrail.lab._store_state import StoreState
from merlintrail.state import Configuration, Envelope

#: Seconds that the store takes for an answer.
_ANSWER_S: Final = 0.005
#: Seconds in which a fleet that starts has filled its relay slots.
SETTLING_S: Final = 6.0


class StoreLink(Store):
    """The path of one node to the store, which can be disturbed."""

    def __init__(self, state: StoreState) -> None:
        self._state = state
        #: Whether every call is refused.
        self.is_cut = False
        #: Whether calls get no answer, on new connections either.
        self.is_dark = False
        #: Number of times that all open connections fell silent.
        self._silences = 0
        self._is_pool_silent = False

    @property
    def era(self) -> int:
        """The current era."""
        return self._state.era

    def silence(self) -> None:
        """Let all open connections fall silent; new ones work."""
        self._silences += 1
        self._is_pool_silent = True

    async def read(
        self, key: str, *, is_fresh: bool = False
    ) -> StoreValue | StoreFailure:
        """Read a key."""
        self._state.counts['read'] += 1
        failure = await self._pass(is_fresh=is_fresh)
        if failure is not None:
            return failure
        entry = self._state.read(key)
        if entry is None:
            return StoreFailure(StoreFault.NOT_FOUND, key)
        return StoreValue(entry.document, entry.version)

    async def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix."""
        self._state.counts['range'] += 1
        failure = await self._pass()
        if failure is not None:
            return failure
        entries = tuple(
            StoreItem(key, entry.document, entry.version)
            for key, entry in self._state.list_keys(prefix, '').items()
        )
        return StoreItems(entries, self._state.version)

    async def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Make changes if every key has its expected version."""
        self._state.counts['write'] += 1
        failure = await self._pass()
        if failure is not None:
            return failure
        version = self._state.transact(
            transaction.expected,
            transaction.puts,
            transaction.removals,
            transaction.lease,
        )
        if version is None:
            return StoreFailure(StoreFault.CONFLICT, 'another version')
        return version

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreItems | StoreFailure:
        """Wait for changes under a prefix after a position."""
        self._state.counts['watch'] += 1
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        silences = self._silences
        # Each watch has a new connection.
        failure = await self._pass(is_fresh=True)
        if failure is not None:
            return failure
        changes = await self._state.wait(prefix, position, timeout_s)
        if silences != self._silences or self.is_dark:
            given_up_at = asked_at + timeout_s + WATCH_MARGIN_S
            await asyncio.sleep(given_up_at - loop.time())
            return StoreFailure(StoreFault.UNKNOWN, 'timeout')
        if self.is_cut:
            return StoreFailure(StoreFault.UNKNOWN, 'reset')
        if changes is None:
            return StoreFailure(StoreFault.HISTORY_LOST, prefix)
        entries = tuple(StoreItem(*change) for change in changes)
        last = entries[-1].version if entries else self._state.version
        return StoreItems(entries, last)

    async def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""
        self._state.counts['lease'] += 1
        return await self._pass() or self._state.grant_lease(duration_s)

    async def renew_lease(self, lease: str) -> None | StoreFailure:
        """Extend a lease by its whole duration from now."""
        self._state.counts['lease'] += 1
        failure = await self._pass()
        if failure is None and not self._state.renew_lease(lease):
            return StoreFailure(StoreFault.LEASE_EXPIRED, lease)
        return failure

    async def revoke_lease(self, lease: str) -> None | StoreFailure:
        """End a lease, which removes the keys attached to it."""
        self._state.counts['lease'] += 1
        failure = await self._pass()
        if failure is None:
            self._state.revoke_lease(lease)
        return failure

    async def _pass(self, *, is_fresh: bool = False) -> StoreFailure | None:
        """Take the time of a call; return how it failed, if it did."""
        await asyncio.sleep(_ANSWER_S)
        if self._is_pool_silent and not is_fresh:
            self._is_pool_silent = False
            await asyncio.sleep(FIRST_READ_TIMEOUT_S)
        if self.is_dark:
            await asyncio.sleep(READ_TIMEOUT_S)
            return StoreFailure(StoreFault.UNKNOWN, 'timeout')
        if self.is_cut:
            return StoreFailure(StoreFault.UNAVAILABLE, 'refused')
        return None


class FleetNode(PeerNode):
    """A node with its relay and its path to the store."""

    def __init__(
        self,
        network: PeerNetwork,
        name: str,
        data_centre: str,
        state: StoreState,
        seed: int,
    ) -> None:
        super().__init__(network, name, data_centre, incarnation=1)
        clock = asyncio.get_running_loop().time
        rng = random.Random(f'{name} {seed}')
        self.name = name
        self.link = StoreLink(state)
        #: Times at which each generation was put in force.
        self.applied_at: dict[int, float] = {}
        self.holder.add_listener(self._record)
        self.source = ConfigurationSource(
            self.membership, self.link, self.heartbeats.notify_neighbours
        )
        self._check = ConfigurationCheck(
            self.membership.confirmations,
            self.source,
            lambda: len(self.table.list_active()),
            rng,
        )
        self._relay = Relay(
            RelayDependencies(
                self.membership,
                self.heartbeats,
                self.link,
                self.source,
                QuarantineArchive(self.membership, self.link, clock, rng),
                clock,
            ),
            rng,
        )

    def start(self, contacts: Any = ()) -> None:
        """Exchange heartbeats and claim a relay slot if one is free."""
        super().start(contacts)
        for work in (self._relay.run, self._check.run):
            self._tasks.append(asyncio.create_task(work()))

    def _record(self, configuration: Configuration) -> None:
        now = asyncio.get_running_loop().time()
        self.applied_at[configuration.generation] = now


class ConfigurationFleet:
    """Nodes in data centres that know each other from the start."""

    def __init__(self, data_centres: int, size: int, seed: int) -> None:
        """Initialize the fleet.

        :param size: number of nodes in each data centre.
        """
        self.network = PeerNetwork()
        self.state = StoreState(asyncio.get_running_loop().time)
        #: Times at which each generation was confirmed to the operator.
        self.confirmed_at: dict[int, float] = {}
        self.change()
        self._seed = seed
        for number in range(data_centres):
            for index in range(size):
                # The name is the address too.
                self._add(f'dc{number}-{index}:1', f'dc{number}')

    @property
    def nodes(self) -> list[FleetNode]:
        """The nodes that live."""
        return [
            node
            for node in self.network.nodes.values()
            if isinstance(node, FleetNode)
        ]

    def list_relays(self) -> list[FleetNode]:
        """Return the nodes that hold a relay slot."""
        return [node for node in self.nodes if node.membership.own.is_relay]

    async def start(self) -> None:
        """Start all nodes and wait until relays follow the store."""
        nodes = self.nodes
        members = [node.membership.own for node in nodes]
        stored = self.state.read(CONFIGURATION_KEY)
        assert stored is not None
        for node in nodes:
            node.table.merge(members)
            node.holder.apply_if_newer(Envelope(**stored.document))
            node.heartbeats.refresh_neighbours()
            node.start()
        await asyncio.sleep(SETTLING_S)

    def join(self, name: str, contact: FleetNode) -> FleetNode:
        """Start a node that knows one other node, in its partition."""
        partitions = self.network.partitions
        if contact.name in partitions:
            partitions[name] = partitions[contact.name]
        node = self._add(name, contact.membership.own.data_centre)
        node.start((contact.name,))
        return node

    def change(self, document: Mapping[str, Any] = DOCUMENT) -> int:
        """Put the next generation in the store and return it."""
        generation = len(self.confirmed_at) + 1
        envelope = Envelope(generation, f'c{generation}', 'op', 0.0, document)
        return self.store(envelope._asdict())

    def store(self, document: Mapping[str, Any]) -> int:
        """Put a document in the store as the next generation; return that."""
        generation = len(self.confirmed_at) + 1
        self.state.transact({}, {CONFIGURATION_KEY: document}, (), None)
        self.confirmed_at[generation] = asyncio.get_running_loop().time()
        return generation

    def kill(self, node: FleetNode) -> None:
        """Stop a node without a notice; its lease stays until it expires."""
        node.link.is_cut = True
        self.network.kill(node.name)

    def list_delays(self, generation: int) -> Iterator[tuple[float, str]]:
        """Yield how late each node that reaches the store had a generation.

        A node that does not have it counts as late until now.
        """
        now = asyncio.get_running_loop().time()
        confirmed_at = self.confirmed_at[generation]
        reaching = [node for node in self.nodes if not node.link.is_cut]
        for node in reaching:
            times = [
                time
                for applied, time in node.applied_at.items()
                if applied >= generation
            ]
            yield min(times, default=now) - confirmed_at, node.name

    async def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            self.kill(node)
        await asyncio.sleep(_ANSWER_S)

    def _add(self, name: str, data_centre: str) -> FleetNode:
        node = FleetNode(
            self.network, name, data_centre, self.state, self._seed
        )
        self.network.nodes[name] = node
        return node
