"""One run of the soak of connections, for one seed."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import uvloop

from merlintrail.bench.change_soak._changes import SERVICES, RouteChanges
from merlintrail.bench.connection_soak._callers import (
    Caller,
    create_callers,
)
from merlintrail.bench.connection_soak._changes import PlannedChanges
from merlintrail.bench.connection_soak._rules import (
    ConnectionHistory,
    create_rules,
)
from merlintrail.coordination import create_store_client
from merlintrail.lab.backend import read_run_log
from merlintrail.lab.processes import Deployment, WorkerPlan

#: Data centres over which the nodes are spread.
DATA_CENTRES: Final = ('dc-0', 'dc-1')
#: Seconds of load before the first change and after the last one.
CALM_S: Final = 2.0


class ConnectionSoakResult(NamedTuple):
    """Findings of one seed."""

    seed: int
    nodes: int
    #: Descriptions of broken promises.
    findings: Sequence[str]
    #: Number of planned changes by kind.
    changes: Mapping[str, int]
    #: Number of requests by kind of caller.
    requests: Mapping[str, int]
    #: Number of requests by how they ended.
    ends: Mapping[str, int]

    def summarise(self) -> dict[str, Any]:
        """Build a summary that can be serialised as JSON."""
        return {
            **self._asdict(),
            'findings': list(self.findings),
            'changes': dict(self.changes),
            'requests': dict(self.requests),
            'ends': dict(self.ends),
        }


def _start(deployment: Deployment, routes: RouteChanges, nodes: int) -> None:
    """Start all processes and wait until they serve the first version."""
    deployment.start_store()
    plans = [
        WorkerPlan(
            f'node-{number}',
            DATA_CENTRES[number % len(DATA_CENTRES)],
            {
                'service': SERVICES[number % len(SERVICES)],
                'slots': 64,
                'service_ms': 60,
                'run_log': str(deployment.folder / f'{number}.runs'),
                'has_identity': True,
            },
        )
        for number in range(nodes)
    ]
    deployment.start_workers(plans)
    deployment.wait_until_listening()
    deployment.wait_until_ready(routes.write() or 1)


def _count_runs(deployment: Deployment) -> Counter[str]:
    return Counter(
        run.label
        for path in deployment.folder.glob('*.runs')
        for run in read_run_log(path)
    )


async def _call_during(
    callers: Sequence[Caller], changes: PlannedChanges, duration_s: float
) -> None:
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(CALM_S)
    await changes.run(duration_s)
    await asyncio.sleep(CALM_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_connection_soak(
    seed: int,
    nodes: int,
    duration_s: float,
    callers: Sequence[str] = (),
    keep_folder: str | None = None,
) -> ConnectionSoakResult:
    """Run one seed.

    :param callers: kinds of callers, all if empty.
    :param keep_folder: existing folder to which the deployment's folder with
        its logs is moved if there are findings.
    """
    deployment = Deployment()
    try:
        routes = RouteChanges(
            create_store_client([deployment.store_address]), DATA_CENTRES, seed
        )
        _start(deployment, routes, nodes)
        result = _play(deployment, routes, seed, duration_s, callers)
        if result.findings and keep_folder is not None:
            deployment.folder.rename(Path(keep_folder) / f'connections-{seed}')
    finally:
        deployment.stop()
    return result


def _play(
    deployment: Deployment,
    routes: RouteChanges,
    seed: int,
    duration_s: float,
    names: Sequence[str],
) -> ConnectionSoakResult:
    changes = PlannedChanges(deployment, routes, seed)
    callers = create_callers(
        [
            (name, worker.call_address)
            for name, worker in deployment.workers.items()
        ],
        names,
        seed,
    )
    uvloop.run(_call_during(callers, changes, duration_s))
    ended = [
        request
        for caller in callers
        for request in caller.requests
        if request.end is not None
    ]
    history = ConnectionHistory(ended, _count_runs(deployment))
    findings = list(changes.findings)
    for rule in create_rules():
        findings.extend(rule.find(history))
    return ConnectionSoakResult(
        seed,
        len(deployment.workers),
        findings,
        changes.counts,
        Counter(request.caller for request in ended),
        Counter(request.end.value for request in ended if request.end),
    )
