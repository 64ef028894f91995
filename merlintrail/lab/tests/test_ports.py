"""Allocation of ports within a process and between processes."""

import socket
import subprocess
import sys
import unittest

from merlintrail.lab._ports import BLOCK_PORTS, HOST, LAST_PORT, find_free_ports

_PRINT_PORTS = (
    'from merlintrail.lab._ports import find_free_ports\n'
    'print(*find_free_ports(100), flush=True)\n'
    'input()\n'
)


class PortsTest(unittest.TestCase):
    """No port is allocated twice, and none from the ephemeral range."""

    def test_ports_of_one_process(self) -> None:
        """More ports than one block has are distinct, and none is in use."""
        with socket.socket() as occupied:
            occupied.bind((HOST, find_free_ports(1)[0] + 1))
            ports = find_free_ports(BLOCK_PORTS + 10)
            self.assertNotIn(occupied.getsockname()[1], ports)
        self.assertEqual(len(set(ports)), len(ports))
        self.assertLessEqual(max(ports), LAST_PORT)

    def test_ports_of_two_processes(self) -> None:
        """Ports allocated by a running process are not allocated by another."""
        with subprocess.Popen(
            [sys.executable, '-c', _PRINT_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other_process:
            assert other_process.stdout is not None
            other_ports = {
                int(port) for port in other_process.stdout.readline().split()
            }
            own_ports = set(find_free_ports(BLOCK_PORTS))
            other_process.communicate('\n', timeout=10)
        self.assertEqual(len(other_ports), 100)
        self.assertFalse(other_ports & own_ports)
