"""Open-loop load generator for several kinds of requests."""

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

#: Seconds that a client waits for an answer beyond the deadline.
CLIENT_TIMEOUT_MARGIN_S: Final = 0.5
_OK: Final = 200
_MS_PER_S: Final = 1000


class LoadKind(NamedTuple):
    """A kind of request and the rate at which it is sent."""

    name: str
    #: Request target, ``/SERVICE/PATH``.
    target: str
    #: Mean number of requests per second.
    rate: float
    deadline_ms: float
    method: str = 'POST'
    body_bytes: int = 512
    #: Whether each request carries an idempotency key.
    is_keyed: bool = False
    #: Maximum number of immediate retries of a failed request.
    client_retries: int = 0
    #: Whether a successful answer must contain the body of the request.
    expects_echo: bool = True


class Sample(NamedTuple):
    """The measurements of one finished request, over all its attempts."""

    kind: str
    #: Seconds from the start of the load to the first attempt.
    sent_at: float
    latency_s: float
    is_success: bool
    #: Outcome header of the last answer, else ``status N`` or ``no-answer``.
    outcome: str
    #: Reason header of the last answer, else the status or transport failure;
    #: may be empty for an answer with status 200.
    reason: str
    #: Number of times that the client sent the request.
    attempts: int = 1


class LoadResult(NamedTuple):
    """The samples of a load run."""

    samples: Sequence[Sample]

    def select(self, kind: str) -> 'LoadResult':
        """Return the samples of one kind."""
        return LoadResult(
            [sample for sample in self.samples if sample.kind == kind]
        )

    def between(self, start_s: float, end_s: float) -> 'LoadResult':
        """Return the samples sent from ``start_s`` until before ``end_s``."""
        return LoadResult(
            [
                sample
                for sample in self.samples
                if start_s <= sample.sent_at < end_s
            ]
        )

    @property
    def success_count(self) -> int:
        """Number of requests that were answered successfully."""
        return sum(1 for sample in self.samples if sample.is_success)

    def count_reasons(self) -> Counter[str]:
        """Count failed requests by reason, or by outcome without a reason."""
        return Counter(
            sample.reason or sample.outcome
            for sample in self.samples
            if not sample.is_success
        )

    def summarise(self) -> dict[str, object]:
        """Return a summary that can be serialised as JSON."""
        return {
            'requests': len(self.samples),
            'whole_answers': self.success_count,
            'refusals': dict(self.count_reasons()),
            'p50_ms': round(self.compute_quantile_ms(0.5), 2),
            'p99_ms': round(self.compute_quantile_ms(0.99), 2),
        }

    def compute_quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile of successful requests, 0 without any."""
        latencies = sorted(
            sample.latency_s for sample in self.samples if sample.is_success
        )
        if not latencies:
            return 0.0
        rank = min(len(latencies) - 1, int(len(latencies) * quantile))
        return latencies[rank] * _MS_PER_S


class LoadGenerator:
    """Sends requests as a Poisson process, whether or not answers arrive.

    Requests go to the addresses round-robin, each retry to the next one.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        rng: random.Random,
        pool: ConnectionPool | None = None,
    ) -> None:
        self._addresses = addresses
        self._rng = rng
        self._pool = pool or create_pool()
        self._samples: list[Sample] = []
        self._started_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent = 0

    async def run(
        self, kinds: Sequence[LoadKind], duration_s: float
    ) -> LoadResult:
        """Send requests of all kinds for a time and wait for the answers."""
        self._started_at = time.monotonic()
        await asyncio.gather(
            *(self._send_kind(kind, duration_s) for kind in kinds)
        )
        if self._tasks:
            await asyncio.wait(self._tasks)
        return LoadResult(tuple(self._samples))

    async def _send_kind(self, kind: LoadKind, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = self._started_at
        while kind.rate > 0:
            due_at += self._rng.expovariate(kind.rate)
            if due_at > self._started_at + duration_s:
                return
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
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
        attempts = 0
        answer: HttpResponse | TransportFailure
        while True:
            attempts += 1
            entry = self._addresses[(number + attempts) % len(self._addresses)]
            answer = await self._pool.exchange(
                entry,
                kind.method,
                kind.target,
                headers,
                body,
                timeout_s=kind.deadline_ms / _MS_PER_S
                + CLIENT_TIMEOUT_MARGIN_S,
            )
            is_success = _is_success(
                answer, body, expects_echo=kind.expects_echo
            )
            if is_success or attempts > kind.client_retries:
                break
        outcome, reason = _read_outcome(answer)
        self._samples.append(
            Sample(
                kind.name,
                sent_at - self._started_at,
                time.monotonic() - sent_at,
                is_success,
                outcome,
                reason,
                attempts,
            )
        )

    def _create_key(self) -> str:
        return str(uuid.UUID(int=self._rng.getrandbits(128), version=4))


def _is_success(
    answer: HttpResponse | TransportFailure, body: bytes, *, expects_echo: bool
) -> bool:
    """Return whether an answer has status 200 and the expected body."""
    if isinstance(answer, TransportFailure) or answer.status != _OK:
        return False
    return not expects_echo or body in answer.body


def _read_outcome(answer: HttpResponse | TransportFailure) -> tuple[str, str]:
    if isinstance(answer, TransportFailure):
        return 'no-answer', answer.reason
    outcome = answer.find_header(OUTCOME_HEADER) or f'status {answer.status}'
    reason = answer.find_header(REASON_HEADER) or ''
    if not reason and answer.status != _OK:
        reason = f'status {answer.status}'
    return outcome, reason
