"""Nodes in virtual time that exchange heartbeats in memory."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

from merlintrail.coordination import (
    Heartbeats,
    MembershipState,
    Membership,
    PeerClient,
)
from merlintrail.protocol import DecodeFailure, decode_json, encode_json
from merlintrail.state import (
    ConfigurationHolder,
    Member,
    MemberStatus,
    MemberTable,
    Quarantine,
    ServiceOffer,
)
from merlintrail.transport import FailureStage, TransportFailure

DOCUMENT = {
    'format': 1,
    'services': [
        {
            'name': 'svc',
            'kinds': [
                {
                    'name': 'x',
                    'path': '/x',
                    'importance': 'low',
                    'idempotent': True,
                    'deadline_ms': 5,
                }
            ],
        }
    ],
    'regions': [{'name': 'r', 'data_centres': ['a', 'b']}],
}


class PeerNetwork:
    """Nodes, and which pairs of them can talk."""

    def __init__(self) -> None:
        self.nodes: dict[str, PeerNode] = {}
        self.paused: set[str] = set()
        #: Groups that cannot reach each other.
        self.partitions: dict[str, int] = {}
        self.bytes_sent: Counter[str] = Counter()

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Tell whether a message arrives."""
        is_up = receiver in self.nodes
        is_running = not self.paused & {sender, receiver}
        return (
            is_up
            and is_running
            and self.partitions.get(sender) == self.partitions.get(receiver)
        )

    def add(self, name: str, data_centre: str, incarnation: int = 1) -> None:
        """Start a node that joins through any other."""
        contacts = [other for other in self.nodes if other != name]
        node = PeerNode(self, name, data_centre, incarnation)
        self.nodes[name] = node
        node.start(contacts[:2])

    def kill(self, name: str) -> None:
        """End a node without a word."""
        self.nodes.pop(name).stop()

    def count_views(self, name: str, status: MemberStatus) -> int:
        """Count the nodes that see a member in a state."""
        views = [
            node.table.find(name)
            for other, node in self.nodes.items()
            if other != name
        ]
        return sum(
            1 for view in views if view is not None and view.status == status
        )

    def have_equal_tables(self, names: Iterable[str]) -> bool:
        """Tell whether nodes know the same."""
        return len({self.nodes[name].table.digest for name in names}) == 1

    def stop(self) -> None:
        """End every node."""
        for node in self.nodes.values():
            node.stop()


class InMemoryPeerClient(PeerClient):
    """Messages of one node, through JSON as on the wire."""

    def __init__(self, network: PeerNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def send_request(
        self,
        address: str,
        subject: str,
        document: object,
        *,
        timeout_s: float,
        is_fresh: bool = False,
    ) -> Any:
        """Deliver a message unless the two are apart."""
        payload = encode_json(document)
        self._network.bytes_sent[self._name] += len(payload)
        await asyncio.sleep(0.002)
        if not self._network.can_reach(self._name, address):
            await asyncio.sleep(timeout_s)
            return TransportFailure(FailureStage.ANSWER, 'timeout')
        node = self._network.nodes[address]
        answer = encode_json(node.handle(subject, decode_json(payload)))
        self._network.bytes_sent[address] += len(answer)
        await asyncio.sleep(0.002)
        return decode_json(answer)


class PeerNode:
    """The part of a node that keeps membership."""

    def __init__(
        self,
        network: PeerNetwork,
        name: str,
        data_centre: str,
        incarnation: int,
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.table = MemberTable(clock)
        self.holder = ConfigurationHolder()
        self.quarantine = Quarantine()
        own = Member(
            name,
            incarnation,
            1,
            MemberStatus.ALIVE,
            data_centre,
            name,
            name,
            (ServiceOffer('svc', 4),),
        )
        self.membership = Membership(
            own,
            MembershipState(self.table, self.holder, self.quarantine),
            clock,
            clock,
        )
        self.heartbeats = Heartbeats(
            self.membership,
            InMemoryPeerClient(network, name),
            clock,
            random.Random(name),
        )
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self, contacts: Iterable[str]) -> None:
        """Join and keep in touch."""

        async def run() -> None:
            for contact in contacts:
                await self.heartbeats.join(contact)
            await self.heartbeats.run()

        self._tasks.append(asyncio.create_task(run()))

    def stop(self) -> None:
        """End at once."""
        for task in self._tasks:
            task.cancel()

    def handle(self, subject: str, document: Any) -> object:
        """Answer a message."""
        if subject == 'gossip':
            answer = self.heartbeats.handle_gossip(document)
            assert not isinstance(answer, DecodeFailure)
            return dict(answer)
        if subject == 'configuration':
            difference = self.heartbeats.handle_configuration(document)
            return None if difference is None else difference._asdict()
        if subject == 'join':
            return self.heartbeats.handle_join(document)
        return self.heartbeats.handle_comparison(document)


async def start_network(size: int = 8) -> PeerNetwork:
    network = PeerNetwork()
    for number in range(size):
        network.add(f'n{number}', 'ab'[number % 2])
    await asyncio.sleep(5)
    return network
