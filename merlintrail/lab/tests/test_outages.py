"""Store outages and node restarts in a deployment of real processes."""

import signal
import time
import unittest
from collections.abc import Callable
from typing import Any

import orjson
import urllib3

from merlintrail.lab.example import build_document
from merlintrail.lab.processes import Deployment, WorkerPlan

#: Seconds within which an awaited condition must hold.
_TIMEOUT_S = 30.0
_CHARTDESK_BACKEND = {'service': 'chartdesk', 'slots': 8, 'service_ms': 2}


class OutageTest(unittest.TestCase):
    """Three nodes in two data centres, two of them with backend servers."""

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.start_store()
        self.deployment.start_workers(
            [
                WorkerPlan('one', 'marmara-1', _CHARTDESK_BACKEND),
                WorkerPlan('two', 'marmara-2', _CHARTDESK_BACKEND),
                WorkerPlan('three', 'marmara-1', None),
            ]
        )
        self.deployment.wait_until_listening()
        generation = self.deployment.apply_configuration(build_document())
        self.deployment.wait_until_ready(generation)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; fail after the timeout."""
        deadline = time.monotonic() + _TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, condition)
            time.sleep(0.05)

    def call(self, instance: str, path: str = '/chartdesk/sync') -> Any:
        """Send a request to a node; return ``None`` when there is no answer."""
        address = self.deployment.workers[instance].call_address
        try:
            return self.http.request('POST', f'http://{address}{path}')
        except urllib3.exceptions.HTTPError:
            return None

    def is_served(self, instance: str) -> bool:
        """Return whether a request to a node succeeds."""
        answer = self.call(instance)
        return answer is not None and answer.status == 200

    def test_node_starts_while_the_store_is_down(self) -> None:
        """A node that starts without the store gets its state from peers.

        It serves requests with the configuration and members of its peers.
        A keyed request needs the store and is refused without being run.
        """
        self.deployment.set_store_faults({'is_down': True})
        self.deployment.send_signal('node three', signal.SIGKILL)
        self.deployment.wait_for_exit('node three')
        self.deployment.start_node('three')
        self.wait_until(lambda: self.is_served('three'))
        keyed_answer = self.http.request(
            'POST',
            f'http://{self.deployment.workers["three"].call_address}'
            '/fitadvisor/credits',
            headers={'Idempotency-Key': 'k'},
        )
        self.assertEqual(keyed_answer.status, 503)
        self.assertEqual(keyed_answer.headers['Merlintrail-Outcome'], 'not-run')

    def test_node_without_store_and_peers_reports_reason(self) -> None:
        """A node without any source of a configuration reports that.

        It refuses requests with that reason, and its health endpoint states it.
        """
        self.deployment.set_store_faults({'is_down': True})
        for name in ('one', 'two', 'three'):
            self.deployment.send_signal(f'node {name}', signal.SIGKILL)
            self.deployment.wait_for_exit(f'node {name}')
        self.deployment.start_node('three')
        self.wait_until(lambda: self.call('three') is not None)
        answer = self.call('three')
        self.assertEqual(answer.status, 503)
        self.assertEqual(
            answer.headers['Merlintrail-Reason'], 'no-configuration'
        )
        health = orjson.loads(self.call('three', '/-/health').data)
        self.assertEqual(health['reasons'], ['no configuration yet'])

    def test_stale_store_does_not_roll_back_configuration(self) -> None:
        """A restarted node takes the newest configuration from its peers.

        Guards against a rollback when the store returns the document of an
        earlier generation.
        """
        document = {**build_document(), 'retry_budget': {'share': 0.2}}
        newest_generation = self.deployment.apply_configuration(document)
        self.deployment.wait_until_ready(newest_generation)
        self.deployment.set_store_faults({'is_stale': True})
        self.deployment.send_signal('node three', signal.SIGKILL)
        self.deployment.wait_for_exit('node three')
        self.deployment.start_node('three')
        self.deployment.wait_until_ready(newest_generation)

    def test_sigterm_stops_node_without_failed_requests(self) -> None:
        """A node exits with 0 after SIGTERM, and requests do not fail.

        Requests are sent to another node for 2 seconds after the signal.
        """
        self.deployment.send_signal('node one', signal.SIGTERM)
        statuses = set()
        deadline = time.monotonic() + 2
        while time.monotonic() < deadline:
            statuses.add(self.call('three').status)
        self.assertEqual(statuses, {200})
        self.assertEqual(self.deployment.wait_for_exit('node one'), 0)
