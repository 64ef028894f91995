"""A server on a thread of its own, for tests of blocking clients."""

import asyncio
import threading
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

ResultT = TypeVar('ResultT')

#: Seconds to wait for the thread.
WAIT_S = 10.0


class ListeningServer(Protocol):
    """What a server that was started can do."""

    @property
    def port(self) -> int:
        """The port that is listened on."""

    def close(self) -> None:
        """Stop listening."""


class ServerThread:
    """Runs a server on 127.0.0.1 until it is stopped."""

    def __init__(self, start: Callable[[], Awaitable[ListeningServer]]) -> None:
        self._start = start
        self._ready = threading.Event()
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._serve())
        )
        self._thread.start()
        self._ready.wait(WAIT_S)

    def call(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine on the server's thread."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(WAIT_S)

    def stop(self) -> None:
        """Stop the server and its thread."""
        self._loop.call_soon_threadsafe(self._stopped.set)
        self._thread.join(WAIT_S)

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        server = await self._start()
        self.address = f'127.0.0.1:{server.port}'
        self._ready.set()
        await self._stopped.wait()
        server.close()
