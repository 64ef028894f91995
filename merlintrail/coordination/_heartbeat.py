"""Heartbeats: one task for each neighbour, and the failure detector.

A heartbeat carries the membership updates that wait for the neighbour, and
the sender's configuration generation and the digests of its member table and
suspicions. A newer generation is pulled; differences that remain are reconciled.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any, Final

from merlintrail.coordination._configuration_pull import ConfigurationPull
from merlintrail.coordination._departures import (
    DepartureRecord,
    NoDepartures,
)
from merlintrail.coordination._membership import Membership
from merlintrail.coordination._messages import Gossip, encode_gossip
from merlintrail.coordination._outbox import Outbox
from merlintrail.coordination._peers import PeerClient
from merlintrail.coordination._reconciliation import (
    BULK_TIMEOUT_S,
    NeighbourDifferences,
    Reconciliation,
)
from merlintrail.coordination._sections import (
    SectionedEnvelope,
    build_difference,
)
from merlintrail.observability import create_logger
from merlintrail.protocol import DecodeFailure, decode_record
from merlintrail.state import Member, MemberStatus
from merlintrail.transport import TransportFailure

#: Seconds between heartbeats to a neighbour without updates to send.
HEARTBEAT_INTERVAL_S: Final = 1.0
#: Seconds between heartbeats to a neighbour in another data centre; longer,
#: because traffic between data centres is billed.
REMOTE_HEARTBEAT_INTERVAL_S: Final = 3.0
#: Seconds between attempts after a failed heartbeat.
RETRY_INTERVAL_S: Final = 0.3
#: Seconds that an update waits for others to be sent in the same message.
BATCH_DELAY_S: Final = 0.02
#: Seconds between messages while updates remain for a neighbour after one.
BACKLOG_DELAY_S: Final = 0.2
#: Age in seconds of a neighbour's latest confirmation of the configuration
#: above which a later one is passed on at once.
CONFIRMATION_REFRESH_AGE_S: Final = 1.2
#: Seconds by which it has to be later.
MIN_CONFIRMATION_GAIN_S: Final = 0.3
#: Seconds to wait for the reply to a heartbeat.
HEARTBEAT_TIMEOUT_S: Final = 0.7
#: Seconds for which heartbeats fail before a neighbour is suspected.
SUSPICION_TIMEOUT_S: Final = 1.5
#: Seconds between sweeps that expire suspects and refresh the neighbours.
SWEEP_INTERVAL_S: Final = 0.25
#: Delay of a sweep in seconds above which this node is assumed to have been
#: paused itself.
PAUSE_THRESHOLD_S: Final = 1.0
#: Seconds between attempts to reach a dead member.
PROBE_INTERVAL_S: Final = 10.0

_LOG: Final = create_logger('membership')


class Heartbeats:
    """Exchanges heartbeats with the neighbours and detects failed members."""

    def __init__(
        self,
        membership: Membership,
        peers: PeerClient,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self.reconciliation = Reconciliation(membership, peers)
        #: Fetches the configurations that neighbours announce.
        self.pull = ConfigurationPull(
            membership.holder, peers, self.notify_neighbours
        )
        #: Departures of which a node that joins is told.
        self.departures: DepartureRecord = NoDepartures()
        self._clock = clock
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        #: Comparison with each neighbour, the last one begun.
        self._reconciliations: dict[str, asyncio.Task[None]] = {}
        self._paused_at = -PAUSE_THRESHOLD_S
        self._next_probe_at = 0.0
        self._refreshed_digest = 0
        membership.confirmations.add_listener(self._pass_on_confirmation)

    async def run(self) -> None:
        """Sweep periodically until cancelled.

        A sweep expires suspects, refreshes the neighbours and probes a dead
        member when that is due.
        """
        swept_at = self._clock()
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                now = self._clock()
                if now - swept_at > SWEEP_INTERVAL_S + PAUSE_THRESHOLD_S:
                    self._paused_at = now
                swept_at = now
                self._sweep(now)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def refresh_neighbours(self) -> None:
        """Start and stop heartbeat tasks as the neighbours change."""
        chosen = {
            member.node_id: member
            for member in self._membership.choose_neighbours()
        }
        for node_id in tuple(self._tasks):
            if node_id not in chosen or self._tasks[node_id].done():
                self._tasks.pop(node_id).cancel()
                self._reconciliations.pop(node_id, None)
                self._membership.outboxes.pop(node_id, None)
        for node_id in chosen:
            if node_id not in self._tasks:
                self._membership.outboxes[node_id] = Outbox()
                self._tasks[node_id] = asyncio.create_task(
                    self._exchange_heartbeats(node_id)
                )

    def handle_gossip(
        self, document: object
    ) -> Mapping[str, Any] | DecodeFailure:
        """Apply a gossip message and build the reply."""
        gossip = decode_record(Gossip, document)
        if isinstance(gossip, DecodeFailure):
            return gossip
        self._apply_gossip(gossip, self._clock())
        return encode_gossip(self._membership.build_gossip(gossip.sender))

    async def join(
        self, address: str, *, pulls_configuration: bool = True
    ) -> bool:
        """Send the own record to another node and merge what it returns.

        :param pulls_configuration: whether to fetch its configuration too.
        :returns: whether the node answered.
        """
        answer = await self._peers.send_request(
            address,
            'join',
            {'member': self._membership.own},
            timeout_s=BULK_TIMEOUT_S,
        )
        if not isinstance(answer, dict):
            return False
        self._membership.accept_members(answer.get('members', ()), '')
        self._membership.accept_suspicions(answer.get('suspicions', ()), '')
        self.departures.restore(answer.get('departures', ()))
        self.refresh_neighbours()
        if pulls_configuration:
            await self.pull.pull(address)
        return True

    def handle_join(self, document: dict[str, Any]) -> dict[str, object]:
        """Merge a joining node's record; return what it does not know.

        That is all members and suspicions, and the backend servers that left
        the node in its earlier runs.
        """
        record = document.get('member', ())
        self._membership.accept_members([record], '')
        self.refresh_neighbours()
        return {
            'members': list(self._membership.table),
            'suspicions': self._membership.list_suspicions(),
            'departures': self.departures.list_for(record),
        }

    def handle_configuration(
        self, document: dict[str, Any]
    ) -> SectionedEnvelope | None:
        """Return the sections that the requesting node does not have.

        :returns: ``None`` when this node has no configuration.
        """
        envelope = self._membership.holder.envelope
        if envelope is None:
            return None
        return build_difference(envelope, document.get('hashes', {}))

    def notify_neighbours(self) -> None:
        """Wake the heartbeat tasks, so that none waits for its interval.

        Called after a new configuration generation was accepted.
        """
        for outbox in self._membership.outboxes.values():
            outbox.event.set()

    async def flush_outboxes(self) -> None:
        """Send one heartbeat to every neighbour and wait for the replies."""
        await asyncio.gather(
            *(
                self._exchange(member, is_fresh=False)
                for node_id in tuple(self._tasks)
                if (member := self._membership.table.find(node_id))
            )
        )

    async def _exchange_heartbeats(self, node_id: str) -> None:
        failing_since = 0.0
        is_fresh = False
        differences = NeighbourDifferences()
        while True:
            member = self._membership.table.find(node_id)
            if member is None or member.has_departed:
                return
            sent_at = self._clock()
            reply = await self._exchange(member, is_fresh=is_fresh)
            if reply is None:
                was_fresh = is_fresh
                failing_since = failing_since if was_fresh else sent_at
                is_fresh = True
                differences.record_failure()
                self._suspect_if_overdue(member, failing_since)
                # The kept connection may have fallen silent, the neighbour not.
                await asyncio.sleep(RETRY_INTERVAL_S if was_fresh else 0)
                continue
            is_fresh = False
            self._reconcile(member, reply, differences)
            await self._wait_for_updates(member)

    def _reconcile(
        self, member: Member, reply: Gossip, differences: NeighbourDifferences
    ) -> None:
        """Compare with a neighbour beside the heartbeats, one at a time."""
        due = self.reconciliation.find_due(reply, differences)
        running = self._reconciliations.get(member.node_id)
        if not any(due) or (running is not None and not running.done()):
            return
        task = asyncio.create_task(self.reconciliation.reconcile(member, due))
        task.add_done_callback(_consume_exception)
        self._reconciliations[member.node_id] = task

    async def _exchange(
        self, member: Member, *, is_fresh: bool
    ) -> Gossip | None:
        gossip = self._membership.build_gossip(member.node_id)
        asked_at = self._clock()
        answer = await self._peers.send_request(
            member.peer_address,
            'gossip',
            encode_gossip(gossip),
            timeout_s=HEARTBEAT_TIMEOUT_S,
            is_fresh=is_fresh,
        )
        reply = (
            None
            if isinstance(answer, TransportFailure)
            else decode_record(Gossip, answer)
        )
        if reply is None or isinstance(reply, DecodeFailure):
            self._membership.requeue(member.node_id, gossip)
            return None
        if reply.sender != member.node_id:
            return None
        self._apply_gossip(reply, asked_at)
        return reply

    async def _wait_for_updates(self, member: Member) -> None:
        outbox = self._membership.outboxes.get(member.node_id)
        if outbox is None:
            return
        if outbox.event.is_set():
            await asyncio.sleep(BACKLOG_DELAY_S)
            return
        interval_s = HEARTBEAT_INTERVAL_S
        if member.data_centre != self._membership.own.data_centre:
            interval_s = REMOTE_HEARTBEAT_INTERVAL_S
        try:
            async with asyncio.timeout(
                interval_s * self._rng.uniform(0.9, 1.1)
            ):
                await outbox.event.wait()
        except TimeoutError:
            return
        if outbox.has_updates:
            await asyncio.sleep(BATCH_DELAY_S)

    def _apply_gossip(self, gossip: Gossip, sent_at: float) -> None:
        self._membership.accept_gossip(gossip, sent_at)
        sender = self._membership.table.find(gossip.sender)
        if sender is None:
            return
        self.pull.announce(sender.peer_address, gossip.generation)

    def _pass_on_confirmation(self) -> None:
        """Wake the heartbeats to neighbours whose confirmation is too old.

        Those in other data centres get it with the regular heartbeats.
        """
        confirmations = self._membership.confirmations
        if not confirmations.is_confirmed:
            return
        now = self._clock()
        confirmed_at = confirmations.latest.confirmed_at
        for node_id, outbox in self._membership.outboxes.items():
            is_old = now - outbox.confirmed_at > CONFIRMATION_REFRESH_AGE_S
            gain_s = confirmed_at - outbox.confirmed_at
            if is_old and gain_s > MIN_CONFIRMATION_GAIN_S:
                self._wake_local(node_id, outbox)

    def _wake_local(self, node_id: str, outbox: Outbox) -> None:
        member = self._membership.table.find(node_id)
        own = self._membership.own
        if member is not None and member.data_centre == own.data_centre:
            outbox.event.set()

    def _suspect_if_overdue(self, member: Member, failing_since: float) -> None:
        """Suspect a member whose heartbeats failed for the whole timeout.

        The timeout starts again when this node itself was paused.
        """
        since = max(failing_since, self._paused_at)
        if self._clock() - since > SUSPICION_TIMEOUT_S:
            self._suspect(member)

    def _suspect(self, member: Member) -> None:
        if self._membership.suspect(member.node_id):
            _LOG.warning(
                'member suspected',
                extra={
                    'instance': member.node_id,
                    'reason': f'silent for {SUSPICION_TIMEOUT_S} s',
                },
            )

    def _sweep(self, now: float) -> None:
        for member in self._membership.expire_suspects():
            _LOG.warning(
                'member dead',
                extra={
                    'instance': member.node_id,
                    'reason': 'suspicion not refuted',
                },
            )
        self._membership.table.remove_expired()
        self._pass_on_confirmation()
        if self._membership.table.digest != self._refreshed_digest:
            self._refreshed_digest = self._membership.table.digest
            self.refresh_neighbours()
        if now >= self._next_probe_at:
            pause_s = PROBE_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            self._next_probe_at = now + pause_s
            self._probe_dead()
            self.refresh_neighbours()

    def _probe_dead(self) -> None:
        """Try to reach a random dead member, in case it is back."""
        dead = [
            member
            for member in self._membership.table
            if member.status == MemberStatus.DEAD
        ]
        if dead:
            member = self._rng.choice(dead)
            probe = asyncio.create_task(self.reconciliation.probe(member))
            probe.add_done_callback(_consume_exception)


def _consume_exception(task: asyncio.Task[None]) -> None:
    """Retrieve a task's exception, so that asyncio does not report it."""
    if not task.cancelled():
        task.exception()
