"""Crowds of misbehaving clients against one node that runs as a process."""

import contextlib
import selectors
import socket
import string
import threading
import time
import unittest
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, product, takewhile
from pathlib import Path
from typing import Any, Final

import urllib3

from merlintrail.lab.processes import Deployment, Worker, WorkerPlan

#: Megabytes of memory of the smallest machine that a node runs on.
MEMORY_MB: Final = 200
#: Descriptors of that machine.
DESCRIPTORS: Final = 4100
#: Name of the node.
INSTANCE: Final = 'node'
#: Attempts of an ordinary client, which waits between them as it is told.
ATTEMPTS: Final = 12
#: Connections that clients open at the same time.
_CONNECTED_AT_ONCE: Final = 500
#: Seconds that they wait for these before they open others.
_CONNECT_TIMEOUT_S: Final = 0.5
_ANSWER_TIMEOUT_S: Final = 5.0
_POLL_S: Final = 0.05
#: Seconds between two looks at the resources of the nodes.
_OBSERVATION_INTERVAL_S: Final = 0.2
_READ_BYTES: Final = 65536
#: End of an attempt that was served.
_SERVED: Final = '200'
_BYTES_PER_KB: Final = 1024
_BYTES_PER_MB: Final = 1_000_000
#: Fields of a line of ``/proc/net/tcp``, and the state of a listener.
_STATE_FIELD: Final = 3
_QUEUES_FIELD: Final = 4
_INODE_FIELD: Final = 9
_LISTENING: Final = '0A'
#: Characters of header names that differ whatever their case.
_TOKEN_CHARACTERS: Final = (
    f"{string.ascii_lowercase}{string.digits}!#$%&'*+-.^_`|~"
)

#: Configuration with the service of the backend server.
DOCUMENT: Final[Mapping[str, Any]] = {
    'format': 1,
    'services': [
        {
            'name': 'echo',
            'warmup_s': 0,
            'kinds': [
                {
                    'name': 'call',
                    'path': '/',
                    'importance': 'normal',
                    'idempotent': True,
                    'deadline_ms': 8000,
                }
            ],
        }
    ],
    'regions': [{'name': 'one', 'data_centres': ['dc']}],
}


def build_request(
    headers: bytes = b'', body: bytes = b'', target: bytes = b'/echo/call'
) -> bytes:
    """Build a request of the smallest size."""
    length = b'content-length:%d\r\n' % len(body) if body else b''
    method = b'POST' if body else b'GET'
    return (
        b'%b %b HTTP/1.1\r\nhost:a\r\n%b%b\r\n'
        % (method, target, length, headers)
    ) + body


def build_short_lines(size: int) -> bytes:
    """Build header lines of five or six bytes that take some bytes together.

    Their names differ.
    """
    pairs = product(_TOKEN_CHARACTERS, repeat=2)
    triples = product(_TOKEN_CHARACTERS, repeat=3)
    lines = (f'{"".join(name)}:\r\n'.encode() for name in chain(pairs, triples))
    taken = takewhile(lambda end: end[0] <= size, _add_up(lines))
    return b''.join(line for _, line in taken)


def _add_up(lines: Iterable[bytes]) -> Iterator[tuple[int, bytes]]:
    """Yield each line with the bytes up to its end."""
    end = 0
    for line in lines:
        end += len(line)
        yield end, line


