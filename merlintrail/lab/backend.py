"""Fake backend server for local deployments.

Run it with ``python -m merlintrail.lab.backend --plan=JSON``.
"""

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson
import uvloop
from absl import app, flags

from merlintrail.protocol import (
    CONTEXT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    LEAVING_HEADER,
    OUTCOME_HEADER,
    RATE_LIMIT_HEADER,
    encode_json,
)
from merlintrail.transport import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    HttpServer,
    create_pool,
    start_server,
)

_PLAN: Final = flags.DEFINE_string(
    'plan', '{}', 'JSON object with the fields of BackendPlan.'
)
#: Seconds between announcements to the node.
ANNOUNCE_INTERVAL_S: Final = 1.0
#: Requests in progress per slot, including those that wait for a slot, beyond
#: which further ones are refused.
MAX_PENDING_PER_SLOT: Final = 2.0
#: Header whose value is appended to the run log, see
#: :attr:`BackendPlan.run_log`.
RUN_LABEL_HEADER: Final = 'x-run-label'
#: Header with the number of bytes that the answer has at least.
ANSWER_BYTES_HEADER: Final = 'x-answer-bytes'
#: Header with the number of short header lines that the answer has besides.
ANSWER_LINES_HEADER: Final = 'x-answer-lines'
#: Header with the milliseconds that the request takes besides.
ANSWER_DELAY_HEADER: Final = 'x-answer-delay-ms'
#: A request whose body contains this text makes the process exit at once.
CRASH_MARKER: Final = b'crash-the-backend-server'
_OK: Final = 200
_MS_PER_S: Final = 1000


class BackendPlan(NamedTuple):
    """Configuration of a fake backend server."""

    service: str
    #: ``host:port`` to listen on.
    address: str
    #: ``host:port`` of the node beside it, for announcements and nested
    #: calls.
    node_address: str
    #: Number of slots, also announced to the node.
    slots: int = 8
    #: Mean service time in milliseconds, nested calls excluded.
    service_ms: float = 10.0
    #: ``/SERVICE/PATH`` of each nested call made for a request, in order.
    children: Sequence[str] = ()
    #: Whether no more requests than slots run at once. Requests beyond
    #: ``MAX_PENDING_PER_SLOT`` are refused in either case.
    enforces_slots: bool = True
    #: Path of the health endpoint.
    health_path: str = '/health'
    #: File to which a line with a :class:`LoggedRun` is appended for each
    #: labelled request that starts to run, so that it survives a crash of the
    #: process; empty for none.
    run_log: str = ''
    #: Whether announcements tell the identity and the start of the run.
    has_identity: bool = False


class LoggedRun(NamedTuple):
    """A request that started to run, as logged."""

    #: Value of the ``RUN_LABEL_HEADER``.
    label: str
    #: Time of the monotonic clock of this machine in seconds.
    at: float
    #: Start of the backend server in milliseconds since the epoch.
    started_at_ms: int
    #: What the backend server stated at that time.
    rate_limit: str | None
    is_leaving: bool


def read_run_log(path: Path) -> list[LoggedRun]:
    """Read the requests that a backend server logged."""
    if not path.exists():
        return []
    return [
        LoggedRun(*orjson.loads(line))
        for line in path.read_bytes().splitlines()
    ]


class Statements(NamedTuple):
    """What the backend server states of itself in its answers."""

    #: Text of the header for the rate limit, ``None`` to state none.
    rate_limit: str | None = None
    is_leaving: bool = False

    def build_headers(self) -> list[tuple[str, str]]:
        """Return the headers that make the statements."""
        headers = []
        if self.rate_limit is not None:
            headers.append((RATE_LIMIT_HEADER, self.rate_limit))
        if self.is_leaving:
            headers.append((LEAVING_HEADER, '1'))
        return headers


