"""Benchmarks of outcomes: ledger, drain, planned stop, dropped traffic."""

import asyncio
import random
import signal
import time
from datetime import UTC, datetime, timedelta
from typing import Any, Final

import uvloop

from merlintrail.bench._figures import Benches, Figure, print_figure
from merlintrail.bench._latency import build_document, start_deployment
from merlintrail.lab.processes import Deployment, WorkerPlan
from merlintrail.lab.relay import TcpRelay
from merlintrail.load import LoadGenerator, LoadKind, LoadResult

#: Request rate while connections drop traffic.
REQUESTS_PER_S: Final = 100.0
#: Seconds of load before and after connections start to drop traffic.
BEFORE_DROP_S: Final = 3.0
AFTER_DROP_S: Final = 4.0


def bench_ledger(_: int) -> None:
    """Measure store writes and added latency of keyed requests.

    Both are measured at several request rates. The added latency is the
    difference from requests without a key.
    """
    echo = {'service': 'echo', 'slots': 64, 'service_ms': 0}
    plans = [
        WorkerPlan(f'echo-{number}', f'dc-{number % 3}', echo)
        for number in range(6)
    ]
    deployment = start_deployment(plans, 3)
    try:
        time.sleep(3)
        for rate in (10, 100, 400, 1000):
            _measure_ledger(deployment, rate)
    finally:
        deployment.stop()


def _measure_ledger(deployment: Deployment, rate: int) -> None:
    entries = [worker.call_address for worker in deployment.workers.values()]
    duration_s = 8.0

    async def send(kind: LoadKind) -> Any:
        generator = LoadGenerator(entries, random.Random(rate))
        return await generator.run([kind], duration_s)

    unkeyed = uvloop.run(send(LoadKind('call', '/echo/call', rate, 1000)))
    before = deployment.read_store_counts()
    keyed = uvloop.run(
        send(LoadKind('once', '/echo/once', rate, 3000, is_keyed=True))
    )
    after = deployment.read_store_counts()
    writes = (after['write'] - before.get('write', 0)) / duration_s
    print_figure(Figure(f'ledger.writes_per_s_at_{rate}', writes, '1/s', 300))
    for name, quantile in (('p50', 0.5), ('p99', 0.99)):
        print_figure(
            Figure(
                f'ledger.added_{name}_ms_at_{rate}',
                keyed.compute_quantile_ms(quantile)
                - unkeyed.compute_quantile_ms(quantile),
                'ms',
                baseline=unkeyed.compute_quantile_ms(quantile),
            )
        )
    print_figure(
        Figure(
            f'ledger.whole_share_at_{rate}',
            keyed.success_count / len(keyed.samples),
            'ratio',
            1,
        )
    )


def _start_echo_fleet() -> Deployment:
    """Start four workers in two data centres and a node for callers."""
    plan = {'service': 'echo', 'slots': 32, 'service_ms': 20}
    return start_deployment(
        [
            WorkerPlan(f'echo-{number}', f'dc-{number % 2}', plan)
            for number in range(4)
        ]
        + [WorkerPlan('entry', 'dc-0', None)],
        2,
    )


def bench_drain(_: int) -> None:
    """Drain a node under load.

    The targets are that no request fails, and that the backend server starts no
    call later than 2 s after SIGTERM.
    """
    deployment = _start_echo_fleet()
    try:
        late_calls, result = uvloop.run(_drain_under_load(deployment))
    finally:
        deployment.stop()
    print_figure(Figure('drain.calls_after_2_s', late_calls, 'calls', 0))
    print_figure(
        Figure(
            'drain.cut_requests',
            len(result.samples) - result.success_count,
            'requests',
            0,
        )
    )


async def _drain_under_load(deployment: Deployment) -> tuple[int, Any]:
    loop = asyncio.get_running_loop()
    generator = LoadGenerator(
        [deployment.workers['entry'].call_address], random.Random(1)
    )
    load = loop.create_task(
        generator.run([LoadKind('call', '/echo/call', 200, 1000)], 10)
    )
    await asyncio.sleep(3)
    deployment.send_signal('node echo-1', signal.SIGTERM)
    await asyncio.sleep(2)
    started_before = await loop.run_in_executor(
        None, _count_started_requests, deployment
    )
    await asyncio.sleep(3)
    started_after = await loop.run_in_executor(
        None, _count_started_requests, deployment
    )
    return started_after - started_before, await load


