"""One run of the soak of route changes, for one seed.

Routes move between services, are split, dropped and added in series, while
nodes are killed, paused, stopped and asked to reload their settings, links and
the store are disturbed, and backend servers are replaced by those of another
service at the same address. What counts is which backend server ran a request.
"""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import uvloop

from merlintrail.bench._soak_faults import (
    FaultInjector,
    FaultIntensity,
    FaultTargets,
)
from merlintrail.bench.change_soak._callers import RouteCallers, RouteRecord
from merlintrail.bench.change_soak._changes import SERVICES, RouteChanges
from merlintrail.bench.change_soak._checks import (
    RouteRun,
    SoakHistory,
    check_history,
)
from merlintrail.coordination import create_store_client
from merlintrail.lab.backend import read_run_log
from merlintrail.lab.processes import Deployment, WorkerPlan
from merlintrail.lab.relay import TcpRelay

#: Data centres over which the nodes are spread.
DATA_CENTRES: Final = ('dc-0', 'dc-1', 'dc-2', 'dc-3')
#: Direction in which the relays of some nodes drop traffic.
DROPPED_DIRECTIONS: Final = ('forward', 'backward', 'both')
#: Nodes for each fault that may be in progress.
NODES_PER_FAULT: Final = 4
#: Seconds between two faults, over the nodes of the deployment.
FAULT_INTERVAL_S: Final = 6.0
#: Seconds between two replacements of a backend server, and for which its
#: address is not used.
REPLACEMENT_INTERVAL_S: Final = 2.0
ADDRESS_PAUSE_S: Final = 2.0
#: Seconds of load after the last fault and change.
RECOVERY_S: Final = 6.0
_POLL_S: Final = 0.05


class ChangeSoakResult(NamedTuple):
    """Findings of one seed."""

    seed: int
    nodes: int
    #: Descriptions of violated guarantees.
    findings: Sequence[str]
    #: Number of injected faults by name.
    faults: Mapping[str, int]
    versions: int
    records: Sequence[RouteRecord]

    def summarise(self) -> dict[str, Any]:
        """Build a summary that can be serialised as JSON."""
        statuses = Counter(str(record.status) for record in self.records)
        return {
            'seed': self.seed,
            'nodes': self.nodes,
            'findings': list(self.findings),
            'faults': dict(self.faults),
            'versions': self.versions,
            'statuses': dict(sorted(statuses.items())),
        }


class _Rig:
    """A deployment whose nodes all have a backend server."""

    def __init__(self, deployment: Deployment, nodes: int, seed: int) -> None:
        self.deployment = deployment
        self.names = tuple(f'node-{number}' for number in range(nodes))
        self.relays = [TcpRelay(direction) for direction in DROPPED_DIRECTIONS]
        self.changes = RouteChanges(
            create_store_client([deployment.store_address]), DATA_CENTRES, seed
        )
        self._rng = random.Random(f'replacements {seed}')

    def start(self) -> None:
        """Start all processes and wait until they serve the first version.

        :raises TimeoutError: when that takes too long.
        """
        deployment = self.deployment
        deployment.start_store()
        plans = [
            WorkerPlan(
                name,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                self.build_backend(name, SERVICES[number % len(SERVICES)]),
            )
            for number, name in enumerate(self.names)
        ]
        deployment.allocate_addresses(plans)
        for relay, name in zip(self.relays, self.names, strict=False):
            relay.target = deployment.override_peer_address(name, relay.address)
        for name in self.names:
            deployment.start_node(name)
        deployment.start_backends(plans)
        deployment.wait_until_listening()
        deployment.wait_until_ready(self.changes.write() or 1)

    def create_faults(self, seed: int) -> FaultInjector:
        """Create the injector, with more faults the more nodes there are."""
        names = self.names
        return FaultInjector(
            FaultTargets(self.deployment, names, names[:1], self.relays, names),
            seed,
            FaultIntensity(
                FAULT_INTERVAL_S / len(names),
                max(1, len(names) // NODES_PER_FAULT),
                has_restores=False,
            ),
        )

    def build_backend(self, name: str, service: str) -> Mapping[str, Any]:
        """Build the plan of a backend server."""
        run_log = self.deployment.folder / f'{name}.{service}.runs'
        return {
            'service': service,
            'slots': 32,
            'service_ms': 20,
            'run_log': str(run_log),
            'has_identity': True,
        }

    async def replace_backends(self, faults: FaultInjector) -> None:
        """Replace backend servers by others until cancelled."""
        while True:
            await asyncio.sleep(
                self._rng.expovariate(1 / REPLACEMENT_INTERVAL_S)
            )
            name = self._rng.choice(self.names)
            service = self._rng.choice(SERVICES)
            await faults.replace_backend(
                name, self.build_backend(name, service), ADDRESS_PAUSE_S
            )

    def read_runs(self) -> Mapping[str, Sequence[RouteRun]]:
        """Read which service began to run which request."""
        runs: defaultdict[str, list[RouteRun]] = defaultdict(list)
        for path in self.deployment.folder.glob('*.runs'):
            service = Path(path.stem).suffix.removeprefix('.')
            for run in read_run_log(path):
                runs[run.label].append(RouteRun(service, run.at))
        return runs


async def _watch_processes(
    rig: _Rig, faults: FaultInjector, ended: set[str]
) -> None:
    """Note nodes that end by themselves until cancelled."""
    while True:
        for name in rig.names:
            has_exited = rig.deployment.has_exited(f'node {name}')
            if has_exited and name not in faults.faulted_targets:
                ended.add(name)
        await asyncio.sleep(_POLL_S)


async def _run_soak(
    rig: _Rig, seed: int, duration_s: float
) -> ChangeSoakResult:
    for relay in rig.relays:
        await relay.start()
    await asyncio.to_thread(rig.start)
    callers = RouteCallers(
        {
            name: worker.call_address
            for name, worker in rig.deployment.workers.items()
        },
        seed,
    )
    faults = rig.create_faults(seed)
    ended: set[str] = set()
    background = [
        asyncio.create_task(work)
        for work in (callers.run(), _watch_processes(rig, faults, ended))
    ]
    replacing = asyncio.create_task(rig.replace_backends(faults))
    crashing = asyncio.create_task(faults.restart_crashed_backends())
    await asyncio.gather(faults.run(duration_s), rig.changes.run(duration_s))
    replacing.cancel()
    await asyncio.sleep(RECOVERY_S)
    for task in (*background, crashing):
        task.cancel()
    await callers.finish()
    for relay in rig.relays:
        relay.stop()
    findings = check_history(
        SoakHistory(
            callers.records,
            rig.read_runs(),
            rig.changes,
            faults.disturbances,
        )
    )
    findings.extend(f'{name} ended by itself' for name in sorted(ended))
    return ChangeSoakResult(
        seed,
        len(rig.names),
        findings,
        faults.counts,
        len(rig.changes.versions),
        callers.records,
    )


def run_change_soak(
    seed: int, nodes: int, duration_s: float, keep_folder: str | None = None
) -> ChangeSoakResult:
    """Run one seed.

    :param keep_folder: existing folder to which the deployment's folder with
        its logs is moved if there are findings.
    """
    deployment = Deployment()
    try:
        result = uvloop.run(
            _run_soak(_Rig(deployment, nodes, seed), seed, duration_s)
        )
        if result.findings and keep_folder is not None:
            deployment.folder.rename(Path(keep_folder) / f'changes-{seed}')
    finally:
        deployment.stop()
    return result
