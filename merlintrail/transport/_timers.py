"""Timers that cost the event loop nothing when they are cancelled."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple


class Timer:
    """A call that is made at its time, unless it is cancelled before."""

    __slots__ = ('_arguments', '_callback')

    def __init__(
        self, callback: Callable[..., None], arguments: tuple[Any, ...]
    ) -> None:
        self._callback: Callable[..., None] | None = callback
        self._arguments = arguments

    def cancel(self) -> None:
        """Do not make the call."""
        self._callback = None
        self._arguments = ()

    @property
    def is_cancelled(self) -> bool:
        """Whether the call is not to be made."""
        return self._callback is None

    def run(self) -> None:
        """Make the call."""
        if self._callback is not None:
            self._callback(*self._arguments)


class _Entry(NamedTuple):
    """A place in the heap."""

    #: Time of the event loop at which the call is due.
    due_at: float
    #: Order among calls that are due at the same time.
    order: int
    timer: Timer


class TimerQueue:
    """Timers of which most are cancelled before their time.

    Each timer of the event loop itself that is cancelled costs uvloop
    another turn with its system call. Here only the earliest time is known
    to the event loop, and a cancelled timer is passed over.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._entries: list[_Entry] = []
        self._order = itertools.count()
        #: Time for which the event loop calls next, infinite for none.
        self._called_at = float('inf')

    def __len__(self) -> int:
        """Return the timers that wait, cancelled ones included."""
        return len(self._entries)

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: Any
    ) -> Timer:
        """Call back after a number of seconds."""
        timer = Timer(callback, arguments)
        due_at = self._loop.time() + delay_s
        heapq.heappush(self._entries, _Entry(due_at, next(self._order), timer))
        if due_at < self._called_at:
            self._ask_for_call(due_at)
        return timer

    def _ask_for_call(self, due_at: float) -> None:
        self._called_at = due_at
        self._loop.call_at(due_at, self._run_due, due_at)

    def _run_due(self, called_at: float) -> None:
        """Make the calls that are due; ask for the next."""
        if called_at == self._called_at:
            self._called_at = float('inf')
        limit = max(called_at, self._loop.time())
        try:
            while self._entries and self._entries[0].due_at <= limit:
                heapq.heappop(self._entries).timer.run()
        finally:
            self._ask_for_next()

    def _ask_for_next(self) -> None:
        while self._entries and self._entries[0].timer.is_cancelled:
            heapq.heappop(self._entries)
        if self._entries and self._entries[0].due_at < self._called_at:
            self._ask_for_call(self._entries[0].due_at)
