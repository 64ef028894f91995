"""Membership: the own record, merging news, and passing it on."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.coordination._messages import (
    Gossip,
    StatusUpdate,
    read_members,
    read_statuses,
    read_suspicions,
)
from merlintrail.coordination._outbox import (
    Outbox,
    build_status,
    needs_only_status,
)
from merlintrail.coordination._topology import (
    choose_neighbours,
    compute_hash,
)
from merlintrail.state import (
    ConfigurationHolder,
    Member,
    MemberStatus,
    MemberTable,
    Quarantine,
    Suspicion,
)

#: Seconds for a suspected member to refute before it counts as dead.
REFUTATION_TIMEOUT_S: Final = 1.5
#: Parts of the member table that are compared one by one.
BUCKET_COUNT: Final = 64


class MembershipState(NamedTuple):
    """What the membership keeps up to date."""

    table: MemberTable
    holder: ConfigurationHolder
    quarantine: Quarantine


class Membership:
    """The own record of a node, and the news that it takes and passes on."""

    def __init__(
        self,
        own: Member,
        state: MembershipState,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._clock = clock
        self._wall_clock = wall_clock
        self._suspected_at: dict[str, float] = {}
        self.table = state.table
        self.holder = state.holder
        self.quarantine = state.quarantine
        #: News that waits, by the neighbour's identifier.
        self.outboxes: dict[str, Outbox] = {}
        self.table.add_listener(self._track_suspects)
        self.table.merge([own])

    @property
    def own(self) -> Member:
        """The own record as told to others."""
        return self._own

    def update_own(self, **changes: Any) -> None:
        """Change the own record and tell everybody."""
        changed = self._own._replace(**changes)
        if changed != self._own:
            self._own = changed._replace(version=self._own.version + 1)
            self._merge_members([self._own], sender='')

    def choose_neighbours(self) -> list[Member]:
        """Return the neighbours among the members present."""
        return choose_neighbours(self._own, self.table.list_present())

    def build_gossip(self, node_id: str) -> Gossip:
        """Build the next message to a neighbour."""
        outbox = self.outboxes.get(node_id)
        members, suspicions = (
            ([], []) if outbox is None else outbox.take_batch()
        )
        return Gossip(
            self._own.node_id,
            self._own.incarnation,
            self.holder.generation,
            self.table.digest,
            [member for member in members if not needs_only_status(member)],
            [
                build_status(member)
                for member in members
                if needs_only_status(member)
            ],
            suspicions,
        )

    def requeue(self, node_id: str, gossip: Gossip) -> None:
        """Return the news of a message that did not arrive."""
        outbox = self.outboxes.get(node_id)
        if outbox is None or not gossip.has_updates:
            return
        node_ids = {status.node_id for status in gossip.statuses}
        members = [
            member for member in self.table if member.node_id in node_ids
        ]
        outbox.requeue([*gossip.members, *members], list(gossip.suspicions))

    def accept_gossip(self, gossip: Gossip) -> None:
        """Take the news of a message."""
        members = read_members(gossip.members)
        statuses = self._complete_statuses(read_statuses(gossip.statuses))
        self._merge_members([*members, *statuses], gossip.sender)
        self._merge_suspicions(
            read_suspicions(gossip.suspicions), gossip.sender
        )

    def accept_members(self, records: Sequence[Any], sender: str) -> None:
        """Take whole member records."""
        self._merge_members(read_members(records), sender)

    def accept_suspicions(self, records: Sequence[Any], sender: str) -> None:
        """Take suspicions against requests."""
        self._merge_suspicions(read_suspicions(records), sender)

    def gossip_suspicions(self, suspicions: Iterable[Suspicion]) -> None:
        """Tell everybody of suspicions found here."""
        for suspicion in suspicions:
            for outbox in self.outboxes.values():
                outbox.put_suspicion(suspicion)

    def suspect(self, node_id: str) -> bool:
        """Suspect a member that fell silent; return whether it is news."""
        member = self.table.find(node_id)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return False
        suspected = member._replace(status=MemberStatus.SUSPECT)
        self._merge_members([suspected], sender='')
        return True

    def expire_suspects(self) -> list[Member]:
        """Count suspects as dead that did not refute; return them.

        Nobody is told: every node has heard the suspicion and comes to the
        same conclusion by itself.
        """
        cutoff = self._clock() - REFUTATION_TIMEOUT_S
        expired = [
            member
            for node_id, since in tuple(self._suspected_at.items())
            if since < cutoff
            and (member := self.table.find(node_id)) is not None
        ]
        dead = [member._replace(status=MemberStatus.DEAD) for member in expired]
        return self.table.merge(dead)

    def compute_buckets(self) -> list[str]:
        """Compute the digests of the parts of the member table."""
        digests = [0 for _ in range(BUCKET_COUNT)]
        for member in self.table:
            news = f'{member.node_id} {member.order}'
            digests[_find_bucket(member.node_id)] ^= compute_hash(news)
        return [f'{digest:x}' for digest in digests]

    def list_differing(self, buckets: Sequence[str]) -> list[Member]:
        """Return the members of the parts that differ from another's."""
        own = self.compute_buckets()
        differing = {
            index
            for index, digest in enumerate(own)
            if index >= len(buckets) or buckets[index] != digest
        }
        return [
            member
            for member in self.table
            if _find_bucket(member.node_id) in differing
        ]

    def _merge_members(self, news: Sequence[Member], sender: str) -> None:
        refuted = [self._refute(member) for member in news]
        for member in self.table.merge(refuted):
            for node_id, outbox in self.outboxes.items():
                if node_id != sender:
                    outbox.put_member(member)
        sender_outbox = self.outboxes.get(sender)
        if sender_outbox is not None:
            for member in news:
                sender_outbox.drop_member(member)

    def _refute(self, member: Member) -> Member:
        """Answer false news of this node with a higher version."""
        is_own = member.node_id == self._own.node_id
        if not is_own or member.order <= self._own.order:
            return member
        self._own = self._own._replace(
            incarnation=max(member.incarnation, self._own.incarnation),
            version=member.version + 1,
        )
        return self._own

    def _complete_statuses(
        self, statuses: Iterable[StatusUpdate]
    ) -> list[Member]:
        completed = []
        for status in statuses:
            known = self.table.find(status.node_id)
            if known is not None and known.incarnation <= status.incarnation:
                completed.append(known._replace(**status._asdict()))
        return completed

    def _merge_suspicions(
        self, suspicions: Iterable[Suspicion], sender: str
    ) -> None:
        now = self._wall_clock()
        for suspicion in suspicions:
            if not self.quarantine.merge(suspicion, now):
                continue
            for node_id, outbox in self.outboxes.items():
                if node_id != sender:
                    outbox.put_suspicion(suspicion)

    def _track_suspects(self, known: Member | None, member: Member) -> None:
        if member.status == MemberStatus.SUSPECT:
            self._suspected_at[member.node_id] = self._clock()
        else:
            self._suspected_at.pop(member.node_id, None)


def _find_bucket(node_id: str) -> int:
    return compute_hash(node_id) % BUCKET_COUNT
