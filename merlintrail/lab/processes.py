"""A small deployment of real processes on one machine."""

import time
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import orjson
import urllib3

from merlintrail.lab._ports import HOST, find_free_ports
from merlintrail.lab.process_group import ProcessGroup

#: Key of the operator in deployments of the lab.
OPERATOR_KEY: Final = 'lab-operator-key'
FLEET_KEY: Final = 'lab-fleet-key'
#: Seconds to wait for a deployment to be ready.
READY_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05
_OK: Final = 200
_UNAUTHORIZED: Final = 401


class Worker(NamedTuple):
    """A node and the backend server beside it."""

    instance: str
    data_centre: str
    call_address: str
    peer_address: str
    admin_address: str
    backend_address: str


class WorkerPlan(NamedTuple):
    """What one worker runs."""

    instance: str
    data_centre: str
    #: Members of :class:`BackendPlan`, without addresses; ``None`` for a
    #: node without a backend server.
    backend: Mapping[str, Any] | None


class Deployment(ProcessGroup):
    """Starts, controls and ends the processes."""

    def __init__(self, *, log_level: str = 'info') -> None:
        super().__init__()
        self._log_level = log_level
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._plans: dict[str, WorkerPlan] = {}
        self._listening: dict[str, str] = {}
        #: Workers by instance.
        self.workers: dict[str, Worker] = {}
        self.store_address = f'{HOST}:{find_free_ports(1)[0]}'

    def start_store(self) -> None:
        """Start the store stand-in."""
        port = self.store_address.rpartition(':')[2]
        self.start_process(
            'store', '-m', 'merlintrail.lab.store', f'--port={port}'
        )
        self._wait_for(f'http://{self.store_address}/v1/counts')

    def start_workers(self, plans: Sequence[WorkerPlan]) -> None:
        """Start nodes and their backend servers."""
        self.allocate_addresses(plans)
        for plan in plans:
            self.start_node(plan.instance)
        self.start_backends(plans)

    def allocate_addresses(self, plans: Sequence[WorkerPlan]) -> None:
        """Give workers their addresses without starting them."""
        ports = iter(find_free_ports(4 * len(plans)))
        for plan in plans:
            addresses = [f'{HOST}:{next(ports)}' for _ in range(4)]
            worker = Worker(plan.instance, plan.data_centre, *addresses)
            self.workers[plan.instance] = worker
            self._plans[plan.instance] = plan

    def start_backends(self, plans: Sequence[WorkerPlan]) -> None:
        """Start the backend servers of workers that are placed."""
        for plan in plans:
            if plan.backend is not None:
                self.start_backend(plan.instance)

    def override_peer_address(self, instance: str, address: str) -> str:
        """Let a node be known to others by another peer address.

        :returns: the address that it listens on itself.
        """
        worker = self.workers[instance]
        self._listening[instance] = worker.peer_address
        self.workers[instance] = worker._replace(peer_address=address)
        return worker.peer_address

    def start_node(self, instance: str) -> None:
        """Start, or start again, the node of a worker."""
        worker = self.workers[instance]
        path = self.folder / f'{instance}.json'
        path.write_bytes(orjson.dumps(self._build_settings(worker)))
        self.start_process(
            f'node {instance}',
            '-m',
            'merlintrail.daemon',
            f'--settings={path}',
        )

    def start_backend(self, instance: str) -> None:
        """Start, or start again, the backend server of a worker."""
        worker = self.workers[instance]
        plan = self._plans[instance].backend or {}
        document = {
            **plan,
            'address': worker.backend_address,
            'node_address': worker.call_address,
        }
        self.start_process(
            f'backend {instance}',
            '-m',
            'merlintrail.lab.backend',
            f'--plan={orjson.dumps(document).decode()}',
        )

    def apply_configuration(self, document: Mapping[str, Any]) -> int:
        """Put a document in force over the administration API."""
        seen = self.request_admin_api('GET', '/v1/configuration')['generation']
        answer = self.request_admin_api(
            'POST',
            '/v1/configuration',
            {'document': document, 'seen_generation': seen},
        )
        generation: int = answer['generation']
        return generation

    def request_admin_api(
        self,
        method: str,
        path: str,
        document: object = None,
        instance: str | None = None,
    ) -> Any:
        """Ask a node's administration API."""
        worker = self.workers[instance or next(iter(self.workers))]
        answer = self._http.request(
            method,
            f'http://{worker.admin_address}{path}',
            body=None if document is None else orjson.dumps(document),
            headers={'Authorization': f'Bearer {OPERATOR_KEY}'},
        )
        return orjson.loads(answer.data)

    def control_backend(
        self, instance: str, change: Mapping[str, Any] | None = None
    ) -> Any:
        """Change a backend server stand-in, or read its counts."""
        address = self.workers[instance].backend_address
        answer = self._http.request(
            'GET' if change is None else 'POST',
            f'http://{address}/-/control',
            body=None if change is None else orjson.dumps(change),
        )
        return orjson.loads(answer.data)

    def set_store_faults(self, faults: Mapping[str, Any]) -> None:
        """Switch faults of the store on or off."""
        self._http.request(
            'POST',
            f'http://{self.store_address}/v1/faults',
            body=orjson.dumps(faults),
        )

    def read_store_counts(self) -> Mapping[str, int]:
        """Return the store's calls by kind."""
        answer = self._http.request(
            'GET', f'http://{self.store_address}/v1/counts'
        )
        counts: Mapping[str, int] = orjson.loads(answer.data)
        return counts

    def wait_until_listening(self) -> None:
        """Wait until the first node answers operators.

        :raises TimeoutError: when that takes too long.
        """
        worker = next(iter(self.workers.values()))
        self._wait_for(f'http://{worker.admin_address}/', _UNAUTHORIZED)

    def wait_until_ready(self, generation: int) -> None:
        """Wait until every node knows everything.

        :raises TimeoutError: when that takes too long.
        """
        expected = len(self.workers)
        backends = sum(1 for plan in self._plans.values() if plan.backend)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(
                self._is_ready(instance, generation, expected, backends)
                for instance in self.workers
            ):
                return
            time.sleep(_POLL_S)
        raise TimeoutError('the deployment did not become ready')

    def _is_ready(
        self, instance: str, generation: int, members: int, backends: int
    ) -> bool:
        try:
            status = self.request_admin_api(
                'GET', '/v1/status', instance=instance
            )
            known = self.request_admin_api(
                'GET', '/v1/members', instance=instance
            )
        except (urllib3.exceptions.HTTPError, orjson.JSONDecodeError):
            return False
        ready = sum(
            1
            for member in known
            for offer in member['offers']
            if offer['is_ready'] and member['status'] == 'alive'
        )
        return bool(
            status['generation'] >= generation
            and status['members'] >= members
            and ready >= backends
        )

    def _wait_for(self, url: str, status: int = _OK) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if self._http.request('GET', url).status == status:
                    return
            except urllib3.exceptions.HTTPError:
                time.sleep(_POLL_S)
        raise TimeoutError(url)

    def _build_settings(self, worker: Worker) -> Mapping[str, Any]:
        listening = self._listening.get(worker.instance)
        hidden = {} if listening is None else {'peer_listen_address': listening}
        return {
            **hidden,
            'instance': worker.instance,
            'data_centre': worker.data_centre,
            'call_address': worker.call_address,
            'peer_address': worker.peer_address,
            'admin_address': worker.admin_address,
            'store_addresses': [self.store_address],
            'join': [
                other.peer_address
                for other in list(self.workers.values())[:3]
                if other.instance != worker.instance
            ],
            'fleet_key': FLEET_KEY,
            'operator_keys': [{'name': 'lab', 'key': OPERATOR_KEY}],
            'log': {
                'path': str(self.folder / f'{worker.instance}.log'),
                'level': self._log_level,
            },
        }
