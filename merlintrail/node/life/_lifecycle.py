"""Draining and shutdown of a node, on a signal or for a planned stop."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from merlintrail.coordination import Heartbeats, Membership
from merlintrail.node.backend import BackendGateway
from merlintrail.node.serving import Ingress, NodeServers
from merlintrail.observability import describe_error, log_decision
from merlintrail.state import (
    ConfigurationHolder,
    MemberStatus,
    PlannedStop,
    find_planned_stop,
)

#: Seconds between checks for planned stops and for running calls.
CHECK_INTERVAL_S: Final = 0.2
#: Seconds by which a node begins to drain ahead of a planned stop, in addition
#: to the longest deadline of any request kind.
STOP_NOTICE_S: Final = 5.0
#: Seconds that a draining node waits for its status to reach the other nodes.
DRAIN_PROPAGATION_S: Final = 1.0
#: Share of the grace period in which a node that received a stop signal still
#: serves, so that callers can switch to other nodes.
SERVING_SHARE: Final = 0.42
#: Seconds by which a node notifies the others before it refuses calls.
DRAIN_NOTICE_S: Final = 0.5
#: Share of the grace period that is kept in reserve for the end of the
#: process.
EXIT_RESERVE_SHARE: Final = 0.15
#: Seconds between checks whether callers have taken the last answers.
DELIVERY_CHECK_INTERVAL_S: Final = 0.05
#: Share of the grace period for callers to take the last answers.
LAST_ANSWERS_SHARE: Final = 0.05
#: Seconds for callers to take the last answers without a grace period.
LAST_ANSWERS_S: Final = 2.0
#: Timeout in seconds for notifying the neighbours of the departure.
DEPARTURE_NOTICE_TIMEOUT_S: Final = 0.25
#: Longest wait in seconds for running calls when a node drains without a
#: grace period.
MAX_DRAIN_S: Final = 60.0
_MS_PER_S: Final = 1000


class LifecycleDependencies(NamedTuple):
    """Dependencies of :class:`Lifecycle`."""

    instance: str
    data_centre: str
    holder: ConfigurationHolder
    membership: Membership
    heartbeats: Heartbeats
    gateway: BackendGateway
    ingress: Ingress
    servers: NodeServers
    clock: Callable[[], float]
    wall_clock: Callable[[], float]


class Lifecycle:
    """Shuts a node down and lets running calls finish within a time limit."""

    def __init__(self, deps: LifecycleDependencies) -> None:
        self._deps = deps
        #: Set when the process should exit.
        self.stopped = asyncio.Event()
        #: Whether the node reports that it is not ready, so that callers
        #: switch to other nodes while it still serves.
        self.is_shutting_down = False
        self._drain: asyncio.Task[None] | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the node has begun to stop."""
        return self._drain is not None

    async def run(self) -> None:
        """Check for planned stops until cancelled."""
        while True:
            self._check_planned_stop()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def start_drain(self, reason: str) -> None:
        """Refuse calls to the local backend server and stop once idle."""
        if self._drain is None:
            self._log_drain(reason)
            self._begin(self._drain_and_stop())

    def start_shutdown(self, reason: str, grace_s: float) -> None:
        """Shut down within a grace period and let running calls finish.

        The node still serves while callers and the other nodes switch away
        from it. Then it refuses their calls, serves the nested calls of its
        local backend server, and stops once it is idle. It replaces a drain
        that has no limit of its own.
        """
        if not self.is_shutting_down:
            log_decision(
                'drain',
                instance=self._deps.instance,
                reason=reason,
                grace_s=grace_s,
            )
            self.is_shutting_down = True
            self._begin(self._shut_down_within(grace_s))

    def _begin(self, drain: Coroutine[Any, Any, None]) -> None:
        """Close connections behind their answers, and drain.

        The process ends whatever happens to the drain.
        """
        self._deps.servers.close_after_answers()
        if self._drain is not None:
            self._drain.remove_done_callback(self._end_process)
            self._drain.cancel()
        self._drain = asyncio.create_task(drain)
        self._drain.add_done_callback(self._end_process)

    def _end_process(self, drain: 'asyncio.Task[None]') -> None:
        error = None if drain.cancelled() else drain.exception()
        if error is not None:
            self._log_drain(f'failed: {describe_error(error)}')
        self.stopped.set()

    def _check_planned_stop(self) -> None:
        configuration = self._deps.holder.current
        if configuration is None:
            return
        now = self._deps.wall_clock()
        stop = find_planned_stop(
            configuration,
            self._deps.instance,
            self._deps.data_centre,
            now,
        )
        self._deps.gateway.planned_stop = stop
        if stop is not None and self._compute_drain_time(stop) <= now:
            self.start_drain(f'planned stop {stop.stop_id}')

    def _compute_drain_time(self, stop: PlannedStop) -> float:
        """Return the time at which draining for a planned stop begins."""
        configuration = self._deps.holder.current
        assert configuration is not None
        longest_ms = max(
            kind.deadline_ms
            for service in configuration.services.values()
            for kind in service.kinds
        )
        return stop.starts_at - longest_ms / _MS_PER_S - STOP_NOTICE_S

    async def _shut_down_within(self, grace_s: float) -> None:
        ends_at = self._deps.clock() + grace_s * (1 - EXIT_RESERVE_SHARE)
        self._deps.gateway.ends_at = ends_at
        self._deps.ingress.ends_at = ends_at
        serve_s = grace_s * SERVING_SHARE
        await asyncio.sleep(max(0.0, serve_s - DRAIN_NOTICE_S))
        self._deps.membership.update_own(status=MemberStatus.DRAINING)
        await asyncio.sleep(min(DRAIN_NOTICE_S, serve_s))
        self._deps.gateway.is_draining = True
        self._deps.ingress.is_closed = True
        await self._end_when_idle(
            grace_s * (1 - SERVING_SHARE - EXIT_RESERVE_SHARE),
            grace_s * LAST_ANSWERS_SHARE,
        )

    async def _drain_and_stop(self) -> None:
        self._deps.gateway.is_draining = True
        self._deps.membership.update_own(status=MemberStatus.DRAINING)
        await asyncio.sleep(DRAIN_PROPAGATION_S)
        await self._end_when_idle(MAX_DRAIN_S, LAST_ANSWERS_S)

    async def _end_when_idle(self, limit_s: float, last_s: float) -> None:
        """Stop once nothing runs, or when the time is over.

        :param limit_s: seconds for running calls.
        :param last_s: seconds for callers to take the last answers.
        """
        servers = self._deps.servers
        if not await self._try_within(limit_s, self._wait_until_idle()):
            self._log_drain(f'calls still running after {limit_s:.1f} s')
            servers.answer_unfinished()
        self._deps.ingress.is_closed = True
        servers.refuse_incomplete()
        self._deps.membership.update_own(status=MemberStatus.LEFT)
        has_notified, has_delivered = await asyncio.gather(
            self._try_within(
                DEPARTURE_NOTICE_TIMEOUT_S,
                self._deps.heartbeats.flush_outboxes(),
            ),
            self._try_within(last_s, self._wait_until_delivered()),
        )
        if not has_notified:
            self._log_drain('neighbours did not answer the departure notice')
        if not has_delivered:
            self._log_drain(
                f'callers take answers still after {last_s:.1f} s',
                servers.count_busy(),
            )

    async def _try_within(
        self, limit_s: float, work: Coroutine[Any, Any, None]
    ) -> bool:
        """Return whether work ended within some seconds."""
        try:
            async with asyncio.timeout(limit_s):
                await work
        except TimeoutError:
            return False
        return True

    def _log_drain(self, reason: str, connections: int | None = None) -> None:
        log_decision(
            'drain',
            instance=self._deps.instance,
            reason=reason,
            connections=connections,
        )

    async def _wait_until_delivered(self) -> None:
        while self._deps.servers.count_busy():
            await asyncio.sleep(DELIVERY_CHECK_INTERVAL_S)

    async def _wait_until_idle(self) -> None:
        """Wait until no call runs and no connection has anything to send."""
        idle_checks = 0
        while idle_checks < 2:
            idle_checks = 0 if self._count_running() else idle_checks + 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _count_running(self) -> int:
        return (
            self._deps.gateway.running
            + self._deps.ingress.running
            + self._deps.servers.count_busy()
        )
