"""Requests with a tree of calls over three regions, in virtual time.

Each region has two data centres, and each data centre one backend server of
each service. Servers may differ in speed from region to region, be cold at the
start, or be lost under load. Callers send from the first moment on, and each
retries a failed request once.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, NamedTuple

from merlintrail.node.tests.session import Session
from merlintrail.protocol import CONTEXT_HEADER, DEADLINE_HEADER
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_OK: Final = 200
_REGIONS: Final = ('fast', 'usual', 'slow')
_DATA_CENTRES: Final = tuple(
    f'{region}-{letter}' for letter in 'ab' for region in _REGIONS
)
#: One-way delays in seconds.
_DELAY_WITHIN_REGION_S: Final = 0.001
_DELAY_BETWEEN_REGIONS_S: Final = 0.02
#: Seconds after the start at which servers are lost.
_LOSS_AT_S: Final = 1.0
#: Seconds after the start for which servers work at half of their speed.
_COLD_S: Final = 3.0
_GOSSIP_INTERVAL_S: Final = 0.25
_HOST: Final = 'tree.example'
_MS_PER_S: Final = 1000


class TreeKind(NamedTuple):
    """A kind of request, sent by callers or by backend servers."""

    service: str
    #: Seconds of work at the usual speed, without nested calls.
    work_s: float
    deadline_s: float
    importance: str = 'normal'
    is_idempotent: bool = True
    #: Kinds of the nested calls, one after the other.
    calls: tuple[str, ...] = ()
    #: Requests of callers per second in each data centre.
    rate: float = 0.0
    objective_s: float = 1.0


_SLOTS: Final[Mapping[str, int]] = {
    'desk': 62,
    'lookups': 62,
    'index': 62,
    'deep': 12,
}
_KINDS: Final[Mapping[str, TreeKind]] = {
    'check': TreeKind(
        'desk', 0.12, 0.8, calls=('find',), rate=28.0, objective_s=1.5
    ),
    'approve': TreeKind(
        'lookups',
        0.16,
        1.0,
        'critical',
        is_idempotent=False,
        calls=('list',),
        rate=9.0,
        objective_s=1.5,
    ),
    'terms': TreeKind('deep', 0.048, 1.0, 'high', rate=9.0, objective_s=0.25),
    'find': TreeKind('lookups', 0.015, 2.5, calls=('list',)),
    'list': TreeKind('index', 0.015, 2.0, calls=('read',) * 4),
    'read': TreeKind('deep', 0.03, 0.7, objective_s=0.3),
}


class ServedRequest(NamedTuple):
    """One request of a caller and how it ended."""

    kind: str
    region: str
    #: Seconds since the start.
    sent_at: float
    #: Whether it was answered within its objective.
    is_in_time: bool
    is_success: bool


def build_tree_document() -> dict[str, Any]:
    """Build the configuration document."""
    return {
        'format': 1,
        'services': [{'name': name, 'warmup_s': 3} for name in _SLOTS],
        'regions': [
            {'name': region, 'data_centres': [f'{region}-a', f'{region}-b']}
            for region in _REGIONS
        ],
        'routes': [
            {
                'name': name,
                'host': _HOST,
                'prefix': f'/{name}/',
                'service': kind.service,
                'importance': kind.importance,
                'idempotent': kind.is_idempotent,
                'timeout_ms': kind.deadline_s * _MS_PER_S,
                'attempts': 3,
                'objective_ms': kind.objective_s * _MS_PER_S,
            }
            for name, kind in _KINDS.items()
        ],
    }


class TreeLoad(NamedTuple):
    """The servers' speeds, the load and what happens in it."""

    #: Speed of the servers of each region.
    speeds: Mapping[str, float]
    #: Factor by which work takes longer in the first seconds.
    cold_factor: float = 1.0
    #: Requests in terms of the usual rates.
    rate_factor: float = 1.0
    #: Backend servers that end one second after the start.
    lost_servers: tuple[str, ...] = ()
    duration_s: float = 4.0


