"""A load tool: open-loop arrivals of several request kinds."""

import asyncio
import random
import time
import uuid
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple

from merlintrail.protocol import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from merlintrail.transport import (
    ConnectionPool,
    HttpResponse,
    TransportFailure,
    create_pool,
)

#: Seconds beyond its deadline that a client waits.
CLIENT_PATIENCE_S: Final = 0.5
_OK: Final = 200
_MS_PER_S: Final = 1000


class LoadKind(NamedTuple):
    """Requests of one kind."""

    name: str
    #: ``/SERVICE/PATH``.
    target: str
    #: Requests a second.
    rate: float
    deadline_ms: float
    method: str = 'POST'
    body_bytes: int = 512
    #: Whether each request carries an idempotency key.
    is_keyed: bool = False
    #: Times that a client sends a failed request again at once.
    client_retries: int = 0
    #: Whether a whole answer holds the request's body.
    is_echoed: bool = True


class Sample(NamedTuple):
    """One finished request."""

    kind: str
    #: Seconds since the start of the load at which it was sent.
    sent_at: float
    latency_s: float
    is_success: bool
    #: Outcome or failure that the client saw.
    outcome: str
    reason: str
    #: Times that the client sent it.
    sends: int = 1


class LoadResult(NamedTuple):
    """Everything that a load run saw."""

    samples: Sequence[Sample]

    def select(self, kind: str) -> 'LoadResult':
        """Return the samples of one kind."""
        return LoadResult(
            [sample for sample in self.samples if sample.kind == kind]
        )

    def between(self, start_s: float, end_s: float) -> 'LoadResult':
        """Return the samples sent within a time."""
        return LoadResult(
            [
                sample
                for sample in self.samples
                if start_s <= sample.sent_at < end_s
            ]
        )

    @property
    def success_count(self) -> int:
        """Requests with a whole answer."""
        return sum(1 for sample in self.samples if sample.is_success)

    def count_reasons(self) -> Counter[str]:
        """Count what was not answered, by reason."""
        return Counter(
            sample.reason or sample.outcome
            for sample in self.samples
            if not sample.is_success
        )

    def summarise(self) -> dict[str, object]:
        """Build a summary that can be printed as JSON."""
        return {
            'requests': len(self.samples),
            'whole_answers': self.success_count,
            'refusals': dict(self.count_reasons()),
            'p50_ms': round(self.compute_quantile_ms(0.5), 2),
            'p99_ms': round(self.compute_quantile_ms(0.99), 2),
        }

    def compute_quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the latency of whole answers."""
        latencies = sorted(
            sample.latency_s for sample in self.samples if sample.is_success
        )
        if not latencies:
            return 0.0
        place = min(len(latencies) - 1, int(len(latencies) * quantile))
        return latencies[place] * _MS_PER_S


class LoadGenerator:
    """Sends requests at Poisson times, to entry points in turn."""

    def __init__(
        self,
        entries: Sequence[str],
        source: random.Random,
        pool: ConnectionPool | None = None,
    ) -> None:
        self._entries = entries
        self._source = source
        self._pool = pool or create_pool()
        self._samples: list[Sample] = []
        self._started_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent = 0

    async def run(
        self, kinds: Sequence[LoadKind], duration_s: float
    ) -> LoadResult:
        """Send all kinds for a time and wait for the answers."""
        self._started_at = time.monotonic()
        await asyncio.gather(
            *(self._send_kind(kind, duration_s) for kind in kinds)
        )
        if self._tasks:
            await asyncio.wait(self._tasks)
        return LoadResult(tuple(self._samples))

    async def _send_kind(self, kind: LoadKind, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        due = self._started_at
        while kind.rate > 0:
            due += self._source.expovariate(kind.rate)
            if due > self._started_at + duration_s:
                return
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._sent += 1
            task = loop.create_task(self._send(kind, self._sent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, kind: LoadKind, number: int) -> None:
        sent_at = time.monotonic()
        body = f'{kind.name} {number} '.encode().ljust(kind.body_bytes, b'.')
        headers = [
            ('host', 'merlintrail'),
            (DEADLINE_HEADER, str(kind.deadline_ms)),
        ]
        if kind.is_keyed:
            headers.append((IDEMPOTENCY_KEY_HEADER, self._create_key()))
        sends = 0
        answer: HttpResponse | TransportFailure
        while True:
            sends += 1
            entry = self._entries[(number + sends) % len(self._entries)]
            answer = await self._pool.exchange(
                entry,
                kind.method,
                kind.target,
                headers,
                body,
                timeout_s=kind.deadline_ms / _MS_PER_S + CLIENT_PATIENCE_S,
            )
            is_success = _is_whole(answer, body, is_echoed=kind.is_echoed)
            if is_success or sends > kind.client_retries:
                break
        outcome, reason = _describe(answer)
        self._samples.append(
            Sample(
                kind.name,
                sent_at - self._started_at,
                time.monotonic() - sent_at,
                is_success,
                outcome,
                reason,
                sends,
            )
        )

    def _create_key(self) -> str:
        return str(uuid.UUID(int=self._source.getrandbits(128), version=4))


def _is_whole(
    answer: HttpResponse | TransportFailure, body: bytes, *, is_echoed: bool
) -> bool:
    """Tell whether an answer is whole and belongs to the request."""
    if isinstance(answer, TransportFailure) or answer.status != _OK:
        return False
    return not is_echoed or body in answer.body


def _describe(answer: HttpResponse | TransportFailure) -> tuple[str, str]:
    if isinstance(answer, TransportFailure):
        return 'no-answer', answer.reason
    outcome = answer.find_header(OUTCOME_HEADER) or f'status {answer.status}'
    reason = answer.find_header(REASON_HEADER) or ''
    if not reason and answer.status != _OK:
        reason = f'status {answer.status}'
    return outcome, reason
