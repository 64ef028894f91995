"""Repeats against the base, asked for from the relays that hold its parts."""

import random
from collections.abc import Callable
from typing import Any, Final

from merlintrail.coordination import PeerClient
from merlintrail.observability import log_decision
from merlintrail.state import Member, MemberTable
from merlintrail.state.repeats import RepeatBase

#: Subject of the message that asks a relay for one repeat.
GRANT_SUBJECT: Final = 'repeat-grant'
#: Seconds to wait for a grant, which counts from when the relay gives it.
GRANT_TIMEOUT_S: Final = 0.1
#: Seconds after a refusal until a relay is asked again for the service.
PAUSE_S: Final = 0.5


class RepeatGrants:
    """Asks a relay of the own data centre for single repeats.

    The parts of the base are small, so that few messages pass however many
    requests fail: one for each repeat granted, and one for each service and
    pause that is refused.
    """

    def __init__(
        self,
        own: Member,
        table: MemberTable,
        peers: PeerClient,
        base: RepeatBase,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._table = table
        self._peers = peers
        self._base = base
        self._clock = clock
        self._rng = rng
        #: Until when no relay is asked, by service.
        self._paused_until: dict[str, float] = {}

    async def obtain(self, service: str) -> bool:
        """Return whether one repeat to a service may be sent now."""
        if self._base.try_spend(service):
            return True
        now = self._clock()
        if now < self._paused_until.get(service, now):
            return False
        relay = self._choose_relay()
        is_granted = relay is not None and await self._ask(relay, service)
        if not is_granted:
            self._paused_until[service] = self._clock() + PAUSE_S
        log_decision(
            'repeat-grant',
            service=service,
            source=None if relay is None else relay.node_id,
            outcome='granted' if is_granted else 'refused',
        )
        return is_granted

    def handle(self, document: dict[str, Any]) -> dict[str, object]:
        """Answer a node that asks for one repeat."""
        service = document.get('service')
        is_granted = isinstance(service, str) and self._base.try_spend(service)
        return {'is_granted': is_granted}

    async def _ask(self, relay: Member, service: str) -> bool:
        answer = await self._peers.send_request(
            relay.peer_address,
            GRANT_SUBJECT,
            {'service': service},
            timeout_s=GRANT_TIMEOUT_S,
        )
        return isinstance(answer, dict) and answer.get('is_granted') is True

    def _choose_relay(self) -> Member | None:
        relays = [
            member
            for member in self._table.list_active()
            if member.is_relay
            and member.data_centre == self._own.data_centre
            and member.node_id != self._own.node_id
        ]
        return self._rng.choice(relays) if relays else None
