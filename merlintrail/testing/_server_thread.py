"""Server that runs in its own thread, for tests of blocking clients."""

import asyncio
import threading
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

ResultT = TypeVar('ResultT')

#: Seconds to wait for the thread to start, to run a call or to end.
THREAD_TIMEOUT_S = 10.0


class ListeningServer(Protocol):
    """Interface of a server that has been started."""

    @property
    def port(self) -> int:
        """The port on which the server listens."""

    def close(self) -> None:
        """Stop listening."""


class ServerThread:
    """Server on 127.0.0.1 with an event loop in its own thread.

    Its ``address`` is the ``host:port`` on which it listens.
    """

    def __init__(self, start: Callable[[], Awaitable[ListeningServer]]) -> None:
        self._start = start
        self._ready = threading.Event()
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._serve())
        )
        self._thread.start()
        self._ready.wait(THREAD_TIMEOUT_S)

    def call(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine on the event loop of the server."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(THREAD_TIMEOUT_S)

    def stop(self) -> None:
        """Stop the server and its thread."""
        self._loop.call_soon_threadsafe(self._stopped.set)
        self._thread.join(THREAD_TIMEOUT_S)

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        server = await self._start()
        self.address = f'127.0.0.1:{server.port}'
        self._ready.set()
        await self._stopped.wait()
        server.close()