def _count_started_requests(deployment: Deployment) -> int:
    counts = deployment.control_backend('echo-1')['counts']
    return int(counts.get('begun', 0))


async def _run_load_through_planned_stop(
    deployment: Deployment, starts_in_s: float
) -> tuple[LoadResult, bool]:
    """Schedule a planned stop of a data centre and send requests meanwhile.

    The load ends 3 s after the planned stop begins.

    :returns: results of the load, and whether the nodes with backend servers in
        this data centre had exited when the stop began.
    """
    loop = asyncio.get_running_loop()
    document = build_document(2)
    starts_at = datetime.now(UTC) + timedelta(seconds=starts_in_s)
    document['planned_stops'] = [
        {
            'id': 'landlord',
            'data_centre': 'dc-1',
            'starts_at': starts_at.isoformat(),
            'ends_at': (starts_at + timedelta(hours=1)).isoformat(),
        }
    ]
    await loop.run_in_executor(None, deployment.apply_configuration, document)
    generator = LoadGenerator(
        [deployment.workers['entry'].call_address], random.Random(1)
    )
    kinds = [
        LoadKind('call', '/echo/call', 150, 1000),
        LoadKind('once', '/echo/once', 20, 3000, is_keyed=True),
    ]
    load = loop.create_task(generator.run(kinds, starts_in_s + 3))
    await asyncio.sleep(max(0.0, starts_at.timestamp() - time.time()))
    have_exited = all(
        deployment.has_exited(f'node {name}') for name in ('echo-1', 'echo-3')
    )
    return await load, have_exited


def bench_planned_stop(_: int) -> None:
    """Stop a data centre under load.

    The targets are that no request fails, and that the nodes have exited when
    the planned stop begins.
    """
    deployment = _start_echo_fleet()
    try:
        result, have_exited = uvloop.run(
            _run_load_through_planned_stop(deployment, 14)
        )
    finally:
        deployment.stop()
    failed = len(result.samples) - result.success_count
    print_figure(Figure('planned_stop.cut_requests', failed, 'requests', 0))
    print_figure(
        Figure('planned_stop.ended_in_time', float(have_exited), 'ratio', 1)
    )


async def _run_load_with_dropped_traffic(relay: TcpRelay) -> LoadResult:
    """Drop the traffic of every connection between two nodes under load."""
    loop = asyncio.get_running_loop()
    await relay.start()
    deployment = await loop.run_in_executor(
        None, _start_pair_behind_relay, relay
    )
    try:
        generator = LoadGenerator(
            [deployment.workers['entry'].call_address], random.Random(1)
        )
        kind = LoadKind('call', '/echo/call', REQUESTS_PER_S, 1000)
        load = loop.create_task(
            generator.run([kind], BEFORE_DROP_S + AFTER_DROP_S)
        )
        await asyncio.sleep(BEFORE_DROP_S)
        relay.drop_traffic()
        return await load
    finally:
        relay.stop()
        deployment.stop()


def bench_silent_connections(_: int) -> None:
    """Measure the effect of connections that drop traffic without closing.

    The figures are the longest latency of the requests sent from then on, and
    the number of failed requests.
    """
    for direction in ('forward', 'backward', 'both'):
        result = uvloop.run(_run_load_with_dropped_traffic(TcpRelay(direction)))
        latencies_s = [
            sample.latency_s
            for sample in result.samples
            if sample.sent_at >= BEFORE_DROP_S
        ]
        prefix = f'silent_connections.{direction}'
        failed = len(result.samples) - result.success_count
        print_figure(Figure(f'{prefix}_longest_s', max(latencies_s), 's', 1))
        print_figure(Figure(f'{prefix}_lost', failed, 'requests', 0))


def _start_pair_behind_relay(relay: TcpRelay) -> Deployment:
    """Start two nodes, with the relay in front of the peer address of one."""
    echo = {'service': 'echo', 'slots': 64, 'service_ms': 5}
    deployment = start_deployment([WorkerPlan('entry', 'dc-0', None)], 2)
    plans = [WorkerPlan('far', 'dc-1', echo)]
    deployment.allocate_addresses(plans)
    relay.target = deployment.override_peer_address('far', relay.address)
    deployment.start_node('far')
    deployment.start_backends(plans)
    time.sleep(3)
    return deployment


def list_benches() -> Benches:
    """Return the benchmarks of outcomes by name."""
    return {
        'ledger': bench_ledger,
        'drain': bench_drain,
        'planned_stop': bench_planned_stop,
        'silent_connections': bench_silent_connections,
    }
