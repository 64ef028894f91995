"""Load of requests that crash backend servers, on whole nodes.

The nodes run in virtual time with their own gossip, relays and store. Some
requests crash each backend server that begins to run them; backend servers
may also crash for other reasons. Callers use every node in turn.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeAlias

from merlintrail.coordination import CONFIGURATION_KEY
from merlintrail.node.backend._backend import Announcement
from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import (
    EPOCH_S,
    Session,
    build_document,
    build_kind,
)
from merlintrail.protocol import REASON_HEADER, Reason
from merlintrail.state import Envelope
from merlintrail.transport import HttpRequest, HttpResponse

#: Seconds after the third crash from which deliveries of the crashing request
#: count as late.
NOTICE_S: Final = 3.0
#: Crashes after which a request has to be stopped.
MAX_CRASHES: Final = 3
#: Late deliveries that are allowed for one request.
MAX_LATE_DELIVERIES: Final = 3
_SERVICE: Final = 'svc'
_START_S: Final = 3.0
_MS_PER_S: Final = 1000
_OK: Final = 200


class CrashLoad(NamedTuple):
    """Requests, backend servers and crashes of one run."""

    seed: int = 1
    servers: int = 8
    #: Requests that crash each backend server that runs them.
    crashing: int = 1
    #: Mean seconds between two arrivals of one crashing request.
    crashing_interval_s: float = 1.0
    #: Mean seconds between two harmless requests.
    harmless_interval_s: float = 0.0125
    #: Distinct harmless requests, 0 if each comes once only.
    harmless_bodies: int = 0
    #: Mean seconds between crashes that no request causes, 0 for none.
    other_crash_interval_s: float = 0.0
    #: Seconds until a crashed backend server is back.
    restart_s: float = 2.0
    service_s: float = 0.1
    #: Share of requests that backend servers fail with 500 instead of running
    #: them.
    failing_share: float = 0.0
    #: Whether crashed backend servers go silent instead of closing their
    #: connections.
    is_silent: bool = False
    duration_s: float = 20.0


class CrashFigures(NamedTuple):
    """What callers and backend servers saw of one run."""

    #: Crashes by crashing request.
    crashes: Mapping[str, int]
    #: Deliveries of each crashing request later than :data:`NOTICE_S` after
    #: its third crash.
    late_deliveries: Mapping[str, int]
    harmless_sent: int
    harmless_served: int
    #: Harmless requests that were refused as quarantined.
    harmless_quarantined: int

    @property
    def max_late_deliveries(self) -> int:
        """Late deliveries of the request that has most."""
        return max(self.late_deliveries.values(), default=0)


class _Server:
    """A backend server that crashes and comes back as a new run."""

    def __init__(self, run: 'CrashRun', name: str) -> None:
        self._run = run
        self.name = name
        self.address = f'{name}:{_SERVICE}'
        self._crashed = asyncio.Event()
        self.is_up = True
        self._sequence = 0
        self._started_at_ms = 0
        run.session.network.handlers[self.address] = self.handle
        self.start()

    def start(self) -> None:
        """Start a new run and announce it."""
        self.is_up = True
        self._crashed = asyncio.Event()
        self._started_at_ms = self._run.read_time_ms()
        self._run.session.network.refusing.discard(self.address)
        self.announce()

    def announce(self) -> None:
        """Announce the current run to the node beside it."""
        node = self._run.session.nodes.get(self.name)
        if node is None or not self.is_up:
            return
        self._sequence += 1
        node.gateway.registry.announce(
            Announcement(
                _SERVICE,
                self.address,
                8,
                identity=f'{self.name}-{self._started_at_ms}',
                started_at_ms=self._started_at_ms,
                sequence=self._sequence,
            )
        )

    def crash(self) -> None:
        """End the run with everything that runs in it."""
        if not self.is_up:
            return
        self.is_up = False
        if not self._run.load.is_silent:
            self._run.session.network.refusing.add(self.address)
        self._crashed.set()
        asyncio.get_running_loop().call_later(
            self._run.load.restart_s, self.start
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run a request, unless the backend server crashes meanwhile."""
        body = request.body.decode()
        if not self.is_up:
            await self._end_connection()
        if self._run.rng.random() < self._run.load.failing_share:
            return HttpResponse(500, (), b'')
        if body.startswith('crash'):
            self._run.record_crash(body)
            self.crash()
            await self._end_connection()
        if await _wait(self._crashed, self._run.load.service_s):
            await self._end_connection()
        return HttpResponse(_OK, (), request.body)

    async def _end_connection(self) -> None:
        if self._run.load.is_silent:
            await asyncio.Event().wait()
        raise ConnectionAbortedError