class FakeBackendServer:
    """Backend server with slots, random service times and nested calls."""

    def __init__(self, plan: BackendPlan, rng: random.Random) -> None:
        self.plan = plan
        self._rng = rng
        self._pool: ConnectionPool = create_pool()
        self._slots = asyncio.Semaphore(plan.slots)
        #: Requests that run or wait for a slot.
        self._pending = 0
        #: Factor on service times, set through the control endpoint.
        self.slowdown = 1.0
        #: Status with which the health endpoint responds.
        self.health_status = _OK
        #: Readiness that is announced to the node.
        self.is_ready = True
        self.statements = Statements()
        self._started_at_ms = int(time.time() * _MS_PER_S)
        self._sequence = 0
        #: Requests by event: ``shed``, ``begun``, ``finished``, ``failed``,
        #: ``cancelled``.
        self.counts: Counter[str] = Counter()
        #: Number of executions of each idempotency key.
        self.executions: Counter[str] = Counter()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve a request, a health check or a control request."""
        if request.target == self.plan.health_path:
            return HttpResponse(self.health_status, (), b'')
        if request.target.startswith('/-/'):
            return self._handle_control(request)
        if self._pending >= self.plan.slots * MAX_PENDING_PER_SLOT:
            self.counts['shed'] += 1
            context = request.headers.get(CONTEXT_HEADER, '')
            headers = (
                (OUTCOME_HEADER, 'not-run'),
                (CONTEXT_HEADER, context),
            )
            return HttpResponse(503, headers, b'')
        self._pending += 1
        try:
            if not self.plan.enforces_slots:
                return await self._run(request)
            async with self._slots:
                return await self._run(request)
        except asyncio.CancelledError:
            self.counts['cancelled'] += 1
            raise
        finally:
            self._pending -= 1

    async def announce(self) -> None:
        """Announce this backend server to its node periodically."""
        while True:
            await self.announce_once()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce_once(self) -> None:
        """Announce this backend server to its node once."""
        await self._pool.exchange(
            self.plan.node_address,
            'POST',
            '/-/announce',
            (('host', self.plan.node_address),),
            encode_json(self._build_announcement()),
            timeout_s=1.0,
        )

    def _build_announcement(self) -> Mapping[str, Any]:
        self._sequence += 1
        run = {
            'identity': f'{self.plan.service} {self.plan.address}',
            'started_at_ms': self._started_at_ms,
            'sequence': self._sequence,
        }
        return {
            'service': self.plan.service,
            'address': self.plan.address,
            'slots': self.plan.slots,
            'is_ready': self.is_ready,
            'ttl_s': ANNOUNCE_INTERVAL_S * 4,
            'health_path': self.plan.health_path,
            **(run if self.plan.has_identity else {}),
        }

    async def _run(self, request: HttpRequest) -> HttpResponse:
        self.counts['begun'] += 1
        self._log_run(request)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None:
            self.executions[key] += 1
        if CRASH_MARKER in request.body:
            os._exit(1)
        mean_s = self.plan.service_ms / _MS_PER_S * self.slowdown
        delay_ms = int(request.headers.get(ANSWER_DELAY_HEADER, '0'))
        await asyncio.sleep(
            mean_s * self._rng.uniform(0.5, 1.5) + delay_ms / _MS_PER_S
        )
        for nested_target in self.plan.children:
            answer = await self._send_nested_call(request, nested_target)
            if answer is None or answer.status != _OK:
                self.counts['failed'] += 1
                return HttpResponse(502, (), b'{"error":"call below failed"}')
        self.counts['finished'] += 1
        body = {
            'service': self.plan.service,
            'target': request.target,
            'echo': request.body.decode('latin-1'),
        }
        size = int(request.headers.get(ANSWER_BYTES_HEADER, '0'))
        lines = int(request.headers.get(ANSWER_LINES_HEADER, '0'))
        headers = [
            ('content-type', 'application/json'),
            *self.statements.build_headers(),
            *((f'{number:x}'[-1:], '') for number in range(lines)),
        ]
        return HttpResponse(_OK, headers, encode_json(body).ljust(size))

    def _log_run(self, request: HttpRequest) -> None:
        label = request.headers.get(RUN_LABEL_HEADER)
        if label is None or not self.plan.run_log:
            return
        run = LoggedRun(
            label,
            time.monotonic(),
            self._started_at_ms,
            self.statements.rate_limit,
            self.statements.is_leaving,
        )
        with Path(self.plan.run_log).open('ab') as log:
            log.writelines((encode_json(run), b'\n'))

    async def _send_nested_call(
        self, request: HttpRequest, target: str
    ) -> HttpResponse | None:
        headers = [('host', self.plan.node_address)]
        context = request.headers.get(CONTEXT_HEADER)
        if context is not None:
            headers.append((CONTEXT_HEADER, context))
        answer = await self._pool.exchange(
            self.plan.node_address, 'POST', target, headers, request.body
        )
        return answer if isinstance(answer, HttpResponse) else None

    def _handle_control(self, request: HttpRequest) -> HttpResponse:
        if request.method == 'POST':
            change: Mapping[str, Any] = orjson.loads(request.body)
            self.slowdown = change.get('slowdown', self.slowdown)
            self.is_ready = change.get('is_ready', self.is_ready)
            self.statements = Statements(
                change.get('rate_limit', self.statements.rate_limit),
                change.get('is_leaving', self.statements.is_leaving),
            )
            self.health_status = change.get('health_status', self.health_status)
        body = {
            'counts': dict(self.counts),
            'executions': dict(self.executions),
        }
        return HttpResponse(_OK, (), encode_json(body))


async def start_backend(backend: FakeBackendServer) -> HttpServer:
    """Start listening; announcements are left to :meth:`announce`."""
    host, _, port = backend.plan.address.rpartition(':')
    server = await start_server(backend.handle, host, int(port))
    return server


async def _serve_forever(plan: BackendPlan) -> None:
    backend = FakeBackendServer(plan, random.Random(plan.address))
    await start_backend(backend)
    await backend.announce()


def _run(_: Sequence[str]) -> None:
    plan = BackendPlan(**orjson.loads(_PLAN.value))
    uvloop.run(_serve_forever(plan))


if __name__ == '__main__':
    app.run(_run)
