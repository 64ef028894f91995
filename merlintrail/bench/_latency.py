"""Benchmarks of the call path: added latency, CPU per call, idle cost.

This module also starts the deployments of the other benchmarks.
"""

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import uvloop

from merlintrail.bench._figures import Benches, Figure, print_figure
from merlintrail.lab.processes import Deployment, WorkerPlan
from merlintrail.transport import ConnectionPool, HttpResponse, create_pool

#: Call rate for each address.
CALLS_PER_S: Final = 250.0
#: Seconds of one measurement, without its warm-up.
MEASUREMENT_S: Final = 12.0
#: Seconds of load before latencies are recorded.
WARMUP_S: Final = 2.0
#: Seconds over which the idle cost is measured.
IDLE_MEASUREMENT_S: Final = 15.0
_BODY: Final = b'.' * 512
_MS_PER_S: Final = 1000
_BYTES_PER_MB: Final = 1e6


def build_document(data_centres: int = 2) -> dict[str, Any]:
    """Build a configuration document with the service ``echo``."""
    return {
        'format': 1,
        'services': [
            {
                'name': 'echo',
                'warmup_s': 0,
                'kinds': [
                    {
                        'name': 'call',
                        'path': '/call',
                        'importance': 'normal',
                        'idempotent': True,
                        'deadline_ms': 1000,
                    },
                    {
                        'name': 'once',
                        'path': '/once',
                        'importance': 'normal',
                        'idempotent': False,
                        'deadline_ms': 3000,
                    },
                ],
            }
        ],
        'regions': [
            {
                'name': 'one',
                'data_centres': [
                    f'dc-{number}' for number in range(data_centres)
                ],
            }
        ],
        'ledger': {'retention_s': 600},
    }


def start_deployment(
    plans: Sequence[WorkerPlan], data_centres: int
) -> Deployment:
    """Start a deployment with a store.

    Return once every node has the configuration and reports all members and
    backend servers.
    """
    deployment = Deployment()
    try:
        _start_and_configure(deployment, plans, data_centres)
    except BaseException:
        deployment.stop()
        raise
    return deployment


def _start_and_configure(
    deployment: Deployment, plans: Sequence[WorkerPlan], data_centres: int
) -> None:
    deployment.start_store()
    deployment.start_workers(plans)
    deployment.wait_until_listening()
    generation = deployment.apply_configuration(build_document(data_centres))
    deployment.wait_until_ready(generation)


