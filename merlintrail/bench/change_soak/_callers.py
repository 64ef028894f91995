"""Callers of a soak of route changes, on connections of every kind."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from merlintrail.bench.change_soak._changes import ROUTE_HOST, ROUTE_PREFIXES
from merlintrail.lab.backend import RUN_LABEL_HEADER
from merlintrail.protocol import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER
from merlintrail.transport import HttpResponse, create_pool

#: Mean request rate to one node.
REQUESTS_PER_NODE_S: Final = 8.0
DEADLINE_MS: Final = 3000
#: Seconds that a caller waits for an answer.
TIMEOUT_S: Final = 4.0
#: Pause in seconds within a body that arrives slowly.
BODY_PAUSE_S: Final = 0.4
#: Requests that are sent at once on one connection.
PIPELINED: Final = 3
#: How requests are sent: on kept connections, on new ones, with a body that
#: arrives slowly, several at once.
MANNERS: Final = ('kept', 'new', 'slow', 'pipelined')
_MAX_HEAD_BYTES: Final = 65536


class RouteRecord(NamedTuple):
    """A request and the status of its answer."""

    label: str
    prefix: str
    #: Instance of the node to which it was sent.
    entry: str
    #: Event loop time at which its first byte was sent.
    sent_at: float
    #: 0 without an answer.
    status: int


class RouteCallers:
    """Sends requests on all routes to all nodes."""

    def __init__(self, addresses: Mapping[str, str], seed: int) -> None:
        """Initialize the callers.

        :param addresses: call address of each node by its instance.
        """
        self._addresses = addresses
        self._rng = random.Random(f'callers {seed}')
        self._pool = create_pool()
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0
        self.records: list[RouteRecord] = []

    async def run(self) -> None:
        """Send requests at random intervals until cancelled."""
        rate = REQUESTS_PER_NODE_S * len(self._addresses)
        instances = sorted(self._addresses)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            task = asyncio.create_task(
                self._call(
                    self._rng.choice(instances),
                    self._rng.choice(tuple(ROUTE_PREFIXES)),
                    self._rng.choice(MANNERS),
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all outstanding requests, then close the connections."""
        await asyncio.gather(*self._tasks)
        self._pool.close()

    async def _call(self, entry: str, prefix: str, manner: str) -> None:
        count = 1
        if manner == 'pipelined' and ROUTE_PREFIXES[prefix]:
            count = PIPELINED
        labels = [self._create_label(prefix) for _ in range(count)]
        sent_at = asyncio.get_running_loop().time()
        if manner == 'kept':
            statuses = [await self._send_kept(entry, prefix, labels[0])]
        else:
            pause_s = BODY_PAUSE_S if manner == 'slow' else 0
            statuses = await self._send_new(entry, prefix, labels, pause_s)
        self.records.extend(
            RouteRecord(label, prefix, entry, sent_at, status)
            for label, status in zip(labels, statuses, strict=True)
        )

    def _create_label(self, prefix: str) -> str:
        self._count += 1
        return f'{prefix.strip("/")}-{self._count}'

    def _build_headers(self, prefix: str, label: str) -> list[tuple[str, str]]:
        headers = [
            ('host', ROUTE_HOST),
            (RUN_LABEL_HEADER, label),
            (DEADLINE_HEADER, str(DEADLINE_MS)),
        ]
        if not ROUTE_PREFIXES[prefix] and self._rng.random() < 1 / 3:
            headers.append((IDEMPOTENCY_KEY_HEADER, label))
        return headers

    async def _send_kept(self, entry: str, prefix: str, label: str) -> int:
        answer = await self._pool.exchange(
            self._addresses[entry],
            'POST',
            f'{prefix}{label}',
            self._build_headers(prefix, label),
            label.encode(),
            timeout_s=TIMEOUT_S,
        )
        return answer.status if isinstance(answer, HttpResponse) else 0

    async def _send_new(
        self, entry: str, prefix: str, labels: Sequence[str], pause_s: float
    ) -> list[int]:
        """Send requests at once on a new connection.

        :returns: the statuses of the answers, 0 for each without one.
        """
        statuses: list[int] = []
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._exchange(entry, prefix, labels, pause_s, statuses)
        except (OSError, TimeoutError, EOFError):
            missing = len(labels) - len(statuses)
            statuses.extend(0 for _ in range(missing))
        return statuses

    async def _exchange(
        self,
        entry: str,
        prefix: str,
        labels: Sequence[str],
        pause_s: float,
        statuses: list[int],
    ) -> None:
        """Send requests on a new connection and append their statuses."""
        host, _, port = self._addresses[entry].rpartition(':')
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=_MAX_HEAD_BYTES
        )
        try:
            await self._write(writer, prefix, labels, pause_s)
            while len(statuses) < len(labels):
                statuses.append(await _read_status(reader))
        finally:
            writer.close()

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        prefix: str,
        labels: Sequence[str],
        pause_s: float,
    ) -> None:
        for label in labels:
            lines = [f'POST {prefix}{label} HTTP/1.1']
            lines += [
                f'{name}: {text}'
                for name, text in self._build_headers(prefix, label)
            ]
            lines += [f'content-length: {len(label)}', '', '']
            writer.write('\r\n'.join(lines).encode())
            writer.write(label[:1].encode())
            await asyncio.sleep(pause_s)
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(label[1:].encode())


async def _read_status(reader: asyncio.StreamReader) -> int:
    """Read one answer and return its status."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
    length = head.partition('content-length:')[2].partition('\r\n')[0]
    await reader.readexactly(int(length or '0'))
    return int(head.split(' ')[1])
