"""Overload of whole nodes in virtual time, with the benches' deployments.

The load is that of the overload benchmarks; only the network, the backend
servers and the clock are replaced, so that a run depends on its seed alone.
"""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

from merlintrail.bench._deployments import (
    WORKERS_PER_SERVICE,
    BenchDeployment,
    BenchService,
)
from merlintrail.lab.statement_rule import (
    LEAVING_NOTICE_S,
    LIMIT_NOTICE_S,
    find_busiest_window,
)
from merlintrail.load import LoadKind
from merlintrail.node.tests.session import Session
from merlintrail.protocol import (
    DEADLINE_HEADER,
    LEAVING_HEADER,
    RATE_LIMIT_HEADER,
    REASON_HEADER,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_OK: Final = 200
#: Seconds between two exchanges of the member records.
_GOSSIP_INTERVAL_S: Final = 0.25


class Overload(NamedTuple):
    """The load of one run and what happens in its trigger."""

    #: Load before, during and after the trigger, in terms of the capacity.
    steady_factor: float = 0.7
    trigger_factor: float = 0.7
    #: Backend servers of the deepest service that are lost in the trigger.
    lost_servers: int = 0
    #: Backend servers of the deepest service that are slow in the trigger.
    slow_servers: int = 0
    #: Factor by which these take longer.
    slowdown: float = 10.0
    #: Backend servers of the deepest service that state a limit in the
    #: trigger, and the limit in requests per second.
    limited_servers: int = 0
    rate_limit: float = 0.0
    #: Backend servers of the deepest service that state from the start of the
    #: trigger on that they are leaving.
    leaving_servers: int = 0
    #: Times that a client sends a failed request of the trigger again.
    client_retries: int = 0
    before_s: float = 2.0
    trigger_s: float = 6.0
    after_s: float = 3.0


class Answer(NamedTuple):
    """The last answer to one request."""

    kind: str
    #: Seconds since the start of the load.
    sent_at: float
    is_success: bool
    reason: str


class VirtualRun:
    """One run of a deployment under an overload."""

    def __init__(
        self, deployment: BenchDeployment, overload: Overload, seed: int
    ) -> None:
        self._deployment = deployment
        self._overload = overload
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        names = {
            f'{service.name}-{number}': f'one-{number}'
            for service in deployment.services
            for number in range(WORKERS_PER_SERVICE)
        }
        self._session = Session(
            dict(deployment.build_document()), tuple(names), data_centres=names
        )
        self._slow: set[str] = set()
        self._limited: set[str] = set()
        self._leaving: set[str] = set()
        #: Seconds from the start of the load to each request that a backend
        #: server of the deepest service got, by instance.
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.answers: list[Answer] = []
        #: Requests begun by backend servers, by service.
        self.begun: Counter[str] = Counter()
        for service in deployment.services:
            for number in range(WORKERS_PER_SERVICE):
                name = f'{service.name}-{number}'
                self._session.add_backend(
                    name,
                    service.name,
                    self._create_backend(name, service),
                    service.slots,
                )

    async def run(self) -> None:
        """Send the load and wait for its answers."""
        overload = self._overload
        started_at = self._started_at
        gossip = asyncio.create_task(self._gossip())
        trigger_at = started_at + overload.before_s
        end_at = trigger_at + overload.trigger_s
        steady = overload.steady_factor * self._deployment.compute_capacity()
        added = (
            overload.trigger_factor - overload.steady_factor
        ) * self._deployment.compute_capacity()
        surge = self._deployment.build_load(added, overload.client_retries)
        await asyncio.gather(
            *(
                self._send_kind(kind, started_at, end_at + overload.after_s)
                for kind in self._deployment.build_load(steady)
            ),
            *(self._send_kind(kind, trigger_at, end_at) for kind in surge),
            self._apply_trigger(trigger_at, end_at),
        )
        gossip.cancel()

    def _create_backend(
        self, name: str, service: BenchService
    ) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
        async def handle(request: HttpRequest) -> HttpResponse:
            self.begun[service.name] += 1
            arrived_at = self._loop.time() - self._started_at
            self.arrivals[name].append(arrived_at)
            slowdown = self._overload.slowdown if name in self._slow else 1.0
            mean_s = service.service_ms / 1000 * slowdown
            await asyncio.sleep(mean_s * self._rng.uniform(0.5, 1.5))
            for target in service.children:
                nested = await self._session.call_nested(name, request, target)
                if nested.status != _OK:
                    return HttpResponse(502, (), b'')
            return HttpResponse(_OK, self._build_statements(name), request.body)

        return handle

    def _build_statements(self, name: str) -> list[tuple[str, str]]:
        headers = []
        if name in self._limited:
            headers.append((RATE_LIMIT_HEADER, str(self._overload.rate_limit)))
        if name in self._leaving:
            headers.append((LEAVING_HEADER, '1'))
        return headers

    async def _send_kind(
        self, kind: LoadKind, start_at: float, end_at: float
    ) -> None:
        tasks = []
        due_at = start_at
        while kind.rate > 0:
            due_at += self._rng.expovariate(kind.rate)
            if due_at > end_at:
                break
            await asyncio.sleep(max(0.0, due_at - self._loop.time()))
            tasks.append(asyncio.create_task(self._send(kind)))
        await asyncio.gather(*tasks)

    async def _send(self, kind: LoadKind) -> None:
        sent_at = self._loop.time() - self._started_at
        headers = {DEADLINE_HEADER: str(kind.deadline_ms)}
        body = f'{kind.name} {self._rng.getrandbits(64)}'.encode()
        names = tuple(self._session.nodes)
        for _ in range(kind.client_retries + 1):
            node = self._session.nodes[self._rng.choice(names)]
            answer = await node.local_service.handle(
                HttpRequest(kind.method, kind.target, headers, body, '1.1.1.1')
            )
            if answer.status == _OK:
                break
        self.answers.append(
            Answer(
                kind.name,
                sent_at,
                answer.status == _OK,
                answer.find_header(REASON_HEADER) or str(answer.status),
            )
        )

    async def _apply_trigger(self, start_at: float, end_at: float) -> None:
        deepest = [
            f'{self._deployment.deepest}-{number}'
            for number in range(WORKERS_PER_SERVICE)
        ]
        overload = self._overload
        lost = deepest[len(deepest) - overload.lost_servers :]
        await asyncio.sleep(start_at - self._loop.time())
        self._slow.update(deepest[: overload.slow_servers])
        self._limited.update(deepest[: overload.limited_servers])
        self._leaving.update(deepest[: overload.leaving_servers])
        self._session.network.refusing.update(
            f'{name}:{self._deployment.deepest}' for name in lost
        )
        await asyncio.sleep(end_at - self._loop.time())
        self._slow.clear()
        self._limited.clear()
        self._session.network.refusing.clear()

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_S)
            self._session.share_members()


