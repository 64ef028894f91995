"""Time for which an idle connection is kept open."""

import asyncio
from collections.abc import Callable

from merlintrail.transport._connection_group import ConnectionGroup
from merlintrail.transport._connection_state import ConnectionState


class IdleTimer:
    """Reports that a connection was idle for too long.

    One timer covers many requests, since cancelling a timer for each of them
    costs the event loop an additional iteration.
    """

    def __init__(
        self,
        server: ConnectionGroup,
        state: ConnectionState,
        on_idle: Callable[[], None],
    ) -> None:
        """Initialize a timer that does not run.

        :param on_idle: called when the idle time is over.
        """
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._state = state
        self._on_idle = on_idle
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer unless it runs."""
        if self._timer is None:
            self._check()

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._state.is_busy:
            return
        idle_s = self._loop.time() - self._state.idle_since
        remaining_s = self._server.limits.idle_timeout_s - idle_s
        if remaining_s <= 0:
            self._on_idle()
            return
        self._timer = self._loop.call_later(remaining_s, self._check)
