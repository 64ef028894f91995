"""Timers that can be cancelled without cost to the event loop."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple


class Timer:
    """A callback that runs at a given time unless it is cancelled."""

    __slots__ = ('_arguments', '_callback')

    def __init__(
        self, callback: Callable[..., None], arguments: tuple[Any, ...]
    ) -> None:
        self._callback: Callable[..., None] | None = callback
        self._arguments = arguments

    def cancel(self) -> None:
        """Cancel the callback."""
        self._callback = None
        self._arguments = ()

    @property
    def is_cancelled(self) -> bool:
        """Whether the callback was cancelled."""
        return self._callback is None

    def run(self) -> None:
        """Run the callback unless it was cancelled."""
        if self._callback is not None:
            self._callback(*self._arguments)


class _HeapEntry(NamedTuple):
    """Entry of the heap, ordered by time."""

    #: Event loop time at which the callback is due.
    due_at: float
    #: Tie-breaker that keeps callbacks due at the same time in order.
    order: int
    timer: Timer


class TimerQueue:
    """Queue of timers, most of which are cancelled before they are due.

    Cancelling a timer of uvloop itself costs an additional iteration of the
    event loop with its system call. The queue therefore schedules only the
    earliest time with the event loop, and skips cancelled timers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._entries: list[_HeapEntry] = []
        self._order = itertools.count()
        #: Event loop time of the next scheduled wakeup, infinite for none.
        self._wakeup_at = float('inf')

    def __len__(self) -> int:
        """Return the number of queued timers, including cancelled ones."""
        return len(self._entries)

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: Any
    ) -> Timer:
        """Run a callback after a number of seconds."""
        timer = Timer(callback, arguments)
        due_at = self._loop.time() + delay_s
        heapq.heappush(
            self._entries, _HeapEntry(due_at, next(self._order), timer)
        )
        if due_at < self._wakeup_at:
            self._schedule_wakeup(due_at)
        return timer

    def _schedule_wakeup(self, due_at: float) -> None:
        self._wakeup_at = due_at
        self._loop.call_at(due_at, self._run_due, due_at)

    def _run_due(self, wakeup_at: float) -> None:
        """Run the callbacks that are due, then schedule the next wakeup."""
        if wakeup_at == self._wakeup_at:
            self._wakeup_at = float('inf')
        limit = max(wakeup_at, self._loop.time())
        try:
            while self._entries and self._entries[0].due_at <= limit:
                heapq.heappop(self._entries).timer.run()
        finally:
            self._schedule_next_wakeup()

    def _schedule_next_wakeup(self) -> None:
        while self._entries and self._entries[0].timer.is_cancelled:
            heapq.heappop(self._entries)
        if self._entries and self._entries[0].due_at < self._wakeup_at:
            self._schedule_wakeup(self._entries[0].due_at)
