"""Work that is done after what the current task is about to send."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

#: Seconds for which work is gathered, so that a busy event loop does it in
#: few turns.
GATHER_S: Final = 0.02


class _Work(NamedTuple):
    """One piece of work."""

    run: Callable[..., None]
    arguments: tuple[Any, ...]


class _Gathering:
    """Work that waits, and the event loop that is going to do it."""

    def __init__(self) -> None:
        self.waiting: deque[_Work] = deque()
        self.loop: asyncio.AbstractEventLoop | None = None


_GATHERING: Final = _Gathering()


def defer(work: Callable[..., None], *arguments: Any) -> None:
    """Do work within :data:`GATHER_S`, in order.

    Without a running loop it is done at once.
    """
    _GATHERING.waiting.append(_Work(work, arguments))
    if _GATHERING.loop is not None and not _GATHERING.loop.is_closed():
        return
    try:
        _GATHERING.loop = asyncio.get_running_loop()
    except RuntimeError:
        run_deferred()
        return
    _GATHERING.loop.call_later(GATHER_S, run_deferred)


def run_deferred() -> None:
    """Do what waits now."""
    _GATHERING.loop = None
    waiting = _GATHERING.waiting
    while waiting:
        work = waiting.popleft()
        work.run(*work.arguments)
