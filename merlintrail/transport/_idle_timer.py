"""Time for which an idle connection is kept open."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.transport._connection_group import ConnectionGroup
from merlintrail.transport._connection_state import (
    ConnectionPhase,
    ConnectionState,
)
from merlintrail.transport._request_parser import RequestParser

#: Parts of the idle time at whose ends a caller is asked what it has taken.
CHECKS: Final = 8


class IdleTimer:
    """Reports that a connection was idle for too long.

    The time counts from the moment at which the caller has taken the last
    answer, as far as the checks tell, and does not run while a request
    arrives, which has time limits of its own.

    One timer covers many requests, since cancelling a timer for each of them
    costs the event loop an additional iteration.
    """

    __slots__ = (
        '_loop',
        '_on_idle',
        '_parser',
        '_server',
        '_state',
        '_timer',
        '_watch_taken',
    )

    def __init__(
        self,
        server: ConnectionGroup,
        state: ConnectionState,
        parser: RequestParser,
        watch_taken: Callable[[], None],
        on_idle: Callable[[], None],
    ) -> None:
        """Initialize a timer that does not run.

        :param watch_taken: called to check what the caller has taken.
        :param on_idle: called when the idle time is over.
        """
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._state = state
        self._parser = parser
        self._watch_taken = watch_taken
        self._on_idle = on_idle
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer unless it runs."""
        if self._timer is None:
            self._wait(self._server.limits.idle_timeout_s / CHECKS)

    def rank(self) -> tuple[int, float] | None:
        """Rank the connection among those that are closed to make room.

        :returns: the lowest for those that go first; ``None`` for one whose
            request is served, or whose answer is taken.
        """
        since = self._state.idle_since
        stalled_since = self._state.find_stall(self._loop.time())
        if self._state.phase == ConnectionPhase.AWAITING_CLOSE:
            return (0, since)
        if stalled_since is not None:
            return (4, stalled_since)
        if self._state.is_between_requests:
            return (5, since)
        if self._state.phase != ConnectionPhase.RECEIVING:
            return None
        if self._parser.is_receiving:
            return (3, since)
        return (2 if self._state.has_received else 1, since)

    def close(self) -> None:
        """Stop for good, and drop the references to the connection."""
        if self._timer is not None:
            self._timer.cancel()
        del self._on_idle

    def _check(self) -> None:
        self._timer = None
        if self._state.is_busy:
            return
        now = self._loop.time()
        self._watch_taken()
        if self._parser.is_receiving:
            self._state.idle_since = now
        limit_s = self._server.limits.idle_timeout_s
        idle_s = now - self._state.idle_since
        if idle_s >= limit_s:
            self._on_idle()
            return
        first_check_s = limit_s / CHECKS
        due_s = first_check_s if idle_s < first_check_s else limit_s
        self._wait(due_s - idle_s)

    def _wait(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check)
