"""Queue of updates to be sent to one neighbour."""

import asyncio
import math
from typing import Final

from merlintrail.coordination._messages import StatusUpdate
from merlintrail.state import Member, MemberStatus, Suspicion

#: Limit on the members in one message, and on the suspicions in it.
MAX_UPDATES_PER_MESSAGE: Final = 48


class Outbox:
    """Holds the latest update of each member and request until it is sent."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._suspicions: dict[str, Suspicion] = {}
        #: Set while updates are queued, and to request a message at once.
        self.event = asyncio.Event()
        #: Clock time of the latest confirmation of the configuration that the
        #: neighbour is assumed to know.
        self.confirmed_at = -math.inf

    @property
    def has_updates(self) -> bool:
        """Whether any update waits to be sent."""
        return bool(self._members or self._suspicions)

    def note_confirmation(self, confirmed_at: float) -> None:
        """Record a confirmation that was sent to the neighbour or by it."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def put_member(self, member: Member) -> None:
        """Queue a member's record."""
        self._members[member.node_id] = member
        self.event.set()

    def put_suspicion(self, suspicion: Suspicion) -> None:
        """Queue a suspicion."""
        self._suspicions[suspicion.digest] = suspicion
        self.event.set()

    def drop_member(self, member: Member) -> None:
        """Drop a queued record if the neighbour sent it or a later one."""
        queued = self._members.get(member.node_id)
        if queued is not None and queued.order <= member.order:
            del self._members[member.node_id]

    def take_batch(self) -> tuple[list[Member], list[Suspicion]]:
        """Remove and return the updates of the next message.

        Likely causes of crashes go before the other suspects.
        """
        members = [
            self._members.pop(node_id)
            for node_id in tuple(self._members)[:MAX_UPDATES_PER_MESSAGE]
        ]
        by_urgency = sorted(
            self._suspicions.values(), key=lambda held: not held.is_likely_cause
        )
        suspicions = by_urgency[:MAX_UPDATES_PER_MESSAGE]
        for suspicion in suspicions:
            del self._suspicions[suspicion.digest]
        if not self.has_updates:
            self.event.clear()
        return members, suspicions

    def requeue(
        self, members: list[Member], suspicions: list[Suspicion]
    ) -> None:
        """Queue again the updates of a message that was not delivered.

        An update that was queued in the meantime is kept.
        """
        for member in members:
            self._members.setdefault(member.node_id, member)
        for suspicion in suspicions:
            self._suspicions.setdefault(suspicion.digest, suspicion)
        if members or suspicions:
            self.event.set()


def needs_only_status(member: Member) -> bool:
    """Return whether an update of a member needs no more than its status.

    This holds for members that are suspect, dead or have left.
    """
    return member.status >= MemberStatus.SUSPECT


def build_status(member: Member) -> StatusUpdate:
    """Build the status update of a member."""
    return StatusUpdate(
        member.node_id, member.incarnation, member.version, member.status
    )
