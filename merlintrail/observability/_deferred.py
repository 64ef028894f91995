"""Calls that are deferred, so that they do not delay a request."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

#: Seconds between the first deferred call and the run of all that are queued
#: by then. Batching them costs a busy event loop fewer iterations.
DEFER_DELAY_S: Final = 0.02


class _DeferredCall(NamedTuple):
    """A function and the arguments to call it with."""

    function: Callable[..., None]
    arguments: tuple[Any, ...]


class _DeferredQueue:
    """Queued calls and the event loop that is scheduled to run them."""

    def __init__(self) -> None:
        self.calls: deque[_DeferredCall] = deque()
        #: ``None`` while no run is scheduled.
        self.loop: asyncio.AbstractEventLoop | None = None


_QUEUE: Final = _DeferredQueue()


def defer(function: Callable[..., None], *arguments: Any) -> None:
    """Queue a call that the event loop makes within :data:`DEFER_DELAY_S`.

    Calls are made in the order in which they were queued. They are made at
    once if no run is scheduled and no event loop is running.
    """
    _QUEUE.calls.append(_DeferredCall(function, arguments))
    if _QUEUE.loop is not None and not _QUEUE.loop.is_closed():
        return
    try:
        _QUEUE.loop = asyncio.get_running_loop()
    except RuntimeError:
        run_deferred()
        return
    _QUEUE.loop.call_later(DEFER_DELAY_S, run_deferred)


def run_deferred() -> None:
    """Make all queued calls now."""
    _QUEUE.loop = None
    calls = _QUEUE.calls
    while calls:
        call = calls.popleft()
        call.function(*call.arguments)
