"""Benchmark of HTTP libraries, each with two minimal forwarders in series."""

import time
from typing import Final

import uvloop

from merlintrail.bench._figures import Benches, Figure, print_figure
from merlintrail.bench._latency import CallProber, read_cpu_s
from merlintrail.bench._plain_forwarder import FORWARDERS
from merlintrail.lab._ports import HOST, find_free_ports
from merlintrail.lab.processes import Deployment
from merlintrail.transport import create_pool

#: Rate of the direct calls and of those through the forwarders.
CALLS_PER_S: Final = 250.0
#: Seconds after which the processes are expected to listen.
STARTUP_S: Final = 2.0
_MS_PER_S: Final = 1000


def bench_http_libraries(_: int) -> None:
    """Measure latency and processor time per call for each library."""
    for library in FORWARDERS:
        _measure_library(library)


def _measure_library(library: str) -> None:
    first, second, echo = (f'{HOST}:{port}' for port in find_free_ports(3))
    deployment = Deployment()
    prober = CallProber(create_pool())
    try:
        _start_forwarder(deployment, 'httptools', echo, '')
        _start_forwarder(deployment, library, second, echo)
        _start_forwarder(deployment, library, first, second)
        time.sleep(STARTUP_S)
        before = _sum_cpu(deployment, first, second)
        uvloop.run(prober.run({'direct': echo, 'line': first}, CALLS_PER_S))
        cpu_s = _sum_cpu(deployment, first, second) - before
    finally:
        deployment.stop()
    _print_library(library, prober, cpu_s)


def _start_forwarder(
    deployment: Deployment, library: str, listen: str, target: str
) -> None:
    deployment.start_process(
        listen,
        '-m',
        'merlintrail.bench._plain_forwarder',
        f'--library={library}',
        f'--listen={listen}',
        f'--target={target}',
    )


def _print_library(library: str, prober: CallProber, cpu_s: float) -> None:
    prefix = f'http_libraries.{library}'
    for name, quantile in (('p50', 0.5), ('p99', 0.99)):
        print_figure(
            Figure(
                f'{prefix}_{name}_ms',
                prober.compute_quantile_ms('line', quantile),
                'ms',
                baseline=prober.compute_quantile_ms('direct', quantile),
            )
        )
    cpu_ms = cpu_s / prober.sent['line'] / 2 * _MS_PER_S
    print_figure(Figure(f'{prefix}_cpu_ms', cpu_ms, 'ms'))


def _sum_cpu(deployment: Deployment, *names: str) -> float:
    return sum(read_cpu_s(deployment.read_process_id(name)) for name in names)


def list_benches() -> Benches:
    """Return the benchmark by name."""
    return {'http_libraries': bench_http_libraries}
