"""Callers of the fault soak, which record the answer to each request."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

import orjson

from merlintrail.lab.backend import CRASH_MARKER, RUN_LABEL_HEADER
from merlintrail.protocol import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from merlintrail.transport import HttpResponse, create_pool

#: Mean request rate of all callers together.
REQUESTS_PER_S: Final = 60.0
#: Mean seconds between two arrivals of the crashing request.
MEAN_CRASHING_INTERVAL_S: Final = 0.7
#: Deadline of each attempt in milliseconds.
DEADLINE_MS: Final = 2000
#: Seconds that a caller waits for the answer beyond the deadline.
TIMEOUT_MARGIN_S: Final = 1.5
#: Maximum number of attempts for a keyed request, the first included.
MAX_KEYED_ATTEMPTS: Final = 3
#: Seconds between a failed attempt and the next one.
RETRY_DELAY_S: Final = 0.3
_OK: Final = 200
_MS_PER_S: Final = 1000


class SoakRequestKind(NamedTuple):
    """A request kind and whether its requests may be repeated."""

    name: str
    target: str
    #: Whether each request carries an idempotency key; callers retry these.
    is_keyed: bool = False
    #: Whether a backend server may run a request more than once.
    is_idempotent: bool = False
    #: Whether it crashes each backend server that begins to run it. All
    #: requests of such a kind are equal.
    is_crashing: bool = False


SOAK_REQUEST_KINDS: Final = (
    SoakRequestKind('idempotent', '/echo/call', is_idempotent=True),
    SoakRequestKind('non-idempotent', '/echo/once'),
    SoakRequestKind('keyed', '/echo/once', is_keyed=True),
)
CRASHING_KIND: Final = SoakRequestKind(
    'crashing', '/echo/call', is_idempotent=True, is_crashing=True
)


class RequestRecord(NamedTuple):
    """A request and its last answer, as the caller received it."""

    #: Unique label; see :func:`build_run_label`.
    label: str
    kind: SoakRequestKind
    #: Index of the entry node to which the request was sent.
    entry_index: int
    #: Seconds from the start of the load to the first attempt.
    sent_at: float = 0.0
    #: Status of the last answer; 0 if the last attempt received none.
    status: int = 0
    #: Outcome header of the last answer; empty if it has none.
    outcome: str = ''
    #: Reason header of the last answer; empty if it has none.
    reason: str = ''
    #: Whether the last answer is a success that echoes this request's body.
    has_matching_body: bool = False
    #: Number of times that the caller sent the request.
    attempts: int = 1


def build_run_label(label: str, attempt: int) -> str:
    """Return the label that a backend server logs for one attempt."""
    return f'{label}.{attempt}'


class SoakCallers:
    """Sends requests to the entry nodes over pooled connections."""

    def __init__(self, entry_addresses: Sequence[str], seed: int) -> None:
        self._entry_addresses = entry_addresses
        self._rng = random.Random(seed)
        self._pool = create_pool()
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        #: Event loop time of the first request.
        self._started_at: float | None = None
        self.records: list[RequestRecord] = []

    @property
    def started_at(self) -> float:
        """Monotonic time of the first request in seconds, 0 before it."""
        return self._started_at or 0.0

    async def run(self) -> None:
        """Send requests at random intervals until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_S))
            self._start(self._rng.choice(SOAK_REQUEST_KINDS))

    async def run_crashing(self) -> None:
        """Send the crashing request again and again until cancelled."""
        while True:
            await asyncio.sleep(
                self._rng.expovariate(1 / MEAN_CRASHING_INTERVAL_S)
            )
            self._start(CRASHING_KIND)

    async def finish(self) -> None:
        """Wait for all outstanding requests, then close the connections."""
        await asyncio.gather(*self._tasks)
        self._pool.close()

    def _start(self, kind: SoakRequestKind) -> None:
        """Send one request to a random entry node."""
        loop = asyncio.get_running_loop()
        if self._started_at is None:
            self._started_at = loop.time()
        self._request_count += 1
        entry_index = self._rng.randrange(len(self._entry_addresses))
        sent_at = loop.time() - self._started_at
        task = loop.create_task(self._send(kind, entry_index, sent_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, kind: SoakRequestKind, entry_index: int, sent_at: float
    ) -> None:
        label = f'{kind.name}-{self._request_count}'
        attempts = 0
        while True:
            attempts += 1
            record = await self._send_once(kind, entry_index, label, attempts)
            record = record._replace(sent_at=sent_at, attempts=attempts)
            is_final = record.status == _OK or not kind.is_keyed
            if is_final or attempts == MAX_KEYED_ATTEMPTS:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.records.append(record)

    async def _send_once(
        self, kind: SoakRequestKind, entry_index: int, label: str, attempt: int
    ) -> RequestRecord:
        address = self._entry_addresses[entry_index]
        headers = [
            ('host', address),
            (RUN_LABEL_HEADER, build_run_label(label, attempt)),
            (DEADLINE_HEADER, str(DEADLINE_MS)),
        ]
        if kind.is_keyed:
            headers.append((IDEMPOTENCY_KEY_HEADER, label))
        answer = await self._pool.exchange(
            address,
            'POST',
            kind.target,
            headers,
            CRASH_MARKER if kind.is_crashing else label.encode(),
            timeout_s=DEADLINE_MS / _MS_PER_S + TIMEOUT_MARGIN_S,
        )
        record = RequestRecord(label, kind, entry_index)
        if not isinstance(answer, HttpResponse):
            return record
        return record._replace(
            status=answer.status,
            outcome=answer.find_header(OUTCOME_HEADER) or '',
            reason=answer.find_header(REASON_HEADER) or '',
            has_matching_body=answer.status == _OK
            and _echoes_label(answer, label),
        )


def _echoes_label(answer: HttpResponse, label: str) -> bool:
    try:
        document = orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        return False
    return isinstance(document, dict) and document.get('echo') == label
