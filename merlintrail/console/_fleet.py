"""The state of every known node, asked for at once."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final

from merlintrail.node import Node
from merlintrail.state import Member
from merlintrail.transport import TransportFailure

#: Nodes that are asked at a time.
MAX_PARALLEL: Final = 64
#: Seconds to wait for one node.
TIMEOUT_S: Final = 1.0


async def collect_fleet(node: Node) -> Sequence[Mapping[str, Any]]:
    """Ask every member for its state; a silent one is listed as such."""
    permits = asyncio.Semaphore(MAX_PARALLEL)

    async def send_request(member: Member) -> Mapping[str, Any]:
        async with permits:
            answer = await node.peers.send_request(
                member.peer_address, 'status', {}, timeout_s=TIMEOUT_S
            )
        if isinstance(answer, TransportFailure):
            return {'instance': member.node_id, 'error': answer.reason}
        status: Mapping[str, Any] = answer
        return status

    members = node.table.list_active()
    return await asyncio.gather(*(send_request(member) for member in members))
