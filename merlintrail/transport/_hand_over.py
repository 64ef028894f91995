"""Checks of what the caller of a connection has taken."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.transport._connection_end import EndingConnection
from merlintrail.transport._connection_state import (
    ConnectionPhase,
    ConnectionState,
)
from merlintrail.transport._send_queue import count_untaken_bytes
from merlintrail.transport._untaken_answers import UntakenAnswers

#: Bounds in seconds of the interval between two checks of what the caller has
#: taken. It doubles from one check to the next.
MIN_CHECK_INTERVAL_S: Final = 0.05
MAX_CHECK_INTERVAL_S: Final = 0.5


class HandOver:
    """Closes a connection whose caller has taken everything, or takes nothing.

    Behind the last answer, input is to be read and ignored: closing with
    unread bytes resets the connection, and what is still under way is lost.
    """

    __slots__ = (
        '_counted_bytes',
        '_interval_s',
        '_is_exhausted',
        '_loop',
        '_state',
        '_timer',
        '_untaken',
        'transport',
    )

    def __init__(
        self,
        state: ConnectionState,
        untaken: UntakenAnswers,
        is_exhausted: Callable[[], bool],
    ) -> None:
        """Initialize without a connection.

        :param untaken: what all callers hold together.
        :param is_exhausted: whether other answers wait for memory.
        """
        self._untaken = untaken
        self._is_exhausted = is_exhausted
        #: Bytes of this connection in that sum.
        self._counted_bytes = 0
        self._loop = asyncio.get_running_loop()
        self._state = state
        #: Transport of the connection, once it is made.
        self.transport: asyncio.Transport | None = None
        self._interval_s = MIN_CHECK_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Check from now on, while something is left to be taken."""
        if self._timer is None:
            self._interval_s = MIN_CHECK_INTERVAL_S
            self._check()

    def start(self) -> None:
        """Check until the connection, whose end is announced, may be closed."""
        self._state.begin_end(self._loop.time())
        self._stop()
        self.watch()

    def abort(self) -> None:
        """Close the connection at once, to make room for others."""
        self._state.close()
        if self.transport is not None:
            self.transport.abort()

    def describe(self) -> EndingConnection | None:
        """Describe the end that is under way, ``None`` if there is none."""
        since = self._state.ending_since
        if since is None:
            return None
        untaken_bytes = count_untaken_bytes(self.transport)
        return EndingConnection(self._loop.time() - since, untaken_bytes)

    def close(self) -> None:
        """Check no more, and drop the reference to the connection."""
        self._stop()
        self._count(0)
        self.transport = None

    def _count(self, untaken_bytes: int) -> None:
        self._untaken.update(self._counted_bytes, untaken_bytes)
        self._counted_bytes = untaken_bytes

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self.transport is None:
            return
        untaken_bytes = count_untaken_bytes(self.transport)
        self._count(untaken_bytes)
        self._state.record_untaken(
            untaken_bytes,
            self._loop.time(),
            is_pressed=self._untaken.is_above_limit,
        )
        if self._is_exhausted():
            self._state.record_shortage(self._loop.time())
        if self._state.phase == ConnectionPhase.CLOSED:
            self.transport.abort()
        elif untaken_bytes or self._state.is_ending:
            self._timer = self._loop.call_later(self._interval_s, self._check)
            self._interval_s = min(2 * self._interval_s, MAX_CHECK_INTERVAL_S)