async def _wait(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event; return whether it came in time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


#: Injects faults into a run while its load is sent.
Disturbance: TypeAlias = Callable[['CrashRun'], Awaitable[None]]


class CrashRun:
    """One run of a load; a test may disturb nodes, links and store in it."""

    def __init__(self, load: CrashLoad) -> None:
        document = build_document(
            {_SERVICE: [build_kind('read', deadline_ms=1000)]}
        )
        names = [f'n{number}' for number in range(load.servers)]
        self.load = load
        self.rng = random.Random(load.seed)
        self.session = Session(document, names)
        envelope = Envelope(1, 'change-1', 'op', 0.0, document)
        self.session.store.swap(CONFIGURATION_KEY, envelope._asdict(), 0)
        self._tasks: dict[str, list[asyncio.Task[Any]]] = {}
        self._crash_times: dict[str, list[float]] = {}
        self._counts: Counter[str] = Counter()
        self._sending: set[asyncio.Task[None]] = set()
        self.servers = {name: _Server(self, name) for name in names}
        for name in names:
            self._run_node(name)

    def read_time_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        loop = asyncio.get_running_loop()
        return int((EPOCH_S + loop.time()) * _MS_PER_S)

    def record_crash(self, body: str) -> None:
        """Record that a backend server began to run a crashing request."""
        now = asyncio.get_running_loop().time()
        self._crash_times.setdefault(body, []).append(now)

    def kill_node(self, name: str) -> None:
        """Kill a node; its backend server continues."""
        for task in self._tasks.pop(name):
            task.cancel()
        self.session.nodes.pop(name)
        self.session.network.handlers.pop(f'{name}:2')

    def start_node(self, name: str) -> None:
        """Start a node with no memory of an earlier process."""
        self.session.add_node(name)
        self._run_node(name)

    async def run(self, disturb: Disturbance | None = None) -> CrashFigures:
        """Send the load and return its figures.

        :param disturb: injects faults while the load is sent.
        """
        work = [
            self._send_repeatedly(f'crash {number}', 'crashing')
            for number in range(self.load.crashing)
        ]
        work.append(self._send_harmless())
        work.append(self._crash_servers())
        work.append(self._announce_servers())
        await asyncio.sleep(_START_S)
        tasks = [asyncio.ensure_future(item) for item in work]
        if disturb is not None:
            tasks.append(asyncio.ensure_future(disturb(self)))
        await asyncio.sleep(self.load.duration_s)
        for task in (*tasks, *self._sending):
            task.cancel()
        await asyncio.gather(*tasks, *self._sending, return_exceptions=True)
        for name in tuple(self._tasks):
            self.kill_node(name)
        return self._build_figures()

    def _run_node(self, name: str) -> None:
        node = self.session.nodes[name]
        self._tasks[name] = [
            asyncio.create_task(work)
            for work in (
                node.join(),
                node.heartbeats.run(),
                node.run_relay(),
                node.run_archive(),
            )
        ]
        self._tasks[name].append(asyncio.create_task(self._update(name)))

    async def _update(self, name: str) -> None:
        """Tell the other nodes what the backend server accepts."""
        node = self.session.nodes[name]
        while True:
            node._update_offers()  # noqa: SLF001
            await asyncio.sleep(0.25)

    async def _announce_servers(self) -> None:
        while True:
            for server in self.servers.values():
                server.announce()
            await asyncio.sleep(0.5)

    async def _send_harmless(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(
                self.rng.expovariate(1 / self.load.harmless_interval_s)
            )
            number += 1
            body = number % (self.load.harmless_bodies or number + 1)
            self._start_request(f'harmless {body}', 'harmless')

    async def _send_repeatedly(self, body: str, label: str) -> None:
        while True:
            await asyncio.sleep(
                self.rng.expovariate(1 / self.load.crashing_interval_s)
            )
            self._start_request(body, label)

    def _start_request(self, body: str, label: str) -> None:
        task = asyncio.create_task(self._send(body, label))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, body: str, label: str) -> None:
        names: Sequence[str] = tuple(self.session.nodes)
        if not names:
            return
        node = self.session.nodes[self.rng.choice(names)]
        self._counts[f'{label} sent'] += 1
        answer = await node.local_service.handle(
            HttpRequest('POST', '/svc/read', {}, body.encode(), '127.0.0.1')
        )
        if answer.status == _OK:
            self._counts[f'{label} served'] += 1
        if get_header(answer, REASON_HEADER) == Reason.QUARANTINED.value:
            self._counts[f'{label} quarantined'] += 1

    async def _crash_servers(self) -> None:
        """Crash random backend servers, whatever runs in them."""
        while self.load.other_crash_interval_s:
            await asyncio.sleep(
                self.rng.expovariate(1 / self.load.other_crash_interval_s)
            )
            self.rng.choice(tuple(self.servers.values())).crash()

    def _build_figures(self) -> CrashFigures:
        late = {
            body: sum(
                1 for time in times if time > times[MAX_CRASHES - 1] + NOTICE_S
            )
            for body, times in self._crash_times.items()
            if len(times) >= MAX_CRASHES
        }
        return CrashFigures(
            {body: len(times) for body, times in self._crash_times.items()},
            late,
            self._counts['harmless sent'],
            self._counts['harmless served'],
            self._counts['harmless quarantined'],
        )
