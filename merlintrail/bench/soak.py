"""Soak test of membership and configuration; run it with ``make soak``.

Nodes are killed and paused, the configuration changes and the store fails.
Afterwards all nodes must agree on the members and the configuration.
"""

import random
import signal
import sys
import time
from collections.abc import Sequence
from typing import Final

import urllib3
from absl import app, flags

from merlintrail.bench._figures import Figure, print_figure
from merlintrail.bench._latency import (
    build_document,
    build_fleet_plans,
    read_memory_bytes,
    start_deployment,
)
from merlintrail.lab.processes import Deployment

_NODES: Final = flags.DEFINE_integer('nodes', 200, 'Number of nodes.')
_SEED: Final = flags.DEFINE_integer('seed', 1, 'Seed of the faults.')
_DURATION: Final = flags.DEFINE_float(
    'duration', 600.0, 'Seconds during which faults are injected.'
)

DATA_CENTRE_COUNT: Final = 6
#: Mean seconds between two faults.
MEAN_FAULT_INTERVAL_S: Final = 2.0
#: Longest pause of a node in seconds.
MAX_PAUSE_S: Final = 8.0
#: Longest outage of the store in seconds.
MAX_OUTAGE_S: Final = 10.0
#: Seconds after the last fault within which all nodes must agree.
AGREEMENT_TIMEOUT_S: Final = 60.0
_BYTES_PER_MB: Final = 1e6


class FleetFaultInjector:
    """Injects random faults into a deployment.

    The first node is neither killed nor paused, because the deployment sends
    operator requests to it by default.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._pause_ends_at: dict[str, float] = {}
        self._outage_ends_at = 0.0
        self._change_count = 0
        #: Number of faults by kind, printed at the end: the names of the
        #: methods without the leading ``_``. Changes of the configuration that
        #: did not succeed are counted as ``refused changes``, too.
        self.faults: dict[str, int] = {}

    def run(self, duration_s: float) -> None:
        """Inject faults for a time, then end all that are still in progress."""
        end = time.monotonic() + duration_s
        actions = (
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._change,
            self._change,
            self._stop_store,
        )
        while time.monotonic() < end:
            self._end_expired_faults(time.monotonic())
            action = self._rng.choice(actions)
            name = action.__name__.strip('_')
            self.faults[name] = self.faults.get(name, 0) + 1
            action()
            time.sleep(MEAN_FAULT_INTERVAL_S * self._rng.uniform(0.5, 1.5))
        self._end_expired_faults(float('inf'))

    def _choose_instance(self) -> str:
        names = [
            name
            for name in self._deployment.workers
            if name not in self._pause_ends_at
        ]
        return self._rng.choice(names[1:])

    def _kill(self) -> None:
        name = self._choose_instance()
        self._deployment.send_signal(f'node {name}', signal.SIGKILL)
        self._deployment.wait_for_exit(f'node {name}')
        self._deployment.start_node(name)

    def _pause(self) -> None:
        name = self._choose_instance()
        self._deployment.send_signal(f'node {name}', signal.SIGSTOP)
        pause_s = self._rng.uniform(0.5, MAX_PAUSE_S)
        self._pause_ends_at[name] = time.monotonic() + pause_s

    def _change(self) -> None:
        self._change_count += 1
        document = build_document(DATA_CENTRE_COUNT)
        document['quarantine'] = {'expiry_s': 600 + self._change_count}
        try:
            self._deployment.apply_configuration(document)
        except (KeyError, urllib3.exceptions.HTTPError):
            self.faults['refused changes'] = (
                self.faults.get('refused changes', 0) + 1
            )

    def _stop_store(self) -> None:
        self._deployment.set_store_faults({'is_down': True})
        outage_s = self._rng.uniform(1, MAX_OUTAGE_S)
        self._outage_ends_at = time.monotonic() + outage_s

    def _end_expired_faults(self, now: float) -> None:
        for name, ends_at in tuple(self._pause_ends_at.items()):
            if ends_at <= now:
                self._deployment.send_signal(f'node {name}', signal.SIGCONT)
                del self._pause_ends_at[name]
        if self._outage_ends_at and self._outage_ends_at <= now:
            self._deployment.set_store_faults({})
            self._outage_ends_at = 0.0


def wait_for_agreement(deployment: Deployment) -> float | None:
    """Wait until all nodes report the same view of the deployment.

    The view consists of the configuration generation, the number of members
    and the member digest.

    :returns: seconds until then, ``None`` after :data:`AGREEMENT_TIMEOUT_S`.
    """
    started_at = time.monotonic()
    expected = len(deployment.workers)
    while time.monotonic() - started_at < AGREEMENT_TIMEOUT_S:
        fleet = deployment.request_admin_api('GET', '/v1/fleet')
        views = {
            (
                status.get('generation'),
                status.get('members'),
                status.get('member_digest'),
            )
            for status in fleet
        }
        if len(fleet) == expected and len(views) == 1:
            return time.monotonic() - started_at
        time.sleep(0.5)
    return None


def _measure_memory(deployment: Deployment) -> float:
    """Return the mean resident memory of the nodes in MB."""
    sizes = [
        read_memory_bytes(deployment.read_process_id(f'node {name}'))
        for name in deployment.workers
    ]
    return sum(sizes) / len(sizes) / _BYTES_PER_MB


def _run(_: Sequence[str]) -> int:
    deployment = start_deployment(
        build_fleet_plans(_NODES.value, DATA_CENTRE_COUNT), DATA_CENTRE_COUNT
    )
    try:
        memory_before = _measure_memory(deployment)
        injector = FleetFaultInjector(deployment, _SEED.value)
        injector.run(_DURATION.value)
        agreement_s = wait_for_agreement(deployment)
        memory_after = _measure_memory(deployment)
    finally:
        deployment.stop()
    sys.stderr.write(f'faults: {injector.faults}\n')
    print_figure(
        Figure('soak.agreement_s', agreement_s, 's', AGREEMENT_TIMEOUT_S)
    )
    print_figure(
        Figure('soak.memory_mb', memory_after, 'MB', 64, memory_before)
    )
    return 1 if agreement_s is None else 0


if __name__ == '__main__':
    app.run(_run)
