"""Crowds at the other addresses of a node, and behind it."""

from typing import Final

from merlintrail.bench.tests.crowd import (
    CrowdTestCase,
    build_request,
    build_short_lines,
)

#: Bytes of headers within the limit between nodes, of 65,536.
_HEAD_BYTES: Final = 65000
_SMALL_BODY_BYTES: Final = 65000
#: The request behind which others wait in a pipeline.
_SLOW_REQUEST: Final = build_request(b'x-answer-delay-ms:3000\r\n')


class PeerCrowdTest(CrowdTestCase):
    """Clients without the key at the address for other nodes."""

    def test_unfinished_heads_take_all_memory(self) -> None:
        """300 of them, 20 MB in all."""
        crowd = self.open_crowd(self.worker.peer_address, 300)
        payload = build_request(build_short_lines(_HEAD_BYTES))
        crowd.send(payload.removesuffix(b'\r\n'), 10)
        self.check_node([crowd])

    def test_unfinished_bodies_take_all_memory(self) -> None:
        """2,800 bodies lack their last bytes."""
        crowd = self.open_crowd(self.worker.peer_address, 2800)
        payload = build_request(body=bytes(_SMALL_BODY_BYTES + 500))
        crowd.send(payload[:-500], 10)
        self.check_node([crowd])

    def test_small_requests_take_all_memory(self) -> None:
        """6,000 on each of 40 connections, answers not read."""
        crowd = self.open_crowd(self.worker.peer_address, 40, 4096)
        crowd.send(build_request(b'n:0\r\n') * 6000, 5)
        self.check_node([crowd])

    def test_silent_connections_take_all_descriptors(self) -> None:
        """More than a machine has."""
        crowd = self.open_crowd(self.worker.peer_address, 4300)
        self.check_node([crowd])


class ConsoleCrowdTest(CrowdTestCase):
    """Clients without a key at the console."""

    def test_endless_header_line_takes_all_memory(self) -> None:
        """One client sends 200 MB."""
        crowd = self.open_crowd(self.worker.admin_address, 1)
        crowd.send(b'GET / HTTP/1.1\r\nhost:a\r\nx:' + b'y' * 200_000_000, 20)
        self.check_node([crowd])

    def test_endless_body_takes_all_memory(self) -> None:
        """Four clients send 50 MB each in chunks, and are not operators."""
        crowd = self.open_crowd(self.worker.admin_address, 4)
        head = b'POST /v1/configuration HTTP/1.1\r\nhost:a\r\n'
        chunk = b'10000\r\n' + bytes(65536) + b'\r\n'
        crowd.send(
            head + b'transfer-encoding:chunked\r\n\r\n' + chunk * 800, 20
        )
        self.check_node([crowd])

    def test_silent_connections_take_all_descriptors(self) -> None:
        """More than a machine has; the metrics are served afterwards."""
        crowd = self.open_crowd(self.worker.admin_address, 4300)
        self.check_node([crowd])
        self.check_console()


class BackendCrowdTest(CrowdTestCase):
    """Answers of the backend server that cost more than their bytes."""

    def test_heads_of_waiting_answers_take_all_memory(self) -> None:
        """15 heads of 60,000 bytes wait behind a slow one, 30 times."""
        crowd = self.open_crowd(self.worker.call_address, 30)
        request = build_request(b'x-answer-lines:12000\r\n')
        crowd.send(_SLOW_REQUEST + request * 15, 5)
        self.check_node([crowd])

    def test_kept_heads_of_answers_take_all_memory(self) -> None:
        """The answers are taken at once, and kept for inquiries."""
        crowd = self.open_crowd(self.worker.call_address, 20)
        crowd.send(build_request(b'x-answer-lines:12000\r\n') * 15, 5)
        crowd.read_slowly(1_000_000, 6)
        self.check_node([crowd])

    def test_long_answers_behind_a_slow_one_take_all_memory(self) -> None:
        """15 answers of 2 MB wait behind a slow one, 20 times."""
        crowd = self.open_crowd(self.worker.call_address, 20)
        request = build_request(b'x-answer-bytes:2000000\r\n')
        crowd.send(_SLOW_REQUEST + request * 15, 5)
        crowd.read_slowly(100_000, 6)
        self.check_node([crowd])
