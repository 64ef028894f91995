"""Signals that stop a process cut nothing that it has taken."""

import asyncio
import signal
import socket
import unittest
from typing import Final

from merlintrail.lab.processes import Deployment, WorkerPlan

_BODY: Final = b'x' * 900_000
_WINDOW_BYTES: Final = 16384
#: Seconds for which the caller pauses between two parts of an answer.
_PAUSE_S: Final = 0.005
_PART_BYTES: Final = 8192
#: Seconds after which the process is told to stop, while answers are read.
_STOP_AFTER_S: Final = 0.2
_ANSWERS: Final = 8
_HEAD_END: Final = b'\r\n\r\n'
_DOCUMENT: Final = {
    'format': 1,
    'services': [
        {
            'name': 'echo',
            'kinds': [
                {
                    'name': 'x',
                    'path': '/x',
                    'importance': 'high',
                    'idempotent': True,
                    'deadline_ms': 10000,
                    'retries': 0,
                }
            ],
        }
    ],
    'regions': [{'name': 'region', 'data_centres': ['dc']}],
}


def _start(deployment: Deployment) -> None:
    """Start a store and one node with a server that echoes bodies."""
    plan = WorkerPlan(
        'one', 'dc', {'service': 'echo', 'slots': 8, 'service_ms': 20}
    )
    deployment.start_store()
    deployment.start_workers([plan])
    deployment.wait_until_listening()
    deployment.wait_until_ready(deployment.apply_configuration(_DOCUMENT))


async def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def _read_slowly(sock: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    received = b''
    while part := await loop.sock_recv(sock, _PART_BYTES):
        received += part
        await asyncio.sleep(_PAUSE_S)
    return received


async def _exchange(deployment: Deployment, signal_number: int) -> bytes:
    """Send large requests at once, and stop the node while one is read."""
    sock = await _connect(deployment.workers['one'].call_address)
    head = f'POST /echo/x HTTP/1.1\r\nhost: a\r\ncontent-length: {len(_BODY)}'
    request = head.encode() + _HEAD_END + _BODY
    loop = asyncio.get_running_loop()
    sending = asyncio.create_task(loop.sock_sendall(sock, _ANSWERS * request))
    loop.call_later(
        _STOP_AFTER_S, deployment.send_signal, 'node one', signal_number
    )
    with sock:
        async with asyncio.timeout(30):
            received = await _read_slowly(sock)
    await sending
    return received


async def _call_starting_node(deployment: Deployment) -> bytes:
    """Send a request while a node is loading, and stop the node."""
    address = deployment.workers['one'].call_address
    deployment.start_node('one')
    while True:
        try:
            sock = await _connect(address)
        except OSError:
            await asyncio.sleep(_PAUSE_S)
        else:
            break
    deployment.send_signal('node one', signal.SIGTERM)
    with sock:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(
            sock, b'GET /echo/x HTTP/1.1\r\nhost: a\r\n\r\n'
        )
        async with asyncio.timeout(30):
            return await _read_slowly(sock)


class SignalTest(unittest.TestCase):
    """A far caller reads large answers while the process is told to stop."""

    def test_stop_signals_cut_answers_that_are_read_slowly(self) -> None:
        """All requests were sent whole, and all answers arrive whole."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                self._check(number)

    def test_stop_signal_resets_callers_of_a_starting_node(self) -> None:
        """They wait for a node that is loading, and are refused."""
        deployment = Deployment()
        self.addCleanup(deployment.stop)
        deployment.allocate_addresses([WorkerPlan('one', 'dc', None)])
        received = asyncio.run(_call_starting_node(deployment))
        self.assertIn(b'HTTP/1.1 503', received)
        self.assertIn(b'retry-after', received)
        self.assertEqual(deployment.wait_for_exit('node one'), 0)

    def _check(self, signal_number: int) -> None:
        deployment = Deployment()
        self.addCleanup(deployment.stop)
        _start(deployment)
        received = asyncio.run(_exchange(deployment, signal_number))
        self.assertEqual(received.count(b'HTTP/1.1 200'), _ANSWERS)
        self.assertEqual(received.count(b'x' * 1000), _ANSWERS * 900)
        self.assertEqual(deployment.wait_for_exit('node one'), 0)
