"""Event loop with virtual time, which advances instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances a virtual clock by the timeout of each wait."""

    def __init__(self) -> None:
        super().__init__()
        #: Virtual time in seconds.
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        """Poll without waiting and advance the virtual clock."""
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, for code that uses timers but no sockets.

    It never blocks, so a wait for a socket with a timeout expires at once.
    """

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_virtually(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on a new event loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
