"""Real processes while the store is down, and while nodes are replaced."""

import signal
import time
import unittest
from collections.abc import Callable
from typing import Any

import orjson
import urllib3

from merlintrail.lab.example import build_document
from merlintrail.lab.processes import Deployment, WorkerPlan

#: Seconds within which anything must have happened.
_PATIENCE_S = 30.0
_DESK = {'service': 'chartdesk', 'slots': 8, 'service_ms': 2}


class OutageTest(unittest.TestCase):
    """Three workers in two data centres."""

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.start_store()
        self.deployment.start_workers(
            [
                WorkerPlan('one', 'marmara-1', _DESK),
                WorkerPlan('two', 'marmara-2', _DESK),
                WorkerPlan('three', 'marmara-1', None),
            ]
        )
        self.deployment.wait_until_listening()
        generation = self.deployment.apply_configuration(build_document())
        self.deployment.wait_until_ready(generation)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for something that must come."""
        deadline = time.monotonic() + _PATIENCE_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, condition)
            time.sleep(0.05)

    def call(self, instance: str, path: str = '/chartdesk/sync') -> Any:
        """Send a request to a node; 0 when it does not listen."""
        address = self.deployment.workers[instance].call_address
        try:
            return self.http.request('POST', f'http://{address}{path}')
        except urllib3.exceptions.HTTPError:
            return None

    def is_served(self, instance: str) -> bool:
        """Tell whether a node serves a request."""
        answer = self.call(instance)
        return answer is not None and answer.status == 200

    def test_node_starts_while_the_store_is_down(self) -> None:
        """It gets configuration and members from its neighbours."""
        self.deployment.set_store_faults({'is_down': True})
        self.deployment.send_signal('node three', signal.SIGKILL)
        self.deployment.wait_for_exit('node three')
        self.deployment.start_node('three')
        self.wait_until(lambda: self.is_served('three'))
        keyed = self.http.request(
            'POST',
            f'http://{self.deployment.workers["three"].call_address}'
            '/fitadvisor/credits',
            headers={'Idempotency-Key': 'k'},
        )
        self.assertEqual(keyed.status, 503)
        self.assertEqual(keyed.headers['Merlintrail-Outcome'], 'not-run')

    def test_node_without_store_and_peers_says_why(self) -> None:
        """It serves nothing and tells the reason."""
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

    def test_store_with_an_older_document_changes_nothing(self) -> None:
        """What is in force stays, whatever the store offers."""
        document = {**build_document(), 'retry_budget': {'share': 0.2}}
        newest = self.deployment.apply_configuration(document)
        self.deployment.wait_until_ready(newest)
        self.deployment.set_store_faults({'is_stale': True})
        self.deployment.send_signal('node three', signal.SIGKILL)
        self.deployment.wait_for_exit('node three')
        self.deployment.start_node('three')
        self.deployment.wait_until_ready(newest)

    def test_sigterm_ends_a_node_without_a_cut(self) -> None:
        """It ends by itself with status 0, and the others go on."""
        self.deployment.send_signal('node one', signal.SIGTERM)
        statuses = set()
        deadline = time.monotonic() + 2
        while time.monotonic() < deadline:
            statuses.add(self.call('three').status)
        self.assertEqual(statuses, {200})
        self.assertEqual(self.deployment.wait_for_exit('node one'), 0)
