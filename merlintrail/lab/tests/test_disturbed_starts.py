"""Starts of a node beside signals, changing settings and an earlier process."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, Final

from merlintrail.lab._ports import HOST, find_free_ports
from merlintrail.lab.processes import FLEET_KEY, OPERATOR_KEY

#: Limit in seconds on each wait for a condition.
WAIT_LIMIT_S: Final = 30.0
_POLL_S: Final = 0.02


class DisturbedStartTest(unittest.TestCase):
    """The process of a node runs on whatever happens while it starts."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'node.json'
        self.log_path = Path(folder.name) / 'node.log'
        self.ports = find_free_ports(4)
        call, peer, admin, store = (f'{HOST}:{port}' for port in self.ports)
        self.settings: dict[str, Any] = {
            'instance': 'one',
            'data_centre': 'dc-0',
            'call_address': call,
            'peer_address': peer,
            'admin_address': admin,
            'store_addresses': [store],
            'fleet_key': FLEET_KEY,
            'operator_keys': [{'name': 'lab', 'key': OPERATOR_KEY}],
            'log': {'path': str(self.log_path)},
        }
        self.path.write_text(json.dumps(self.settings))

    def test_reload_signal_while_loading(self) -> None:
        """SIGHUP to a process that is still loading does not end it."""
        process = self._start()
        self._wait_for_port(process, self.ports[0])
        process.send_signal(signal.SIGHUP)
        self._wait_for_port(process, self.ports[2])

    def test_settings_that_are_being_replaced(self) -> None:
        """A settings file that is incomplete at the start is read again."""
        text = self.path.read_text()
        for incomplete in ('', text[:100]):
            with self.subTest(length=len(incomplete)):
                self.path.write_text(incomplete)
                process = self._start()
                assert process.stderr is not None
                self.assertIn(b'not JSON', process.stderr.readline())
                self.path.write_text(text)
                self._wait_for_port(process, self.ports[2])
                _end(process)

    def test_address_of_the_process_before(self) -> None:
        """An address that is still in use is waited for."""
        for port in self.ports[:3]:
            with self.subTest(address=self.ports.index(port)):
                before = socket.create_server((HOST, port))
                process = self._start()
                self._wait_for_log('address in use')
                before.close()
                for other in self.ports[:3]:
                    self._wait_for_port(process, other)
                _end(process)
                self.log_path.unlink()

    def _wait_for_log(self, message: str) -> None:
        """Wait until the process has logged a message."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < deadline:
            if self.log_path.exists() and message in self.log_path.read_text():
                return
            time.sleep(_POLL_S)
        self.fail(f'never logged: {message}')

    def _start(self) -> 'subprocess.Popen[bytes]':
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'merlintrail.daemon',
                f'--settings={self.path}',
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(_end, process)
        return process

    def _wait_for_port(
        self, process: 'subprocess.Popen[bytes]', port: int
    ) -> None:
        """Wait until the process listens on a port."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < deadline:
            self.assertIsNone(process.poll(), 'the process ended')
            with socket.socket() as probe:
                if probe.connect_ex((HOST, port)) == 0:
                    return
            time.sleep(_POLL_S)
        self.fail(f'nobody listens on port {port}')


def _end(process: 'subprocess.Popen[bytes]') -> None:
    process.kill()
    process.wait()
    if process.stderr is not None:
        process.stderr.close()
