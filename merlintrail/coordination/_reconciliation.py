"""Reconciliation of what neighbours know when gossip has left differences.

Gossip sends each update once per link. An update that a lost reply carried, or
that was made while two nodes could not reach each other, is found by comparing
digests and fetched here.
"""

from typing import Any, Final, NamedTuple

from merlintrail.coordination._membership import Membership
from merlintrail.coordination._messages import Gossip
from merlintrail.coordination._peers import PeerClient
from merlintrail.state import Member

#: Number of replies with a different table digest and no updates after which
#: the tables are compared. A reply with the same digest resets the count.
MISMATCHES_BEFORE_COMPARISON: Final = 4
#: The same for the digests of the suspicions. The first reply of a neighbour,
#: and the first one after a failure, suffices.
MISMATCHES_BEFORE_EXCHANGE: Final = 2
#: Seconds to wait for the answer to a message with many records.
BULK_TIMEOUT_S: Final = 5.0


class DueComparisons(NamedTuple):
    """What to compare with a neighbour."""

    has_tables: bool
    has_suspicions: bool


class NeighbourDifferences:
    """Counts the replies of one neighbour that show a difference."""

    def __init__(self) -> None:
        self._table_mismatches = 0
        self._suspicion_mismatches = MISMATCHES_BEFORE_EXCHANGE - 1

    def record_failure(self) -> None:
        """Record that the neighbour could not be reached."""
        self._suspicion_mismatches = MISMATCHES_BEFORE_EXCHANGE - 1

    def must_compare_tables(self, reply: Gossip, own_digest: int) -> bool:
        """Count a reply; return whether to compare the member tables."""
        if reply.digest == own_digest:
            self._table_mismatches = 0
        elif not reply.has_updates:
            self._table_mismatches += 1
        if self._table_mismatches < MISMATCHES_BEFORE_COMPARISON:
            return False
        self._table_mismatches = 0
        return True

    def must_exchange_suspicions(self, reply: Gossip, own_digest: int) -> bool:
        """Count a reply; return whether to exchange all suspicions."""
        if reply.suspicion_digest == own_digest:
            self._suspicion_mismatches = 0
        elif not reply.suspicions:
            self._suspicion_mismatches += 1
        if self._suspicion_mismatches < MISMATCHES_BEFORE_EXCHANGE:
            return False
        self._suspicion_mismatches = 0
        return True


class Reconciliation:
    """Compares member tables and suspicions with those of other nodes."""

    def __init__(self, membership: Membership, peers: PeerClient) -> None:
        self._membership = membership
        self._peers = peers

    def find_due(
        self, reply: Gossip, differences: NeighbourDifferences
    ) -> DueComparisons:
        """Count a reply of a neighbour; return what to compare with it."""
        membership = self._membership
        return DueComparisons(
            differences.must_compare_tables(reply, membership.table.digest),
            differences.must_exchange_suspicions(
                reply, membership.compute_suspicion_digest()
            ),
        )

    async def reconcile(self, member: Member, due: DueComparisons) -> None:
        """Compare with a neighbour whose replies keep differing."""
        if due.has_tables:
            await self.compare_tables(member)
        if due.has_suspicions:
            await self._exchange_suspicions(member)

    async def compare_tables(self, member: Member) -> None:
        """Fetch the members of differing buckets and send the own ones."""
        buckets = self._membership.compute_buckets()
        answer = await self._send(member, 'compare', {'buckets': buckets})
        if not isinstance(answer, dict):
            return
        received = answer.get('members', ())
        their_ids = {record[0] for record in received}
        own_members = [
            record
            for record in self._membership.table
            if record.node_id in their_ids
        ]
        self._membership.accept_members(received, member.node_id)
        await self._send(
            member,
            'compare',
            {
                'members': own_members,
                'buckets': self._membership.compute_buckets(),
            },
        )

    async def probe(self, member: Member) -> None:
        """Send a dead member its record, which it refutes if it is running."""
        answer = await self._send(
            member,
            'compare',
            {
                'members': [member, self._membership.own],
                'buckets': self._membership.compute_buckets(),
            },
            is_fresh=True,
        )
        if isinstance(answer, dict):
            self._membership.accept_members(answer.get('members', ()), '')

    def handle_comparison(self, document: dict[str, Any]) -> dict[str, object]:
        """Merge the sender's members; return those of differing buckets."""
        members = document.get('members', ())
        self._membership.accept_members(members, str(document.get('sender')))
        differing = self._membership.list_differing(document.get('buckets', ()))
        return {'members': differing}

    def handle_suspicions(self, document: dict[str, Any]) -> dict[str, object]:
        """Merge the sender's suspicions; return those that it did not have."""
        received = document.get('suspicions', ())
        self._membership.accept_suspicions(
            received, str(document.get('sender'))
        )
        return {'suspicions': self._membership.list_missing(received)}

    async def _exchange_suspicions(self, member: Member) -> None:
        """Send all suspicions and merge those that come back."""
        answer = await self._send(
            member,
            'suspicions',
            {'suspicions': self._membership.list_suspicions()},
        )
        if isinstance(answer, dict):
            self._membership.accept_suspicions(
                answer.get('suspicions', ()), member.node_id
            )

    async def _send(
        self,
        member: Member,
        subject: str,
        document: dict[str, object],
        *,
        is_fresh: bool = False,
    ) -> Any:
        return await self._peers.send_request(
            member.peer_address,
            subject,
            {'sender': self._membership.own.node_id, **document},
            timeout_s=BULK_TIMEOUT_S,
            is_fresh=is_fresh,
        )