class Crowd:
    """Connections of clients that send, and read little or nothing."""

    def __init__(self, address: str, size: int, window: int = 0) -> None:
        """Connect to an address.

        :param size: number of connections.
        :param window: bytes that each client's host takes before it reads.
        """
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._window = window
        self._sockets: list[socket.socket] = []
        for start in range(0, size, _CONNECTED_AT_ONCE):
            self._connect(min(_CONNECTED_AT_ONCE, size - start))

    def send(self, payload: bytes, limit_s: float) -> None:
        """Send the same bytes on each connection.

        Connections that are closed or take no more in the time are left.
        """
        self.send_each([payload] * len(self._sockets), limit_s)

    def send_each(self, payloads: Sequence[bytes], limit_s: float) -> None:
        """Send bytes of its own on each connection."""
        unsent = {
            sock: memoryview(payload)
            for sock, payload in zip(self._sockets, payloads, strict=True)
        }
        with selectors.DefaultSelector() as selector:
            for sock in self._sockets:
                selector.register(sock, selectors.EVENT_WRITE, sock)
            deadline = time.monotonic() + limit_s
            while selector.get_map() and time.monotonic() < deadline:
                for key, _ in selector.select(_POLL_S):
                    ready: socket.socket = key.data
                    unsent[ready] = _send_part(ready, unsent[ready])
                    if not unsent[ready]:
                        selector.unregister(ready)

    def read_slowly(self, size: int, duration_s: float) -> None:
        """Read some bytes of each connection ten times a second."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            for sock in self._sockets:
                _read_part(sock, size)
            time.sleep(0.1)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    def _connect(self, count: int) -> None:
        """Connect some clients, without waiting long for any of them."""
        added = [self._begin_connection() for _ in range(count)]
        self._sockets.extend(added)
        with selectors.DefaultSelector() as selector:
            for sock in added:
                selector.register(sock, selectors.EVENT_WRITE)
            deadline = time.monotonic() + _CONNECT_TIMEOUT_S
            while selector.get_map() and time.monotonic() < deadline:
                for key, _ in selector.select(_POLL_S):
                    selector.unregister(key.fileobj)

    def _begin_connection(self) -> socket.socket:
        sock = socket.socket()
        if self._window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._window)
        sock.setblocking(False)  # noqa: WPS425
        sock.connect_ex(self._address)
        return sock


def _send_part(sock: socket.socket, payload: memoryview) -> memoryview:
    """Send some bytes and return the rest, empty on a closed connection."""
    try:
        return payload[sock.send(payload[:_READ_BYTES]) :]
    except BlockingIOError:
        return payload
    except OSError:
        return payload[:0]


def _read_part(sock: socket.socket, size: int) -> None:
    try:
        sock.recv(size)
    except OSError:
        # Nothing to read, or closed.
        return


def _read_link(path: Path) -> str:
    """Return what a descriptor refers to, empty if it was closed meanwhile."""
    try:
        return str(path.readlink())
    except FileNotFoundError:
        return ''


def _count_unread_bytes(links: frozenset[str]) -> int:
    """Count the bytes that sockets have received and nobody has read.

    :param links: what the descriptors of a process refer to.
    """
    lines = Path('/proc/net/tcp').read_text().splitlines()[1:]
    return sum(
        int(fields[_QUEUES_FIELD].partition(':')[2], 16)
        for fields in map(str.split, lines)
        if f'socket:[{fields[_INODE_FIELD]}]' in links
        and fields[_STATE_FIELD] != _LISTENING
    )


class CrowdTestCase(unittest.TestCase):
    """One node with its backend server, as processes."""

    #: Fields of the plan of the backend server.
    backend: Mapping[str, Any] = {}
    #: Memory and descriptors of the machine, for settings and bounds.
    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS

    def setUp(self) -> None:
        """Start the processes."""
        machine = {
            'memory_mb': self.memory_mb,
            'descriptors': self.descriptors,
        }
        self.deployment = Deployment(
            settings={'machine': machine, **self.build_settings()}
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start_store()
        self._http = urllib3.PoolManager(
            retries=False, timeout=_ANSWER_TIMEOUT_S
        )
        self._most_descriptors = 0
        self._most_bytes = 0
        self.start_nodes()

    def build_settings(self) -> Mapping[str, Any]:
        """Build further settings of the nodes."""
        return {}

    def start_nodes(self) -> None:
        """Start the nodes, and wait until they serve."""
        plan = {
            'service': 'echo',
            'slots': 400,
            'service_ms': 5.0,
            **self.backend,
        }
        self.start_configured([WorkerPlan(INSTANCE, 'dc', plan)], DOCUMENT)

    def start_configured(
        self, plans: Sequence[WorkerPlan], document: Mapping[str, Any]
    ) -> None:
        """Start workers, and wait until a configuration is in force."""
        self.deployment.start_workers(plans)
        self.deployment.wait_until_listening()
        generation = self.deployment.apply_configuration(document)
        self.deployment.wait_until_ready(generation)

    @property
    def worker(self) -> Worker:
        """The addresses of the node."""
        return self.deployment.workers[INSTANCE]

    def open_crowd(self, address: str, size: int, window: int = 0) -> Crowd:
        """Open a crowd that is closed at the end of the test."""
        crowd = Crowd(address, size, window)
        self.addCleanup(crowd.close)
        return crowd

    def check_node(self, crowds: Sequence[Crowd]) -> None:
        """Check the node beside crowds and after they have left.

        It lives, an ordinary request gets its answer, and memory and
        descriptors have stayed within the machine's.
        """
        self.note_resources()
        self.check_ordinary_request()
        self.note_resources()
        for crowd in crowds:
            crowd.close()
        self.check_ordinary_request()
        self.check_bounds()

    def check_bounds(self) -> None:
        """Check that the nodes live, and stayed within their machines."""
        for instance in self.deployment.workers:
            self.assertFalse(self.deployment.has_exited(f'node {instance}'))
            self._most_bytes = max(
                self._most_bytes, self._read_memory(instance, 'VmHWM')
            )
        self.assertLess(self._most_bytes, self.memory_mb * _BYTES_PER_MB)
        self.assertLess(self._most_descriptors, self.descriptors)

    def check_ordinary_request(self) -> None:
        """Check that an ordinary client gets an answer of its server."""
        url = f'http://{self.worker.call_address}/echo/call'
        self.assertIn(_SERVED, self._send_until_served(url))

    def check_console(self) -> None:
        """Check that the metrics are served."""
        url = f'http://{self.worker.admin_address}/metrics'
        self.assertIn(_SERVED, self._send_until_served(url))

    @contextlib.contextmanager
    def observe(self) -> Iterator[None]:
        """Note the resources of the nodes again and again meanwhile."""
        is_over = threading.Event()

        def note() -> None:
            while not is_over.wait(_OBSERVATION_INTERVAL_S):
                self.note_resources()

        observer = threading.Thread(target=note)
        observer.start()
        try:
            yield
        finally:
            is_over.set()
            observer.join()

    def note_resources(self) -> None:
        """Note the descriptors and the memory of each node now.

        What a socket has received and the node has not read counts as memory.
        """
        for instance in self.deployment.workers:
            links = [
                _read_link(path)
                for path in (self._find_process(instance) / 'fd').iterdir()
            ]
            self._most_descriptors = max(self._most_descriptors, len(links))
            unread = _count_unread_bytes(frozenset(links))
            resident = self._read_memory(instance, 'VmRSS')
            self._most_bytes = max(self._most_bytes, resident + unread)

    def _read_memory(self, instance: str, name: str) -> int:
        """Return bytes of memory of a node by their name in its status."""
        status = (self._find_process(instance) / 'status').read_text()
        line = next(
            line for line in status.splitlines() if line.startswith(name)
        )
        return int(line.split()[1]) * _BYTES_PER_KB

    def _find_process(self, instance: str) -> Path:
        process_id = self.deployment.read_process_id(f'node {instance}')
        return Path(f'/proc/{process_id}')

    def _send_until_served(self, url: str) -> list[str]:
        """Send a request until it succeeds; return the ends of all attempts."""
        ends: list[str] = []
        while len(ends) < ATTEMPTS and _SERVED not in ends:
            try:
                answer = self._http.request('GET', url)
            except urllib3.exceptions.HTTPError as error:
                ends.append(type(error).__name__)
                time.sleep(_POLL_S)
                continue
            reason = answer.headers.get('merlintrail-reason', '')
            ends.append(f'{answer.status} {reason}'.strip())
            if ends[-1] != _SERVED:
                time.sleep(float(answer.headers.get('retry-after', _POLL_S)))
        return ends


class SmallMachineTestCase(CrowdTestCase):
    """A machine with 120 MB and 400 descriptors."""

    memory_mb = 120
    descriptors = 400