class TreeRun:
    """One run: nodes, servers and callers."""

    def __init__(self, load: TreeLoad, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._places = {
            f'{service}.{place}': place
            for place in _DATA_CENTRES
            for service in _SLOTS
        }
        self.session = Session(
            build_tree_document(),
            tuple(self._places),
            data_centres=self._places,
        )
        self.session.network.find_delay = self._find_delay
        self.requests: list[ServedRequest] = []
        for name in self._places:
            service = name.partition('.')[0]
            self.session.add_backend(
                name,
                service,
                self._create_backend(name),
                _SLOTS[service],
            )

    async def run(self) -> None:
        """Send the load and wait for its answers."""
        gossip = asyncio.create_task(self._gossip())
        end_at = self._started_at + self._load.duration_s
        self._loop.call_later(_LOSS_AT_S, self._lose_servers)
        await asyncio.gather(
            *(
                self._send_kind(kind, place, end_at)
                for kind, tree_kind in _KINDS.items()
                for place in _DATA_CENTRES
                if tree_kind.rate > 0
            )
        )
        gossip.cancel()

    def _lose_servers(self) -> None:
        for name in self._load.lost_servers:
            service = name.partition('.')[0]
            self.session.network.refusing.add(f'{name}:{service}')

    def _find_delay(self, origin: str, address: str) -> float:
        place = self._places[address.partition(':')[0]]
        if self._places[origin] == place:
            return 0.0001
        is_near = _find_region(self._places[origin]) == _find_region(place)
        return _DELAY_WITHIN_REGION_S if is_near else _DELAY_BETWEEN_REGIONS_S

    def _create_backend(
        self, name: str
    ) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
        speed = self._load.speeds[_find_region(self._places[name])]

        async def handle(request: HttpRequest) -> HttpResponse:
            kind = _KINDS[request.target.strip('/')]
            work_s = kind.work_s / speed
            if self._loop.time() - self._started_at < _COLD_S:
                work_s *= self._load.cold_factor
            await asyncio.sleep(work_s * self._rng.lognormvariate(-0.125, 0.5))
            context = {CONTEXT_HEADER: request.headers[CONTEXT_HEADER]}
            for number, called in enumerate(kind.calls):
                nested = await self._call(
                    name, called, context, request.body + b'%d' % number
                )
                if nested.status != _OK:
                    return HttpResponse(500, (), b'')
            return HttpResponse(_OK, (), request.body)

        return handle

    async def _call(
        self, name: str, kind: str, headers: Mapping[str, str], body: bytes
    ) -> HttpResponse:
        """Send a request to a node, as a caller or its backend server."""
        request = HttpRequest(
            'POST',
            f'/{kind}/',
            {**headers, 'host': _HOST},
            body,
            '127.0.0.1',
        )
        return await self.session.nodes[name].local_service.handle(request)

    async def _send_kind(self, kind: str, place: str, end_at: float) -> None:
        tasks = []
        rate = _KINDS[kind].rate * self._load.rate_factor
        due_at = self._started_at
        while True:
            due_at += self._rng.expovariate(rate)
            if due_at > end_at:
                break
            await asyncio.sleep(max(0.0, due_at - self._loop.time()))
            tasks.append(asyncio.create_task(self._send(kind, place)))
        await asyncio.gather(*tasks)

    async def _send(self, kind: str, place: str) -> None:
        """Send a request of a caller, and once more if it fails."""
        sent_at = self._loop.time()
        deadline_ms = round(_KINDS[kind].deadline_s * _MS_PER_S)
        headers = {DEADLINE_HEADER: str(deadline_ms)}
        service = self._rng.choice(tuple(_SLOTS))
        body = f'{self._rng.getrandbits(64)}'.encode()
        for _ in range(2):
            answer = await self._call(f'{service}.{place}', kind, headers, body)
            if answer.status == _OK:
                break
        is_success = answer.status == _OK
        duration_s = self._loop.time() - sent_at
        self.requests.append(
            ServedRequest(
                kind,
                _find_region(place),
                sent_at - self._started_at,
                is_success and duration_s <= _KINDS[kind].objective_s,
                is_success,
            )
        )

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_S)
            self.session.share_members()


def _find_region(place: str) -> str:
    return place.partition('-')[0]


def play_tree(load: TreeLoad, seed: int = 1) -> list[ServedRequest]:
    """Play a load and return the requests of its callers."""

    async def play() -> TreeRun:
        run = TreeRun(load, seed)
        await run.run()
        return run

    return run_virtually(play()).requests
