"""In-process network whose connections fail as tests configure."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

from merlintrail.transport import (
    ClientConnection,
    ConnectionPool,
    ExchangeTimeouts,
    FailureStage,
    HeaderList,
    HttpRequest,
    HttpResponse,
    RequestHandler,
    TransportFailure,
)
from merlintrail.transport._timers import TimerQueue

#: One-way network delay in seconds.
DELAY_S: Final = 0.001


class FakeNetwork:
    """Request handlers by address, and the faults to inject."""

    def __init__(self) -> None:
        self.handlers: dict[str, RequestHandler] = {}
        #: Addresses that refuse connections.
        self.refusing: set[str] = set()
        #: Addresses that never respond, on any connection.
        self.unresponsive: set[str] = set()
        #: Addresses whose pooled connections drop requests.
        self.dropping_requests: set[str] = set()
        #: Addresses whose pooled connections drop responses.
        self.dropping_answers: set[str] = set()
        #: Responses yet to be lost after the request was served, by address.
        self.answers_to_lose: Counter[str] = Counter()
        #: Exchanges started, by address.
        self.counts: Counter[str] = Counter()
        #: One-way delay in seconds from a node to an address, ``NAME:PORT``.
        self.find_delay: Callable[[str, str], float] = lambda *_: DELAY_S
        #: Partition of each node; different ones cannot reach each other.
        self.partitions: dict[str, int] = {}

    def can_reach(self, origin: str, address: str) -> bool:
        """Return whether a node reaches an address, ``NAME:PORT``."""
        name = address.partition(':')[0]
        return self.partitions.get(origin) == self.partitions.get(name)


class _FakeConnection(ClientConnection):
    """A connection that runs its exchange as a task."""

    def __init__(
        self, task: 'asyncio.Task[HttpResponse | TransportFailure]'
    ) -> None:
        loop = task.get_loop()
        super().__init__(loop, TimerQueue(loop), max_body_bytes=0)
        self._task = task
        self._is_abandoned = False

    def abort_exchange(self, reason: str) -> None:
        """Cancel the exchange."""
        self._is_abandoned = True
        self._task.cancel()

    async def wait(self) -> HttpResponse | TransportFailure:
        """Wait for the response, or a failure if the exchange is given up."""
        try:
            return await self._task
        except asyncio.CancelledError:
            if not self._is_abandoned:
                raise
        return TransportFailure(FailureStage.ANSWER, 'ended')


class FakePool(ConnectionPool):
    """A connection pool that calls handlers in the same process."""

    def __init__(self, network: FakeNetwork, origin: str) -> None:
        super().__init__(1000000)
        self._network = network
        self._origin = origin

    async def exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        is_fresh: bool = False,
        timeout_s: float | None = None,
        timeouts: ExchangeTimeouts | None = None,
        accepts: Callable[[HttpResponse], bool] | None = None,
    ) -> HttpResponse | TransportFailure:
        """Pass a request to the handler at an address."""
        request = HttpRequest(method, target, dict(headers), body, '127.0.0.1')
        if timeouts is not None:
            return await self._exchange_with_timeouts(
                address, request, is_fresh, timeouts
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(address, request, is_fresh)
        except TimeoutError:
            return TransportFailure(FailureStage.ANSWER, 'timeout')

    async def can_connect(self, address: str) -> bool:
        """Return whether connections to an address succeed."""
        network = self._network
        return address in network.handlers and address not in network.refusing

    def drop_idle(self, address: str) -> int:
        """Clear the faults of pooled connections; new connections work."""
        self._network.dropping_requests.discard(address)
        self._network.dropping_answers.discard(address)
        return 1

    async def _exchange_with_timeouts(
        self,
        address: str,
        request: HttpRequest,
        is_fresh: bool,
        timeouts: ExchangeTimeouts,
    ) -> HttpResponse | TransportFailure:
        """Exchange, and call ``on_slow`` when the response is late."""
        loop = asyncio.get_running_loop()
        connection = _FakeConnection(
            loop.create_task(self._deliver(address, request, is_fresh))
        )
        timer = loop.call_later(
            timeouts.slow_after_s or 0, timeouts.on_slow, connection
        )
        try:
            return await connection.wait()
        finally:
            timer.cancel()

    async def _deliver(
        self, address: str, request: HttpRequest, is_fresh: bool
    ) -> HttpResponse | TransportFailure:
        network = self._network
        network.counts[address] += 1
        if address in network.refusing or address not in network.handlers:
            return TransportFailure(FailureStage.CONNECT, 'refused')
        drops_request = address in network.dropping_requests and not is_fresh
        is_silent = address in network.unresponsive or not network.can_reach(
            self._origin, address
        )
        if drops_request or is_silent:
            await asyncio.Event().wait()
        delay_s = network.find_delay(self._origin, address)
        await asyncio.sleep(delay_s)
        if address not in network.handlers:
            return TransportFailure(FailureStage.ANSWER, 'connection lost')
        drops_answer = address in network.dropping_answers and not is_fresh
        serving = asyncio.ensure_future(network.handlers[address](request))
        answer = await self._await_answer(serving, drops_answer=drops_answer)
        if network.answers_to_lose[address]:
            network.answers_to_lose[address] -= 1
            return TransportFailure(FailureStage.ANSWER, 'connection lost')
        await asyncio.sleep(delay_s)
        return answer

    async def _await_answer(
        self, serving: 'asyncio.Future[HttpResponse]', *, drops_answer: bool
    ) -> HttpResponse | TransportFailure:
        """Await a handler, or never respond if the response is dropped.

        The handler is cancelled with the exchange, unless its response is
        dropped: it then runs to completion.
        """
        if drops_answer:
            await asyncio.shield(serving)
            await asyncio.Event().wait()
        try:
            return await serving
        except ConnectionAbortedError:
            return TransportFailure(FailureStage.ANSWER, 'connection lost')


def get_header(answer: HttpResponse, name: str) -> str:
    """Return a response header, empty if it is missing."""
    headers: Mapping[str, str] = dict(answer.headers)
    return headers.get(name, '')
