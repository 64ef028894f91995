"""Checks of what the caller of a connection has taken."""

import asyncio
from typing import Final

from merlintrail.transport._connection_state import (
    ConnectionPhase,
    ConnectionState,
)
from merlintrail.transport._send_queue import count_untaken_bytes

#: Bounds in seconds of the interval between two checks of what the caller has
#: taken. It doubles from one check to the next.
MIN_CHECK_INTERVAL_S: Final = 0.05
MAX_CHECK_INTERVAL_S: Final = 0.5


class HandOver:
    """Closes a connection whose caller has taken everything, or takes nothing.

    Behind the last answer, input is to be read and ignored: closing with
    unread bytes resets the connection, and what is still under way is lost.
    """

    def __init__(self, state: ConnectionState) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._interval_s = MIN_CHECK_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, transport: asyncio.Transport) -> None:
        """Check from now on, while something is left to be taken."""
        if self._timer is None:
            self._interval_s = MIN_CHECK_INTERVAL_S
            self._check(transport)

    def start(self, transport: asyncio.Transport) -> None:
        """Announce the end, and check until the connection may be closed."""
        self._state.begin_end(self._loop.time())
        transport.write_eof()
        self.stop()
        self.watch(transport)

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, transport: asyncio.Transport) -> None:
        self._timer = None
        untaken_bytes = count_untaken_bytes(transport)
        self._state.record_untaken(untaken_bytes, self._loop.time())
        if self._state.phase == ConnectionPhase.CLOSED:
            transport.abort()
        elif untaken_bytes or self._state.is_ending:
            self._timer = self._loop.call_later(
                self._interval_s, self._check, transport
            )
            self._interval_s = min(2 * self._interval_s, MAX_CHECK_INTERVAL_S)