def read_cpu_s(process_id: int) -> float:
    """Return the processor time of a process, user and system, in seconds."""
    fields = Path(f'/proc/{process_id}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf('SC_CLK_TCK')


def read_memory_bytes(process_id: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f'/proc/{process_id}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


class CallProber:
    """Sends calls to several addresses in turn and records their latencies."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        #: Latencies in seconds by name of the address, without those of the
        #: warm-up and of calls that got no answer.
        self.latencies: dict[str, list[float]] = {}
        #: Number of calls by name of the address, including the warm-up.
        self.sent: Counter[str] = Counter()

    async def run(self, addresses: dict[str, str], rate: float) -> None:
        """Send calls at random intervals.

        :param addresses: addresses by name.
        :param rate: mean calls per second to each address.
        """
        loop = asyncio.get_running_loop()
        rng = random.Random(1)
        started_at = loop.time()
        due = started_at
        tasks = []
        while due < started_at + MEASUREMENT_S + WARMUP_S:
            for name, address in addresses.items():
                due += rng.expovariate(rate * len(addresses))
                await asyncio.sleep(max(0.0, due - loop.time()))
                self.sent[name] += 1
                is_recorded = due > started_at + WARMUP_S
                tasks.append(
                    loop.create_task(self._call(name, address, is_recorded))
                )
        await asyncio.gather(*tasks)

    def compute_quantile_ms(self, name: str, quantile: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        ordered = sorted(self.latencies[name])
        index = min(len(ordered) - 1, int(len(ordered) * quantile))
        return ordered[index] * _MS_PER_S

    async def _call(self, name: str, address: str, is_recorded: bool) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        timer_started_at = time.perf_counter()
        answer = await self._pool.exchange(
            address, 'POST', '/echo/call', (('host', 'x'),), _BODY
        )
        elapsed_s = time.perf_counter() - timer_started_at
        if is_recorded and isinstance(answer, HttpResponse):
            assert answer.status == 200, (answer, started_at)
            self.latencies.setdefault(name, []).append(elapsed_s)


_ECHO_BACKEND: Final = {'service': 'echo', 'slots': 64, 'service_ms': 0}


def start_node_pair(first: str = 'front') -> Deployment:
    """Start a node for callers and one with a backend server.

    :param first: the node that serves the administration API.
    """
    plans = {
        'front': WorkerPlan('front', 'dc-0', None),
        'back': WorkerPlan('back', 'dc-1', _ECHO_BACKEND),
    }
    others = [plan for name, plan in plans.items() if name != first]
    return start_deployment([plans[first], *others], 2)


def bench_added_latency(_: int) -> None:
    """Compare calls through two nodes with interleaved direct calls."""
    deployment = start_node_pair()
    try:
        prober = CallProber(create_pool())
        addresses = {
            'direct': deployment.workers['back'].backend_address,
            'nodes': deployment.workers['front'].call_address,
        }
        uvloop.run(prober.run(addresses, CALLS_PER_S))
    finally:
        deployment.stop()
    for name, quantile, target in (('p50', 0.5, None), ('p99', 0.99, 0.43)):
        direct = prober.compute_quantile_ms('direct', quantile)
        nodes = prober.compute_quantile_ms('nodes', quantile)
        print_figure(
            Figure(
                f'added_latency.{name}_ms',
                nodes - direct,
                'ms',
                target,
                direct,
            )
        )


def bench_call_cpu(_: int) -> None:
    """Measure the processor time per call at each of two nodes."""
    deployment = start_node_pair()
    try:
        process_ids = {
            name: deployment.read_process_id(f'node {name}')
            for name in ('front', 'back')
        }
        address = deployment.workers['front'].call_address
        prober = CallProber(create_pool())
        before = {name: read_cpu_s(pid) for name, pid in process_ids.items()}
        uvloop.run(prober.run({'nodes': address}, CALLS_PER_S * 2))
        after = {name: read_cpu_s(pid) for name, pid in process_ids.items()}
    finally:
        deployment.stop()
    calls = CALLS_PER_S * 2 * (MEASUREMENT_S + WARMUP_S)
    for name in process_ids:
        print_figure(
            Figure(
                f'call_cpu.{name}_ms',
                (after[name] - before[name]) / calls * _MS_PER_S,
                'ms',
            )
        )


def build_fleet_plans(size: int, data_centres: int) -> list[WorkerPlan]:
    """Build plans of nodes without backend servers in several data centres."""
    return [
        WorkerPlan(f'node-{number}', f'dc-{number % data_centres}', None)
        for number in range(size)
    ]


class IdleCost(NamedTuple):
    """Cost of a node without calls."""

    #: Mean share of a processor core.
    core_share: float
    #: Highest resident memory of all nodes.
    memory_mb: float
    #: Mean control traffic of a node, sent and received.
    bytes_per_s: float


def measure_idle_cost(size: int) -> IdleCost:
    """Measure the idle cost of a node in a deployment of some size."""
    deployment = start_deployment(build_fleet_plans(size, 6), 6)
    try:
        time.sleep(8)
        process_ids = [
            deployment.read_process_id(f'node {instance}')
            for instance in deployment.workers
        ]
        cpu_before = sum(read_cpu_s(pid) for pid in process_ids)
        bytes_before = _sum_control_bytes(deployment)
        time.sleep(IDLE_MEASUREMENT_S)
        cpu_after = sum(read_cpu_s(pid) for pid in process_ids)
        bytes_after = _sum_control_bytes(deployment)
        memory = max(read_memory_bytes(pid) for pid in process_ids)
    finally:
        deployment.stop()
    return IdleCost(
        (cpu_after - cpu_before) / IDLE_MEASUREMENT_S / size,
        memory / _BYTES_PER_MB,
        (bytes_after - bytes_before) / IDLE_MEASUREMENT_S / size,
    )


def print_idle_cost(prefix: str, cost: IdleCost) -> None:
    """Print the figures of an idle cost."""
    print_figure(Figure(f'{prefix}.core_share', cost.core_share, 'core', 0.022))
    print_figure(Figure(f'{prefix}.memory_mb', cost.memory_mb, 'MB', 64))
    print_figure(
        Figure(f'{prefix}.bytes_per_s', cost.bytes_per_s, 'B/s', 10000)
    )


def bench_idle_cost(_: int) -> None:
    """Measure the cost of a node without calls, with 24 nodes."""
    print_idle_cost('idle_cost', measure_idle_cost(24))


def _sum_control_bytes(deployment: Deployment) -> int:
    fleet = deployment.request_admin_api('GET', '/v1/fleet')
    return sum(
        status['control_bytes']['sent'] + status['control_bytes']['received']
        for status in fleet
    )


def list_benches() -> Benches:
    """Return the benchmarks of the call path by name."""
    return {
        'added_latency': bench_added_latency,
        'call_cpu': bench_call_cpu,
        'idle_cost': bench_idle_cost,
    }
