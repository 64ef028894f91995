"""Work that is done after what the current task is about to send."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple


class _Work(NamedTuple):
    """One piece of work."""

    run: Callable[..., None]
    arguments: tuple[Any, ...]


_WAITING: Final[deque[_Work]] = deque()


def defer(work: Callable[..., None], *arguments: Any) -> None:
    """Do work at the next turn of the event loop, in order.

    Without a running loop it is done at once.
    """
    _WAITING.append(_Work(work, arguments))
    if len(_WAITING) > 1:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        do_deferred()
        return
    loop.call_soon(do_deferred)


def do_deferred() -> None:
    """Do what waits now."""
    while _WAITING:
        work = _WAITING.popleft()
        work.run(*work.arguments)
