"""Planned stops and draining of the whole node."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.coordination import Heartbeats, Membership
from merlintrail.node._gatekeeper import Gatekeeper
from merlintrail.node._ingress import Ingress
from merlintrail.observability import log_decision
from merlintrail.state import (
    ConfigurationHolder,
    MemberStatus,
    PlannedStop,
    find_stop,
)

#: Seconds between looks at the planned stops.
CHECK_INTERVAL_S: Final = 0.2
#: Seconds before a window, beyond the longest deadline, at which a node
#: tells the others.
NOTICE_S: Final = 5.0
#: Seconds that a node stays after its drain was told to the others.
SPREAD_S: Final = 1.0
#: Share of the time to stop in which a node that was told to serves on, so
#: that callers can turn to other nodes.
SERVE_SHARE: Final = 0.42
#: Seconds before a node refuses calls at which it tells the others.
TELL_S: Final = 0.5
#: Share of the time to stop that is left when the process ends.
END_SHARE: Final = 0.15
#: Seconds in which the others are told of the end.
FAREWELL_S: Final = 0.25
#: Seconds after which a drain ends even with calls running.
MAX_DRAIN_S: Final = 60.0
_MS_PER_S: Final = 1000


class LifecycleParts(NamedTuple):
    """What a lifecycle is made with."""

    instance: str
    data_centre: str
    holder: ConfigurationHolder
    membership: Membership
    heartbeats: Heartbeats
    gatekeeper: Gatekeeper
    ingress: Ingress
    wall_clock: Callable[[], float]


class Lifecycle:
    """Ends a node without cutting a call."""

    def __init__(self, parts: LifecycleParts) -> None:
        self._parts = parts
        #: Set when the node should end.
        self.stopped = asyncio.Event()
        #: Whether callers are to turn to other nodes.
        self.is_leaving = False
        self._drain: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Follow the planned stops until cancelled."""
        while True:
            self._check_stop()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def start_drain(self, reason: str) -> None:
        """Begin to drain; the node ends once it is idle."""
        if self._drain is None:
            log_decision('drain', instance=self._parts.instance, reason=reason)
            self._drain = asyncio.create_task(self._drain_and_stop())

    def start_stop(self, reason: str, grace_s: float) -> None:
        """Begin to end within a time, without cutting a call.

        The node serves on until its callers and the other nodes have turned
        away, then refuses, and ends once it is idle.
        """
        if self._drain is None:
            log_decision(
                'drain',
                instance=self._parts.instance,
                reason=reason,
                grace_s=grace_s,
            )
            self.is_leaving = True
            self._drain = asyncio.create_task(self._stop_within(grace_s))

    def _check_stop(self) -> None:
        configuration = self._parts.holder.current
        if configuration is None:
            return
        now = self._parts.wall_clock()
        stop = find_stop(
            configuration,
            self._parts.instance,
            self._parts.data_centre,
            now,
        )
        self._parts.gatekeeper.planned_stop = stop
        if stop is not None and self._compute_notice(stop) <= now:
            self.start_drain(f'planned stop {stop.stop_id}')

    def _compute_notice(self, stop: PlannedStop) -> float:
        """Return the time at which the node tells of its stop."""
        configuration = self._parts.holder.current
        assert configuration is not None
        longest_ms = max(
            kind.deadline_ms
            for service in configuration.services.values()
            for kind in service.kinds
        )
        return stop.starts_at - longest_ms / _MS_PER_S - NOTICE_S

    async def _stop_within(self, grace_s: float) -> None:
        serve_s = grace_s * SERVE_SHARE
        await asyncio.sleep(max(0.0, serve_s - TELL_S))
        self._parts.membership.update_own(status=MemberStatus.DRAINING)
        await asyncio.sleep(min(TELL_S, serve_s))
        self._parts.gatekeeper.is_draining = True
        self._parts.ingress.is_closed = True
        await self._end_when_idle(grace_s * (1 - SERVE_SHARE - END_SHARE))

    async def _drain_and_stop(self) -> None:
        self._parts.gatekeeper.is_draining = True
        self._parts.membership.update_own(status=MemberStatus.DRAINING)
        await asyncio.sleep(SPREAD_S)
        await self._end_when_idle(MAX_DRAIN_S)

    async def _end_when_idle(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._wait_until_idle()
        except TimeoutError:
            log_decision(
                'drain',
                instance=self._parts.instance,
                reason=f'calls still running after {limit_s:.1f} s',
            )
        self._parts.membership.update_own(status=MemberStatus.LEFT)
        try:
            async with asyncio.timeout(FAREWELL_S):
                await self._parts.heartbeats.flush_outboxes()
        except TimeoutError:
            log_decision(
                'drain',
                instance=self._parts.instance,
                reason='neighbours did not answer the farewell',
            )
        self.stopped.set()

    async def _wait_until_idle(self) -> None:
        quiet_checks = 0
        while quiet_checks < 2:
            running = (
                self._parts.gatekeeper.running + self._parts.ingress.running
            )
            quiet_checks = 0 if running else quiet_checks + 1
            await asyncio.sleep(CHECK_INTERVAL_S)
