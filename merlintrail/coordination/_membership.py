"""Membership: a node's own record, and updates merged and gossiped on."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.coordination._confirmation import (
    Confirmation,
    ConfirmationRecord,
)
from merlintrail.coordination._messages import (
    Gossip,
    StatusUpdate,
    encode_age,
    read_age,
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
from merlintrail.observability import log_decision
from merlintrail.state import (
    ConfigurationHolder,
    Member,
    MemberStatus,
    MemberTable,
    Quarantine,
    Suspicion,
)

#: Seconds that a suspected member has to refute the suspicion before it is
#: declared dead.
REFUTATION_TIMEOUT_S: Final = 1.5
#: Buckets into which the member table is divided for comparison.
BUCKET_COUNT: Final = 64


class MembershipState(NamedTuple):
    """State of a node that its membership keeps up to date."""

    table: MemberTable
    #: Holds the configuration in force.
    holder: ConfigurationHolder
    #: Suspicions against requests that may crash backend servers.
    quarantine: Quarantine


class Membership:
    """Merges received updates and queues new ones for the neighbours.

    Holds the node's own record. Claims of other nodes that take precedence
    over it, such as a suspicion, are refuted by a higher version.
    """

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
        #: When the configuration in force was last confirmed as the newest.
        self.confirmations = ConfirmationRecord(state.holder, clock)
        #: Updates that wait to be sent, by the neighbour's identifier.
        self.outboxes: dict[str, Outbox] = {}
        self.table.add_listener(self._track_suspects)
        self.table.merge([own])

    @property
    def own(self) -> Member:
        """The node's own record, as it is sent to other nodes."""
        return self._own

    def update_own(self, **changes: Any) -> None:
        """Change fields of the own record and gossip it."""
        changed = self._own._replace(**changes)
        if changed != self._own:
            self._own = changed._replace(version=self._own.version + 1)
            self._merge_members([self._own], sender='')

    def choose_neighbours(self) -> list[Member]:
        """Return the neighbours, chosen among the members present."""
        return choose_neighbours(self._own, self.table.list_active())

    def build_gossip(self, node_id: str) -> Gossip:
        """Build the next message to a neighbour."""
        outbox = self.outboxes.get(node_id)
        members, suspicions = (
            ([], []) if outbox is None else outbox.take_batch()
        )
        is_confirmed = self.confirmations.is_confirmed
        if outbox is not None and is_confirmed:
            outbox.note_confirmation(self.confirmations.latest.confirmed_at)
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
            self.compute_suspicion_digest(),
            encode_age(self.confirmations.read_age()) if is_confirmed else None,
        )

    def compute_suspicion_digest(self) -> int:
        """Compute the digest of the suspicions that have not expired."""
        return self.quarantine.compute_digest(self._wall_clock())

    def list_suspicions(self) -> list[Suspicion]:
        """Return all suspicions that have not expired."""
        return self.quarantine.list_suspicions(self._wall_clock())

    def list_missing(self, received: Iterable[Any]) -> list[Suspicion]:
        """Return the suspicions of which another node has no equal record.

        :param received: records of the other node.
        """
        theirs = set(read_suspicions(tuple(received)))
        return [
            suspicion
            for suspicion in self.list_suspicions()
            if suspicion not in theirs
        ]

    def requeue(self, node_id: str, gossip: Gossip) -> None:
        """Queue again the updates of a message that was not delivered."""
        outbox = self.outboxes.get(node_id)
        if outbox is None or not gossip.has_updates:
            return
        node_ids = {status.node_id for status in gossip.statuses}
        members = [
            member for member in self.table if member.node_id in node_ids
        ]
        outbox.requeue([*gossip.members, *members], list(gossip.suspicions))

    def accept_gossip(self, gossip: Gossip, sent_at: float) -> None:
        """Merge the updates of a gossip message and its confirmation.

        :param sent_at: clock time before which it was not sent.
        """
        self._accept_confirmation(gossip, sent_at)
        members = read_members(gossip.members)
        statuses = self._complete_statuses(read_statuses(gossip.statuses))
        self._merge_members([*members, *statuses], gossip.sender)
        self._merge_suspicions(
            read_suspicions(gossip.suspicions), gossip.sender
        )

    def accept_members(self, records: Sequence[Any], sender: str) -> None:
        """Merge complete member records."""
        self._merge_members(read_members(records), sender)

    def accept_suspicions(self, records: Sequence[Any], sender: str) -> None:
        """Merge suspicions against requests."""
        self._merge_suspicions(read_suspicions(records), sender)

    def gossip_suspicions(self, suspicions: Iterable[Suspicion]) -> None:
        """Queue this node's new suspicions for every neighbour."""
        for suspicion in suspicions:
            for outbox in self.outboxes.values():
                outbox.put_suspicion(suspicion)

    def suspect(self, node_id: str) -> bool:
        """Mark a member as suspect.

        :returns: whether its status changed.
        """
        member = self.table.find(node_id)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return False
        suspected = member._replace(status=MemberStatus.SUSPECT)
        self._merge_members([suspected], sender='')
        return True

    def expire_suspects(self) -> list[Member]:
        """Mark suspects as dead after the refutation timeout; return them.

        The change is not gossiped: the suspicion was, and each node that
        received it expires it by itself.
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
        """Compute the digest of each bucket of the member table."""
        digests = [0 for _ in range(BUCKET_COUNT)]
        for member in self.table:
            entry = f'{member.node_id} {member.order}'
            digests[_find_bucket(member.node_id)] ^= compute_hash(entry)
        return [f'{digest:x}' for digest in digests]

    def list_differing(self, buckets: Sequence[str]) -> list[Member]:
        """Return the members of buckets whose digests differ.

        :param buckets: digests of the other node's buckets.
        """
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

    def _accept_confirmation(self, gossip: Gossip, sent_at: float) -> None:
        age_s = read_age(gossip.confirmation_age_ms)
        if age_s is None:
            return
        confirmed_at = sent_at - age_s
        outbox = self.outboxes.get(gossip.sender)
        if outbox is not None:
            outbox.note_confirmation(confirmed_at)
        self.confirmations.record(
            Confirmation(gossip.generation, confirmed_at, gossip.sender)
        )

    def _merge_members(self, members: Sequence[Member], sender: str) -> None:
        refuted = [self._refute(member) for member in members]
        for member in self.table.merge(refuted):
            for node_id, outbox in self.outboxes.items():
                if node_id != sender:
                    outbox.put_member(member)
        sender_outbox = self.outboxes.get(sender)
        if sender_outbox is not None:
            for member in members:
                sender_outbox.drop_member(member)

    def _refute(self, member: Member) -> Member:
        """Return the record to merge: the own one if it must be refuted.

        An update that takes precedence over the own record was made by
        another node, or by an earlier process with a higher version. The own
        record gets a version above it.
        """
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
        """Apply status updates to the records of the members.

        Updates of unknown members and of earlier incarnations are dropped.
        """
        completed = []
        for status in statuses:
            member = self.table.find(status.node_id)
            if member is not None and member.incarnation <= status.incarnation:
                completed.append(member._replace(**status._asdict()))
        return completed

    def _merge_suspicions(
        self, suspicions: Iterable[Suspicion], sender: str
    ) -> None:
        now = self._wall_clock()
        changed = [
            merged
            for suspicion in suspicions
            if self.quarantine.merge(suspicion, now)
            and (merged := self.quarantine.find(suspicion.digest, now))
        ]
        for suspicion in changed:
            for node_id, outbox in self.outboxes.items():
                if node_id != sender:
                    outbox.put_suspicion(suspicion)
        if changed:
            _log_learned(changed, sender)

    def _track_suspects(self, previous: Member | None, member: Member) -> None:
        if member.status == MemberStatus.SUSPECT:
            self._suspected_at[member.node_id] = self._clock()
        else:
            self._suspected_at.pop(member.node_id, None)


def _log_learned(changed: Sequence[Suspicion], sender: str) -> None:
    """Log in one line which suspicions a message changed."""
    log_decision(
        'quarantine',
        outcome='learned',
        source=f'message of {sender or "a joining node"}',
        changed=len(changed),
        causes=[
            suspicion.digest
            for suspicion in changed
            if suspicion.is_likely_cause
        ],
    )


def _find_bucket(node_id: str) -> int:
    return compute_hash(node_id) % BUCKET_COUNT
