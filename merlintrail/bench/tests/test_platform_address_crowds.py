"""Crowds at the addresses for readiness checks and heartbeats."""

import time
from collections.abc import Mapping
from typing import Any, Final

import urllib3

from merlintrail.bench.tests.crowd import (
    ATTEMPTS,
    INSTANCE,
    SmallMachineTestCase,
    build_request,
    build_short_lines,
)
from merlintrail.lab._ports import HOST, find_free_ports
from merlintrail.lab.processes import WorkerPlan
from merlintrail.platform._heartbeats import _HEARTBEAT_PATH, _LEAVE_PATH

_UNAVAILABLE: Final = 503
#: Seconds between two questions of the platform for readiness.
_CHECK_INTERVAL_S: Final = 1.0
#: Bytes of a body within the default limit of a mebibyte.
_BODY_BYTES: Final = 900_000


class PlatformAddressTest(SmallMachineTestCase):
    """The addresses for readiness checks and for heartbeats.

    The store does not speak the platform's language, so that the node has no
    configuration; its addresses are served all the same.
    """

    def build_settings(self) -> Mapping[str, Any]:
        """Build the settings of a platform."""
        ready_port, announce_port, backend_port = find_free_ports(3)
        self.ready_address = f'{HOST}:{ready_port}'
        self.announce_address = f'{HOST}:{announce_port}'
        return {
            'platform': {
                'ready_address': self.ready_address,
                'announce_address': self.announce_address,
                'service': 'echo',
                'backend_address': f'{HOST}:{backend_port}',
                'regions': {'dc': 'one'},
                'stop_grace': '6s',
                'retry_share': 0.2,
                'retry_base': 50,
                'retry_window': '10s',
            }
        }

    def start_nodes(self) -> None:
        """Start a node, and wait until it listens."""
        self.deployment.start_workers([WorkerPlan(INSTANCE, 'dc', None)])
        self.deployment.wait_until_listening()

    def check_ordinary_request(self) -> None:
        """Check that a question for readiness, one a second, is answered."""
        ends: list[int] = []
        with urllib3.PoolManager(retries=False, timeout=5.0) as http:
            while len(ends) < ATTEMPTS and _UNAVAILABLE not in ends:
                time.sleep(_CHECK_INTERVAL_S if ends else 0)
                ends.append(self._ask(http))
        self.assertIn(_UNAVAILABLE, ends)

    def test_heads_take_all_memory(self) -> None:
        """300 unfinished heads at each address."""
        head = build_request(build_short_lines(16000)).removesuffix(b'\r\n')
        self.send_to_both(head)

    def test_bodies_take_all_memory(self) -> None:
        """300 bodies that lack their last bytes at each address."""
        payload = build_request(
            body=bytes(_BODY_BYTES), target=f'{_HEARTBEAT_PATH}i'.encode()
        )
        self.send_to_both(payload[:-500])

    def test_requests_take_all_memory(self) -> None:
        """Many requests behind each other."""
        request = build_request(body=b'{}', target=f'{_LEAVE_PATH}i'.encode())
        self.send_to_both(request * 2000)

    def test_connections_take_all_descriptors(self) -> None:
        """Silent ones."""
        self.send_to_both(b'')

    def send_to_both(self, payload: bytes) -> None:
        """Send bytes on 300 connections to both addresses."""
        crowds = []
        for address in (self.announce_address, self.ready_address):
            crowd = self.open_crowd(address, 300)
            crowd.send(payload, 5)
            crowds.append(crowd)
        self.check_node(crowds)

    def _ask(self, http: urllib3.PoolManager) -> int:
        url = f'http://{self.ready_address}/ready'
        try:
            return http.request('GET', url).status
        except urllib3.exceptions.HTTPError:
            return 0