class OverloadFigures(NamedTuple):
    """What callers got in the trigger, without its first second."""

    #: Successful requests in terms of those that the capacity left permits.
    goodput: float
    #: Share of successful requests by kind.
    served: Mapping[str, float]
    reasons: Mapping[str, int]
    #: Most requests that a server with a limit got in any window of the rule.
    busiest_window: int
    #: Requests that leaving servers got later than :data:`LEAVING_NOTICE_S`
    #: after they stated it.
    late_requests: int


def play_overload(
    deployment: BenchDeployment, overload: Overload, seed: int = 1
) -> OverloadFigures:
    """Play an overload and return its figures."""

    async def play() -> VirtualRun:
        run = VirtualRun(deployment, overload, seed)
        await run.run()
        return run

    run = run_virtually(play())
    start_s = overload.before_s + 1.0
    end_s = overload.before_s + overload.trigger_s - 0.5
    during = [
        answer for answer in run.answers if start_s <= answer.sent_at < end_s
    ]
    capacity = _compute_capacity_left(deployment, overload)
    attainable = min(capacity * (end_s - start_s), len(during))
    served: dict[str, float] = {}
    for kind in deployment.kinds:
        successes = [
            answer.is_success for answer in during if answer.kind == kind.name
        ]
        served[kind.name] = sum(successes) / max(1, len(successes))
    return OverloadFigures(
        sum(answer.is_success for answer in during) / attainable,
        served,
        Counter(answer.reason for answer in during if not answer.is_success),
        _find_busiest_window(run, deployment, overload),
        _count_late_requests(run, deployment, overload),
    )


def _compute_capacity_left(
    deployment: BenchDeployment, overload: Overload
) -> float:
    """Return the requests per second that are possible in the trigger."""
    slow_share = 1 - 1 / overload.slowdown
    lost_servers = (
        overload.lost_servers
        + overload.leaving_servers
        + overload.slow_servers * slow_share
    )
    server_capacity = deployment.compute_capacity() / WORKERS_PER_SERVICE
    beyond_limit = max(0.0, server_capacity - overload.rate_limit)
    return (
        server_capacity * (WORKERS_PER_SERVICE - lost_servers)
        - overload.limited_servers * beyond_limit
    )


def _find_busiest_window(
    run: VirtualRun, deployment: BenchDeployment, overload: Overload
) -> int:
    since_s = overload.before_s + LIMIT_NOTICE_S
    until_s = overload.before_s + overload.trigger_s
    return max(
        (
            find_busiest_window(
                [
                    at
                    for at in run.arrivals[f'{deployment.deepest}-{number}']
                    if at < until_s
                ],
                since_s,
            )
            for number in range(overload.limited_servers)
        ),
        default=0,
    )


def _count_late_requests(
    run: VirtualRun, deployment: BenchDeployment, overload: Overload
) -> int:
    since_s = overload.before_s + LEAVING_NOTICE_S
    return sum(
        at > since_s
        for number in range(overload.leaving_servers)
        for at in run.arrivals[f'{deployment.deepest}-{number}']
    )
