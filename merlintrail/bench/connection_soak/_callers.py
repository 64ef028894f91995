"""Kinds of callers, each with its way to use a connection."""

import abc
import asyncio
import itertools
import random
from collections import deque
from collections.abc import Sequence
from typing import Final

from merlintrail.bench.connection_soak._connection import (
    SoakConnection,
    connect,
)
from merlintrail.bench.connection_soak._requests import (
    RequestEnd,
    SoakRequest,
)

#: Bounds of the pause in seconds before a caller connects, and between two
#: uses of a connection.
MIN_PAUSE_S: Final = 0.02
MAX_PAUSE_S: Final = 0.3
#: Seconds for which a far caller pauses after each part of an answer.
FAR_PAUSE_S: Final = 0.008
#: Parts in which a slow body is sent, and the pause between them in seconds.
BODY_PARTS: Final = 6
BODY_PAUSE_S: Final = 0.15
_IDEMPOTENT: Final = '/move/'
_NON_IDEMPOTENT: Final = '/once/'
_SMALL_BODY: Final = b'x' * 200
_SLOW_BODY: Final = b'y' * 60_000


class Caller(abc.ABC):
    """Connects to one node again and again."""

    #: Kind of the caller, for findings.
    name = ''
    is_far = False
    pause_s = 0.0

    def __init__(self, entry: str, address: str, seed: int) -> None:
        """Initialize the caller.

        :param entry: instance of the node.
        """
        self._entry = entry
        self._address = address
        self.rng = random.Random(f'{seed} {entry} {self.name}')
        self._numbers = itertools.count(1)
        self.requests: list[SoakRequest] = []

    async def run(self) -> None:
        """Use connections until cancelled."""
        while True:
            await self._pause()
            try:
                connection = await connect(self._address, is_far=self.is_far)
            except OSError:
                continue
            connection.pause_s = self.pause_s
            try:
                await self._use_until_closed(connection)
            except (OSError, EOFError):
                continue
            finally:
                connection.close()

    @abc.abstractmethod
    async def use(self, connection: SoakConnection, number: int) -> bool:
        """Send some requests and read their answers.

        :param number: number of the first request on its connection.
        :returns: whether the connection may be used on.
        """

    def create_request(self, number: int) -> SoakRequest:
        """Create a request to be sent."""
        label = f'{self.name}-{self._entry}-{next(self._numbers)}'
        request = SoakRequest(
            label,
            self._entry,
            self.name,
            number,
            asyncio.get_running_loop().time(),
        )
        self.requests.append(request)
        return request

    async def _use_until_closed(self, connection: SoakConnection) -> None:
        if not await connection.is_ready():
            return
        known = len(self.requests)
        while await self.use(connection, len(self.requests) - known + 1):
            await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))


class KeptCaller(Caller):
    """Sends one request after another, which may not be repeated."""

    name = 'kept'

    async def use(self, connection: SoakConnection, number: int) -> bool:
        """Send a request and read its answer."""
        request = self.create_request(number)
        connection.send(request, _NON_IDEMPOTENT, _SMALL_BODY)
        connection.writer.write(_SMALL_BODY)
        return await connection.read(request)


class OldCaller(Caller):
    """Speaks HTTP/1.0, with a connection for each request."""

    name = 'old'

    async def use(self, connection: SoakConnection, number: int) -> bool:
        """Send a request and read its answer."""
        request = self.create_request(number)
        connection.send(request, _IDEMPOTENT, version='1.0')
        return await connection.read(request)


class SlowBodyCaller(Caller):
    """Sends bodies slowly."""

    name = 'slow-body'

    async def use(self, connection: SoakConnection, number: int) -> bool:
        """Send a request in parts and read its answer."""
        request = self.create_request(number)
        connection.send(request, _NON_IDEMPOTENT, _SLOW_BODY)
        size = len(_SLOW_BODY) // BODY_PARTS
        try:
            for start in range(0, len(_SLOW_BODY), size):
                await asyncio.sleep(BODY_PAUSE_S)
                connection.writer.write(_SLOW_BODY[start : start + size])
                await connection.writer.drain()
        except OSError:
            request.end = RequestEnd.UNSENT
            raise
        request.sent_at = asyncio.get_running_loop().time()
        return await connection.read(request)


class PipeliningCaller(Caller):
    """Sends several requests at once."""

    name = 'pipelining'
    #: Bounds of the number of requests.
    counts = (2, 8)
    #: Bounds of the size of their answers in bytes.
    answer_bytes = (100, 2000)
    #: Requests that are on their way at the most.
    window = 8

    async def use(self, connection: SoakConnection, number: int) -> bool:
        """Send requests, each while earlier ones are on their way."""
        waiting: deque[SoakRequest] = deque()
        is_usable = True
        for offset in range(self.rng.randint(*self.counts)):
            request = self.create_request(number + offset)
            waiting.append(request)
            connection.send(
                request,
                _IDEMPOTENT,
                answer_bytes=self.rng.randint(*self.answer_bytes),
            )
            if is_usable and len(waiting) >= self.window:
                is_usable = await connection.read(waiting.popleft())
            if not is_usable:
                break
        return await _read_rest(connection, waiting, is_usable=is_usable)


class FarCaller(PipeliningCaller):
    """Reads large answers slowly, with others on their way."""

    name = 'far'
    is_far = True
    pause_s = FAR_PAUSE_S
    counts = (2, 6)
    answer_bytes = (200_000, 1_500_000)
    window = 2


class FarKeptCaller(FarCaller):
    """Reads large answers slowly, one at a time."""

    name = 'far-kept'
    window = 1


async def _read_rest(
    connection: SoakConnection,
    waiting: deque[SoakRequest],
    *,
    is_usable: bool,
) -> bool:
    """Read the answers that are due; those behind a cut one have ended."""
    for request in waiting:
        if is_usable:
            is_usable = await connection.read(request)
        else:
            request.end = RequestEnd.BEHIND
            request.ended_at = asyncio.get_running_loop().time()
    return is_usable


#: Kinds of callers by name.
CALLER_TYPES: Final = (
    KeptCaller,
    OldCaller,
    SlowBodyCaller,
    PipeliningCaller,
    FarCaller,
    FarKeptCaller,
)


def create_callers(
    addresses: Sequence[tuple[str, str]], names: Sequence[str], seed: int
) -> list[Caller]:
    """Create a caller of each named kind for each node.

    :param addresses: instances with their call addresses.
    :param names: kinds of callers, all if empty.
    """
    return [
        caller_type(entry, address, seed)
        for entry, address in addresses
        for caller_type in CALLER_TYPES
        if not names or caller_type.name in names
    ]
