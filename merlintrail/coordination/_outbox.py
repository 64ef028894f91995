"""News that waits to be sent to one neighbour."""

import asyncio
from typing import Final

from merlintrail.coordination._messages import StatusUpdate
from merlintrail.state import Member, MemberStatus, Suspicion

#: Pieces of news in one message.
MAX_UPDATES_PER_MESSAGE: Final = 48


class Outbox:
    """Holds the newest news about each subject until it is sent."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._suspicions: dict[str, Suspicion] = {}
        #: Set while something waits.
        self.event = asyncio.Event()

    def put_member(self, member: Member) -> None:
        """Have a member's news sent."""
        self._members[member.node_id] = member
        self.event.set()

    def put_suspicion(self, suspicion: Suspicion) -> None:
        """Have a suspicion sent."""
        self._suspicions[suspicion.digest] = suspicion
        self.event.set()

    def drop_member(self, member: Member) -> None:
        """Forget news that the neighbour has sent itself."""
        queued = self._members.get(member.node_id)
        if queued is not None and queued.order <= member.order:
            del self._members[member.node_id]

    def take_batch(self) -> tuple[list[Member], list[Suspicion]]:
        """Take the news of one message."""
        members = [
            self._members.pop(node_id)
            for node_id in tuple(self._members)[:MAX_UPDATES_PER_MESSAGE]
        ]
        suspicions = [
            self._suspicions.pop(digest)
            for digest in tuple(self._suspicions)[:MAX_UPDATES_PER_MESSAGE]
        ]
        if not self._members and not self._suspicions:
            self.event.clear()
        return members, suspicions

    def requeue(
        self, members: list[Member], suspicions: list[Suspicion]
    ) -> None:
        """Return the news of a message that did not arrive."""
        for member in members:
            self._members.setdefault(member.node_id, member)
        for suspicion in suspicions:
            self._suspicions.setdefault(suspicion.digest, suspicion)
        if members or suspicions:
            self.event.set()


def needs_only_status(member: Member) -> bool:
    """Tell whether a status suffices as news of a member."""
    return member.status >= MemberStatus.SUSPECT


def build_status(member: Member) -> StatusUpdate:
    """Build the short news of a member."""
    return StatusUpdate(
        member.node_id, member.incarnation, member.version, member.status
    )
