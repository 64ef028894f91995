"""Holds requests for what a node that has just started does not know yet."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from merlintrail.node._calls import OutgoingCall
from merlintrail.observability import log_decision
from merlintrail.state import (
    MAX_UNCONFIGURED_S,
    Configuration,
    ConfigurationHolder,
    Member,
    MemberTable,
    RoutingTable,
    compute_startup_wait,
)

#: Requests that one node holds at a time; further ones are refused at once.
MAX_HELD: Final = 256
_MS_PER_S: Final = 1000


class StartupWait:
    """Holds requests until the configuration or a backend server is known.

    It does so only shortly after the start of the node; see
    :func:`compute_startup_wait`.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        table: MemberTable,
        routing: RoutingTable,
        clock: Callable[[], float],
    ) -> None:
        self._holder = holder
        self._routing = routing
        self._clock = clock
        #: Clock time at which the node started, ``None`` before it did.
        self._started_at: float | None = None
        self._held = 0
        self._changed = asyncio.Event()
        holder.add_listener(self._handle_configuration)
        table.add_listener(self._handle_member)

    def begin(self) -> None:
        """Record that the node starts now."""
        self._started_at = self._clock()

    async def wait_for_configuration(
        self, request_id: str, deadline_s: float | None
    ) -> None:
        """Hold a request until there is a configuration, or its time is over.

        :param deadline_s: seconds that the caller waits, ``None`` if unknown.
        """
        if self._holder.current is not None:
            return
        limit_s = compute_startup_wait(
            self._read_age(), deadline_s or math.inf, None, is_nested=False
        )
        await self._hold(
            request_id,
            'no configuration yet',
            min(MAX_UNCONFIGURED_S, limit_s),
            lambda: self._holder.current is not None,
        )

    async def wait_for_service(self, call: OutgoingCall) -> None:
        """Hold a call until a backend server of its service is known."""
        if self._routing.has_service(call.service):
            return
        objective_s: float | None = None
        if call.objective_ms is not None:
            objective_s = call.objective_ms / _MS_PER_S
        await self._hold(
            call.request_id,
            'no backend server known yet',
            compute_startup_wait(
                self._read_age(),
                call.deadline - self._clock(),
                objective_s,
                is_nested=call.depth > 1,
            ),
            lambda: self._routing.has_service(call.service),
        )

    async def _hold(
        self,
        request_id: str,
        reason: str,
        limit_s: float,
        is_served: Callable[[], bool],
    ) -> None:
        if limit_s <= 0 or self._held >= MAX_HELD:
            return
        held_at = self._clock()
        self._held += 1
        try:
            async with asyncio.timeout(limit_s):
                while not is_served():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            # The caller of this method refuses the request.
            pass
        finally:
            self._held -= 1
        log_decision(
            'hold',
            request_id=request_id,
            reason=reason,
            outcome='released' if is_served() else 'expired',
            held_ms=round((self._clock() - held_at) * _MS_PER_S, 1),
            limit_ms=round(limit_s * _MS_PER_S, 1),
        )

    def _read_age(self) -> float:
        if self._started_at is None:
            return math.inf
        return self._clock() - self._started_at

    def _handle_configuration(self, _: Configuration) -> None:
        self._changed.set()

    def _handle_member(self, _: Member | None, member: Member) -> None:
        self._changed.set()
