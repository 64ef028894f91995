"""Exchanges within one process, with connections that fail by script."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

from merlintrail.transport import (
    ClientConnection,
    ConnectionPool,
    FailureStage,
    HeaderList,
    HttpRequest,
    HttpResponse,
    ExchangeTimeouts,
    RequestHandler,
    TransportFailure,
)
from merlintrail.transport._timers import TimerQueue

#: Seconds that an exchange takes each way.
DELAY_S: Final = 0.001


class FakeNetwork:
    """Handlers by address, and what is broken."""

    def __init__(self) -> None:
        self.handlers: dict[str, RequestHandler] = {}
        #: Addresses at which nothing listens.
        self.refusing: set[str] = set()
        #: Addresses that never answer, on any connection.
        self.silent: set[str] = set()
        #: Addresses whose pooled connections swallow what is sent.
        self.swallowing: set[str] = set()
        #: Addresses whose pooled connections swallow the answers.
        self.deaf: set[str] = set()
        #: Answers yet to be lost after the request was served.
        self.losing: Counter[str] = Counter()
        #: Exchanges begun, by address.
        self.counts: Counter[str] = Counter()


class _FakeConnection(ClientConnection):
    """A connection whose exchange is a task."""

    def __init__(
        self, task: 'asyncio.Task[HttpResponse | TransportFailure]'
    ) -> None:
        loop = task.get_loop()
        super().__init__(loop, TimerQueue(loop), max_body_bytes=0)
        self._task = task
        self._is_ended = False

    def abort_exchange(self, reason: str) -> None:
        """End the exchange."""
        self._is_ended = True
        self._task.cancel()

    async def wait(self) -> HttpResponse | TransportFailure:
        """Wait for the answer or the end."""
        try:
            return await self._task
        except asyncio.CancelledError:
            if not self._is_ended:
                raise
        return TransportFailure(FailureStage.ANSWER, 'ended')


class FakePool(ConnectionPool):
    """A pool whose connections lead to handlers of the same process."""

    def __init__(self, network: FakeNetwork) -> None:
        super().__init__(1000000)
        self._network = network

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
        """Pass a request to the handler at the address."""
        request = HttpRequest(method, target, dict(headers), body, '127.0.0.1')
        if timeouts is not None:
            return await self._exchange_patiently(
                address, request, is_fresh, timeouts
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(address, request, is_fresh)
        except TimeoutError:
            return TransportFailure(FailureStage.ANSWER, 'timeout')

    async def can_connect(self, address: str) -> bool:
        """Tell whether something listens at the address."""
        network = self._network
        return address in network.handlers and address not in network.refusing

    def drop_idle(self, address: str) -> int:
        """Forget the broken connections: new ones work."""
        self._network.swallowing.discard(address)
        self._network.deaf.discard(address)
        return 1

    async def _exchange_patiently(
        self,
        address: str,
        request: HttpRequest,
        is_fresh: bool,
        timeouts: ExchangeTimeouts,
    ) -> HttpResponse | TransportFailure:
        """Exchange; tell when it is slow, and let that end it."""
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
        is_swallowed = address in network.swallowing and not is_fresh
        if is_swallowed or address in network.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(DELAY_S)
        is_deaf = address in network.deaf and not is_fresh
        serving = asyncio.ensure_future(network.handlers[address](request))
        answer = await self._await_answer(serving, is_deaf=is_deaf)
        if network.losing[address]:
            network.losing[address] -= 1
            return TransportFailure(FailureStage.ANSWER, 'connection lost')
        await asyncio.sleep(DELAY_S)
        return answer

    async def _await_answer(
        self, serving: 'asyncio.Future[HttpResponse]', *, is_deaf: bool
    ) -> HttpResponse | TransportFailure:
        """Await a handler; one whose caller has gone is cancelled."""
        if is_deaf:
            await asyncio.shield(serving)
            await asyncio.Event().wait()
        try:
            return await serving
        except ConnectionAbortedError:
            return TransportFailure(FailureStage.ANSWER, 'connection lost')


def get_header(answer: HttpResponse, name: str) -> str:
    """Return a header of an answer, empty when it has none."""
    headers: Mapping[str, str] = dict(answer.headers)
    return headers.get(name, '')
