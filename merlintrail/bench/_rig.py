"""Test rig of the overload benchmarks."""

import time
from typing import Any

import orjson
import urllib3

from merlintrail.bench._deployments import BenchDeployment
from merlintrail.bench._forwarder import ForwarderPlan
from merlintrail.lab.processes import Deployment


class Rig:
    """Runs a bench deployment, with nodes or with baseline forwarders."""

    def __init__(
        self, bench_deployment: BenchDeployment, *, is_baseline: bool
    ) -> None:
        self._bench_deployment = bench_deployment
        self._is_baseline = is_baseline
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.deployment = Deployment(log_level='warning')

    def start(self) -> None:
        """Start all processes.

        Return once all nodes are ready, or after 2 s with forwarders.
        """
        plans = self._bench_deployment.build_plans()
        if self._is_baseline:
            self.deployment.allocate_addresses(plans)
            self._start_forwarders()
            self.deployment.start_backends(plans)
            time.sleep(2)
            return
        self.deployment.start_store()
        self.deployment.start_workers(plans)
        self.deployment.wait_until_listening()
        generation = self.deployment.apply_configuration(
            self._bench_deployment.build_document()
        )
        self.deployment.wait_until_ready(generation)

    def list_deepest_instances(self) -> list[str]:
        """Return the instances of the deepest service."""
        return [
            instance
            for instance in self.deployment.workers
            if instance.startswith(self._bench_deployment.deepest)
        ]

    def count_retries(self) -> int:
        """Return the number of retries by all nodes or forwarders."""
        if self._is_baseline:
            return sum(
                orjson.loads(
                    self._http.request(
                        'GET', f'http://{worker.call_address}/-/retries'
                    ).data
                )
                for worker in self.deployment.workers.values()
            )
        return sum(
            _sum_metric(
                self.deployment.request_admin_api(
                    'GET', '/v1/metrics', instance=instance
                ),
                'merlintrail.retries',
            )
            for instance in self.deployment.workers
        )

    def count_started_requests(self) -> int:
        """Return the number of requests started by the running backend servers.

        The count of a backend server is lost when it is killed.
        """
        started = 0
        for instance in self.deployment.workers:
            counts = self.deployment.control_backend(instance)['counts']
            started += counts.get('begun', 0)
        return started

    def _start_forwarders(self) -> None:
        table: dict[str, list[str]] = {}
        for instance, worker in self.deployment.workers.items():
            service = instance.rpartition('-')[0]
            table.setdefault(service, []).append(worker.peer_address)
        for instance, worker in self.deployment.workers.items():
            plan = ForwarderPlan(
                worker.call_address,
                worker.peer_address,
                worker.backend_address,
                table,
            )
            self.deployment.start_process(
                f'node {instance}',
                '-m',
                'merlintrail.bench._forwarder',
                f'--plan={orjson.dumps(plan._asdict()).decode()}',
            )


def _sum_metric(document: Any, name: str) -> int:
    total = 0
    for part in document.get('resource_metrics', ()):
        for scope in part['scope_metrics']:
            for metric in scope['metrics']:
                if metric['name'] == name:
                    points = metric['data']['data_points']
                    total += sum(point['value'] for point in points)
    return total
