"""Deployments of real processes on one machine."""

import time
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import orjson
import urllib3

from merlintrail.lab._ports import HOST, find_free_ports
from merlintrail.lab.process_group import ProcessGroup

#: Key of the operator in every deployment.
OPERATOR_KEY: Final = 'lab-operator-key'
#: Key that the nodes of a deployment share.
FLEET_KEY: Final = 'lab-fleet-key'
#: Seconds to wait for a process to respond or for a deployment to be ready.
READY_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05
_OK: Final = 200
_UNAUTHORIZED: Final = 401


class Worker(NamedTuple):
    """Addresses of one node and of the backend server beside it."""

    instance: str
    data_centre: str
    call_address: str
    peer_address: str
    admin_address: str
    backend_address: str


class WorkerPlan(NamedTuple):
    """Configuration of one worker: a node and its backend server."""

    instance: str
    data_centre: str
    #: Fields of :class:`~merlintrail.lab.backend.BackendPlan` without the
    #: addresses; ``None`` for a node without a backend server.
    backend: Mapping[str, Any] | None


class Deployment(ProcessGroup):
    """Store, nodes and backend servers of one deployment."""

    def __init__(
        self,
        *,
        log_level: str = 'info',
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        """Initialize without processes.

        :param settings: fields that the settings of each node have besides.
        """
        super().__init__()
        self._log_level = log_level
        self._settings = settings or {}
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._plans: dict[str, WorkerPlan] = {}
        #: Peer addresses that nodes listen on, by instance, where they
        #: differ from the advertised ones.
        self._listen_addresses: dict[str, str] = {}
        #: Workers by instance.
        self.workers: dict[str, Worker] = {}
        self.store_address = f'{HOST}:{find_free_ports(1)[0]}'

    def start_store(self) -> None:
        """Start the fake store and wait until it responds.

        :raises TimeoutError: when that takes too long.
        """
        port = self.store_address.rpartition(':')[2]
        self.start_process(
            'store', '-m', 'merlintrail.lab.store', f'--port={port}'
        )
        self._wait_for_status(f'http://{self.store_address}/v1/counts')

    def start_workers(self, plans: Sequence[WorkerPlan]) -> None:
        """Allocate addresses, then start nodes and their backend servers."""
        self.allocate_addresses(plans)
        for plan in plans:
            self.start_node(plan.instance)
        self.start_backends(plans)

    def allocate_addresses(self, plans: Sequence[WorkerPlan]) -> None:
        """Allocate the addresses of workers without starting them."""
        ports = iter(find_free_ports(4 * len(plans)))
        for plan in plans:
            addresses = [f'{HOST}:{next(ports)}' for _ in range(4)]
            worker = Worker(plan.instance, plan.data_centre, *addresses)
            self.workers[plan.instance] = worker
            self._plans[plan.instance] = plan

    def start_backends(self, plans: Sequence[WorkerPlan]) -> None:
        """Start the backend servers of workers that have addresses."""
        for plan in plans:
            if plan.backend is not None:
                self.start_backend(plan.instance)

    def change_plan(self, instance: str, change: Mapping[str, Any]) -> None:
        """Change fields of the plan by which a backend server is started."""
        plan = self._plans[instance]
        self._plans[instance] = plan._replace(
            backend={**(plan.backend or {}), **change}
        )

    def override_peer_address(self, instance: str, address: str) -> str:
        """Advertise another peer address of a node, such as that of a relay.

        It takes effect when the node is started.

        :returns: the peer address that the node still listens on.
        """
        worker = self.workers[instance]
        self._listen_addresses[instance] = worker.peer_address
        self.workers[instance] = worker._replace(peer_address=address)
        return worker.peer_address

    def start_node(self, instance: str) -> None:
        """Start or restart the node of a worker."""
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
        """Start or restart the backend server of a worker."""
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
        """Apply a configuration over the administration API.

        :returns: the generation of the configuration.
        """
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
        """Send a request to the administration API of a node.

        :param instance: the instance of the node; ``None`` for the first.
        :returns: the decoded JSON document of the response.
        """
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
        """Change the behaviour of a fake backend server, or read its counts.

        :param change: new values of the fields to change; ``None`` to
            change nothing.
        :returns: the counts and executions of the backend server.
        """
        address = self.workers[instance].backend_address
        answer = self._http.request(
            'GET' if change is None else 'POST',
            f'http://{address}/-/control',
            body=None if change is None else orjson.dumps(change),
        )
        return orjson.loads(answer.data)

    def set_store_faults(self, faults: Mapping[str, Any]) -> None:
        """Replace the active faults of the store.

        :param faults: fields of ``Faults``; those left out are switched off.
        """
        self._http.request(
            'POST',
            f'http://{self.store_address}/v1/faults',
            body=orjson.dumps(faults),
        )

    def copy_store(self) -> None:
        """Make the store remember what it holds, to be restored later."""
        self._http.request('POST', f'http://{self.store_address}/v1/copy')

    def restore_store(self) -> None:
        """Make the store return to the last copy of what it held."""
        self._http.request('PUT', f'http://{self.store_address}/v1/copy')

    def read_store_counts(self) -> Mapping[str, int]:
        """Return the number of requests to the store by kind."""
        answer = self._http.request(
            'GET', f'http://{self.store_address}/v1/counts'
        )
        counts: Mapping[str, int] = orjson.loads(answer.data)
        return counts

    def wait_until_listening(self) -> None:
        """Wait until the administration API of the first node responds.

        :raises TimeoutError: when that takes too long.
        """
        worker = next(iter(self.workers.values()))
        self._wait_for_status(f'http://{worker.admin_address}/', _UNAUTHORIZED)

    def wait_until_ready(self, generation: int) -> None:
        """Wait until every node has received the initial state.

        Each node must have the configuration, list every node as a member
        and list as many ready backend servers of live members as there are.

        :param generation: the oldest generation of the configuration that
            is accepted.
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
            listed_members = self.request_admin_api(
                'GET', '/v1/members', instance=instance
            )
        except (urllib3.exceptions.HTTPError, orjson.JSONDecodeError):
            return False
        ready = sum(
            1
            for member in listed_members
            for offer in member['offers']
            if offer['is_ready'] and member['status'] == 'alive'
        )
        return bool(
            status['generation'] >= generation
            and status['members'] >= members
            and ready >= backends
        )

    def _wait_for_status(self, url: str, status: int = _OK) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if self._http.request('GET', url).status == status:
                    return
            except urllib3.exceptions.HTTPError:
                time.sleep(_POLL_S)
        raise TimeoutError(url)

    def _build_settings(self, worker: Worker) -> Mapping[str, Any]:
        listen_address = self._listen_addresses.get(worker.instance)
        override = (
            {}
            if listen_address is None
            else {'peer_listen_address': listen_address}
        )
        return {
            **self._settings,
            **override,
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
