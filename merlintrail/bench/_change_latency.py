"""Latency of calls while the configuration changes."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import uvloop

from merlintrail.bench._figures import Benches, Figure, print_figure
from merlintrail.bench._latency import (
    CALLS_PER_S,
    CallProber,
    build_document,
    start_node_pair,
)
from merlintrail.lab.processes import Deployment
from merlintrail.transport import create_pool

#: Routes of each version.
ROUTES: Final = 2000
#: Seconds between two changes.
CHANGE_INTERVAL_S: Final = 0.5


def _build_version(number: int) -> Mapping[str, Any]:
    """Build a version in which one route differs from the one before."""
    echo = _build_route('echo', '/echo/', 1000)
    others = [
        _build_route(f'r{index}', f'/{index}/', 1000 + (index == number))
        for index in range(ROUTES - 1)
    ]
    return {**build_document(2), 'routes': [echo, *others]}


def _build_route(name: str, prefix: str, timeout_ms: int) -> Mapping[str, Any]:
    return {
        'name': name,
        'host': 'x',
        'prefix': prefix,
        'service': 'echo',
        'importance': 'normal',
        'idempotent': True,
        'timeout_ms': timeout_ms,
    }


async def _change_repeatedly(deployment: Deployment) -> None:
    number = 0
    while True:
        number += 1
        await asyncio.to_thread(
            deployment.apply_configuration, _build_version(number)
        )
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _probe(
    prober: CallProber, deployment: Deployment, *, has_changes: bool
) -> None:
    changing: asyncio.Task[None] | None = None
    if has_changes:
        changing = asyncio.create_task(_change_repeatedly(deployment))
    # A node that takes no callers itself makes the changes.
    address = deployment.workers['front'].call_address
    await prober.run({'nodes': address}, CALLS_PER_S)
    if changing is not None:
        changing.cancel()


def bench_change_latency(_: int) -> None:
    """Compare calls beside changes of one of many routes with calm ones."""
    for name, has_changes in (('calm', False), ('changes', True)):
        deployment = start_node_pair(first='back')
        try:
            deployment.apply_configuration(_build_version(0))
            prober = CallProber(create_pool())
            uvloop.run(_probe(prober, deployment, has_changes=has_changes))
        finally:
            deployment.stop()
        for quantile in (0.5, 0.99):
            print_figure(
                Figure(
                    f'change_latency.{name}.p{quantile * 100:.0f}_ms',
                    prober.compute_quantile_ms('nodes', quantile),
                    'ms',
                )
            )


def list_benches() -> Benches:
    """Return the benchmark of changes by name."""
    return {'change_latency': bench_change_latency}
