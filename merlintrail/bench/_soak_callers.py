"""Callers of a fault soak, and what they saw of each request."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

import orjson

from merlintrail.lab.backend import RUN_LABEL_HEADER
from merlintrail.protocol import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
)
from merlintrail.transport import HttpResponse, create_pool

#: Requests a second of all callers together.
RATE: Final = 60.0
#: Milliseconds that a caller gives its request.
DEADLINE_MS: Final = 2000
#: Seconds beyond the deadline within which the answer must be there.
PATIENCE_S: Final = 1.5
#: Times that a caller sends a keyed request in all.
KEYED_SENDS: Final = 3
#: Seconds between these.
RESEND_S: Final = 0.3
_OK: Final = 200
_MS_PER_S: Final = 1000


class SoakKind(NamedTuple):
    """How requests of one kind may be repeated."""

    name: str
    target: str
    #: Whether each request carries an idempotency key.
    is_keyed: bool = False
    #: Whether it may run more than once.
    is_idempotent: bool = False


SOAK_KINDS: Final = (
    SoakKind('idempotent', '/echo/call', is_idempotent=True),
    SoakKind('non-idempotent', '/echo/once'),
    SoakKind('keyed', '/echo/once', is_keyed=True),
)


class SoakRecord(NamedTuple):
    """What the caller saw of one request."""

    #: Unique; a number behind it makes the name of a sending.
    label: str
    kind: SoakKind
    #: Place of the entry that it was sent to.
    entry: int
    #: Seconds since the start of the soak.
    sent_at: float = 0.0
    #: Status of the last answer, 0 without one in time.
    status: int = 0
    #: Outcome that the last answer states.
    outcome: str = ''
    #: Whether the body of a success is the one that belongs to it.
    is_own: bool = False
    #: Times that the caller sent it.
    sends: int = 1


def name_sending(label: str, send: int) -> str:
    """Name one sending of a request, as it is logged where it runs."""
    return f'{label}.{send}'


class SoakCallers:
    """Sends requests to every entry over connections that are kept."""

    def __init__(self, entries: Sequence[str], seed: int) -> None:
        self._entries = entries
        self._source = random.Random(seed)
        self._pool = create_pool()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent = 0
        self.records: list[SoakRecord] = []

    async def run(self) -> None:
        """Send at random times until cancelled."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while True:
            await asyncio.sleep(self._source.expovariate(RATE))
            self._sent += 1
            kind = self._source.choice(SOAK_KINDS)
            entry = self._source.randrange(len(self._entries))
            sent_at = loop.time() - started_at
            task = loop.create_task(self._send(kind, entry, sent_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        await asyncio.gather(*self._tasks)
        self._pool.close()

    async def _send(self, kind: SoakKind, entry: int, sent_at: float) -> None:
        label = f'{kind.name}-{self._sent}'
        sends = 0
        while True:
            sends += 1
            record = await self._send_once(kind, entry, label, sends)
            record = record._replace(sent_at=sent_at, sends=sends)
            is_final = record.status == _OK or not kind.is_keyed
            if is_final or sends == KEYED_SENDS:
                break
            await asyncio.sleep(RESEND_S)
        self.records.append(record)

    async def _send_once(
        self, kind: SoakKind, entry: int, label: str, send: int
    ) -> SoakRecord:
        address = self._entries[entry]
        headers = [
            ('host', address),
            (RUN_LABEL_HEADER, name_sending(label, send)),
            (DEADLINE_HEADER, str(DEADLINE_MS)),
        ]
        if kind.is_keyed:
            headers.append((IDEMPOTENCY_KEY_HEADER, label))
        answer = await self._pool.exchange(
            address,
            'POST',
            kind.target,
            headers,
            label.encode(),
            timeout_s=DEADLINE_MS / _MS_PER_S + PATIENCE_S,
        )
        record = SoakRecord(label, kind, entry)
        if not isinstance(answer, HttpResponse):
            return record
        return record._replace(
            status=answer.status,
            outcome=answer.find_header(OUTCOME_HEADER) or '',
            is_own=answer.status == _OK and _is_echo(answer, label),
        )


def _is_echo(answer: HttpResponse, label: str) -> bool:
    try:
        document = orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        return False
    return isinstance(document, dict) and document.get('echo') == label
