"""Collection of the state of every member."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final

from merlintrail.node import Node
from merlintrail.state import Member
from merlintrail.transport import TransportFailure

#: Members that are queried at the same time.
MAX_CONCURRENT_REQUESTS: Final = 64
#: Seconds to wait for the answer of one member.
MEMBER_TIMEOUT_S: Final = 1.0


async def collect_fleet(node: Node) -> Sequence[Mapping[str, Any]]:
    """Query every member for its state.

    A member that does not answer is listed with an ``error``.
    """
    permits = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def query(member: Member) -> Mapping[str, Any]:
        async with permits:
            answer = await node.peers.send_request(
                member.peer_address, 'status', {}, timeout_s=MEMBER_TIMEOUT_S
            )
        if isinstance(answer, TransportFailure):
            return {'instance': member.node_id, 'error': answer.reason}
        status: Mapping[str, Any] = answer
        return status

    members = node.table.list_active()
    return await asyncio.gather(*(query(member) for member in members))
