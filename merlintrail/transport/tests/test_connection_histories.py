"""Random histories of connections over sockets with small windows."""

import asyncio
import random
import unittest
from typing import Final

from merlintrail.transport import HttpRequest, HttpResponse, start_server
from merlintrail.transport.tests.slow_callers import (
    Received,
    SlowCaller,
    connect_slowly,
)

_HISTORIES: Final = 25
#: Requests of a history at the most.
_MAX_REQUESTS: Final = 12
_SIZES: Final = (0, 10, 20_000, 300_000)
_WORK_S: Final = 0.02
_LAST_ANSWER: Final = HttpResponse(504, (), b'last')


class _History:
    """One caller, its requests, and the moment at which the server stops."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.count = self.rng.randint(1, _MAX_REQUESTS)
        #: Index of the request that ends the connection, if one does.
        self.last = self.rng.randrange(2 * self.count)
        #: Index of the request before which the server begins to stop.
        self.stop = self.rng.randrange(2 * self.count)
        self.failing = self.rng.randrange(2 * self.count)
        self.has_end = self.rng.random() < 1 / 4
        #: Targets of the requests that were passed on, in order.
        self.begun: list[str] = []
        self.sizes = [self.rng.choice(_SIZES) for _ in range(self.count)]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with a body of the size that is set for the request."""
        self.begun.append(request.target)
        index = int(request.target.strip('/'))
        await asyncio.sleep(self.rng.uniform(0, _WORK_S))
        if index == self.failing:
            raise LookupError('a fault of the handler')
        body = f'{index}.'.encode().ljust(self.sizes[index] + 4, b'x')
        return HttpResponse(200, (), body)

    def build_request(self, index: int) -> bytes:
        """Build a request of either version, with a body or without."""
        version = self.rng.choice(('1.0', '1.1', '1.1', '1.1'))
        body = b'y' * self.rng.choice((0, 5, 5000))
        connection = 'close' if index == self.last else 'keep-alive'
        lines = [
            f'POST /{index} HTTP/{version}',
            'host: a',
            f'connection: {connection}',
            f'content-length: {len(body)}',
            '',
            '',
        ]
        return '\r\n'.join(lines).encode() + body


async def _play(history: _History) -> Received:
    server = await start_server(history.handle, '127.0.0.1', 0)
    caller = await connect_slowly(server)
    reading = asyncio.create_task(caller.read_all(0.001, limit_s=20))
    for index in range(history.count):
        server.is_closing = server.is_closing or index == history.stop
        await _send_slowly(history, caller, history.build_request(index))
    if history.has_end:
        server.is_closing = True
        await asyncio.sleep(history.rng.uniform(0, 2 * _WORK_S))
        server.answer_unfinished(lambda _: _LAST_ANSWER)
    if history.has_end or min(history.last, history.stop) >= history.count:
        while server.count_busy():
            await asyncio.sleep(0.01)
        server.close()
    received = await reading
    caller.close()
    server.close()
    return received


async def _send_slowly(
    history: _History, caller: SlowCaller, payload: bytes
) -> None:
    """Send a request in up to three parts."""
    middle = history.rng.randrange(len(payload))
    for part in (payload[:middle], payload[middle:]):
        caller.send(part)
        await asyncio.sleep(history.rng.choice((0, 0, 0.005, 0.05)))


class ConnectionHistoriesTest(unittest.IsolatedAsyncioTestCase):
    """Requests of any number and size, stops, closes, faults and limits."""

    async def test_histories(self) -> None:
        """What was passed on is answered whole, once and in order."""
        for seed in range(_HISTORIES):
            history = _History(seed)
            received = await _play(history)
            with self.subTest(seed=seed):
                self._check(history, received)

    def _check(self, history: _History, received: Received) -> None:
        answered = len(received.bodies)
        self.assertEqual(received.error, '')
        self.assertEqual(answered, len(history.begun))
        pairs = zip(history.begun, received.bodies, strict=True)
        for target, body in pairs:
            index = int(target.strip('/'))
            if index == history.failing:
                is_own = b'internal-error' in body
            else:
                is_own = body.startswith(f'{index}.'.encode())
            self.assertTrue(is_own or body == _LAST_ANSWER.body, target)
