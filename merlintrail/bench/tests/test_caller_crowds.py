"""Crowds of callers that stay within each limit on a single request."""

from typing import Final

from merlintrail.bench.tests.crowd import (
    CrowdTestCase,
    build_request,
    build_short_lines,
)

#: Bytes of headers within the default limit of 16,384.
_HEAD_BYTES: Final = 16000
#: The same of headers whose lines all count within it.
_ACCEPTED_BYTES: Final = 13_000
#: Bytes of a body that had its own limit alone.
_SMALL_BODY_BYTES: Final = 65000
_LARGE_ANSWER: Final = b'x-answer-bytes:2000000\r\n'
_ANNOUNCED_BODY: Final = (
    b'POST /echo/call HTTP/1.1\r\nhost:a\r\ncontent-length:'
)
_CHUNKED_BODY: Final = (
    b'POST /echo/call HTTP/1.1\r\nhost:a\r\ntransfer-encoding:chunked\r\n\r\n'
)


class HeadCrowdTest(CrowdTestCase):
    """Heads of legal size made of very many short lines."""

    def test_unfinished_heads_take_all_memory(self) -> None:
        """1,200 of them, 19 MB in all."""
        crowd = self.open_crowd(self.worker.call_address, 1200)
        payload = build_request(build_short_lines(_HEAD_BYTES))
        crowd.send(payload.removesuffix(b'\r\n'), 10)
        self.check_node([crowd])

    def test_heads_of_waiting_requests_take_all_memory(self) -> None:
        """The backend server takes some seconds for each request."""
        self.deployment.control_backend('node', {'slowdown': 600})
        crowd = self.open_crowd(self.worker.call_address, 100)
        crowd.send(build_request(build_short_lines(_HEAD_BYTES)) * 16, 5)
        self.deployment.control_backend('node', {'slowdown': 1})
        self.check_node([crowd])

    def test_heads_behind_each_other_take_all_memory(self) -> None:
        """400 connections with 20 heads each."""
        crowd = self.open_crowd(self.worker.call_address, 400)
        crowd.send(build_request(build_short_lines(_HEAD_BYTES)) * 20, 5)
        self.check_node([crowd])

    def test_accepted_heads_of_waiting_requests_take_all_memory(self) -> None:
        """They are within the limit, which counts four bytes more a line."""
        self.deployment.control_backend('node', {'slowdown': 600})
        crowd = self.open_crowd(self.worker.call_address, 200)
        crowd.send(build_request(build_short_lines(_ACCEPTED_BYTES)) * 16, 5)
        self.deployment.control_backend('node', {'slowdown': 1})
        self.check_node([crowd])

    def test_accepted_heads_behind_each_other_take_all_memory(self) -> None:
        """400 connections with 20 heads each."""
        crowd = self.open_crowd(self.worker.call_address, 400)
        crowd.send(build_request(build_short_lines(_ACCEPTED_BYTES)) * 20, 5)
        self.check_node([crowd])


class BodyCrowdTest(CrowdTestCase):
    """Bodies, within the limit and beyond it."""

    def test_unfinished_small_bodies_take_all_memory(self) -> None:
        """2,800 bodies lack their last bytes."""
        crowd = self.open_crowd(self.worker.call_address, 2800)
        payload = build_request(body=bytes(_SMALL_BODY_BYTES + 500))
        crowd.send(payload[:-500], 10)
        self.check_node([crowd])

    def test_small_bodies_of_waiting_requests_take_all_memory(self) -> None:
        """250 connections with 16 bodies each, and a slow server."""
        self.deployment.control_backend('node', {'slowdown': 600})
        crowd = self.open_crowd(self.worker.call_address, 250)
        crowd.send(build_request(body=bytes(_SMALL_BODY_BYTES)) * 16, 5)
        self.deployment.control_backend('node', {'slowdown': 1})
        self.check_node([crowd])

    def test_bodies_beyond_the_limit_take_all_memory(self) -> None:
        """Announced as 50 MB, and sent in chunks without an end."""
        announced = self.open_crowd(self.worker.call_address, 100)
        announced.send(_ANNOUNCED_BODY + b'50000000\r\n\r\n', 2)
        chunked = self.open_crowd(self.worker.call_address, 100)
        chunk = b'10000\r\n' + bytes(65536) + b'\r\n'
        chunked.send(_CHUNKED_BODY + chunk * 40, 5)
        announced.send(bytes(2_000_000), 5)
        self.check_node([announced, chunked])

    def test_bodies_in_tiny_chunks_take_all_memory(self) -> None:
        """400 bodies of 60,000 chunks of one byte, without an end."""
        crowd = self.open_crowd(self.worker.call_address, 400)
        crowd.send(_CHUNKED_BODY + b'1\r\nx\r\n' * 60000, 10)
        self.check_node([crowd])


class FloodTest(CrowdTestCase):
    """What sockets receive while the node is busy."""

    def test_bodies_of_callers_take_all_memory(self) -> None:
        """1,600 callers send 900 KB each, at the same time."""
        self.flood(self.worker.call_address, 1600)

    def test_bodies_of_nodes_take_all_memory(self) -> None:
        """1,400 clients without the key at the address for other nodes."""
        self.flood(self.worker.peer_address, 1400)

    def flood(self, address: str, size: int) -> None:
        """Send bodies at the same time, and look at the node meanwhile."""
        crowd = self.open_crowd(address, size)
        with self.observe():
            crowd.send(build_request(body=bytes(900_000)), 8)
        self.check_node([crowd])


class PipelineCrowdTest(CrowdTestCase):
    """Many requests behind each other on a connection."""

    def test_small_requests_take_all_memory(self) -> None:
        """6,000 on each of 40 connections, answers not read."""
        crowd = self.open_crowd(self.worker.call_address, 40)
        crowd.send(build_request(b'n:0\r\n') * 6000, 5)
        self.check_node([crowd])

    def test_small_requests_behind_a_slow_one_take_all_memory(self) -> None:
        """The backend server takes some seconds for each request."""
        self.deployment.control_backend('node', {'slowdown': 600})
        crowd = self.open_crowd(self.worker.call_address, 1500)
        crowd.send(build_request(b'n:0\r\n') * 400, 5)
        self.deployment.control_backend('node', {'slowdown': 1})
        self.check_node([crowd])


class AnswerCrowdTest(CrowdTestCase):
    """Long answers that callers read slowly or not at all."""

    def test_long_answers_behind_each_other_take_all_memory(self) -> None:
        """60 connections with 8 answers of 2 MB each, read slowly."""
        crowd = self.open_crowd(self.worker.call_address, 60, 65536)
        crowd.send(build_request(_LARGE_ANSWER) * 8, 2)
        crowd.read_slowly(6554, 6)
        self.check_node([crowd])

    def test_long_answers_of_single_requests_take_all_memory(self) -> None:
        """200 connections with one answer each, read slowly."""
        crowd = self.open_crowd(self.worker.call_address, 200, 65536)
        crowd.send(build_request(_LARGE_ANSWER), 2)
        crowd.read_slowly(6554, 6)
        self.check_node([crowd])

    def test_many_long_answers_take_all_memory(self) -> None:
        """600 connections with one answer each, read slowly."""
        crowd = self.open_crowd(self.worker.call_address, 600, 65536)
        crowd.send(build_request(_LARGE_ANSWER), 2)
        crowd.read_slowly(6554, 4)
        self.check_node([crowd])

    def test_answers_that_are_never_read_take_all_memory(self) -> None:
        """1,500 connections with 20 answers of 30,000 bytes each."""
        crowd = self.open_crowd(self.worker.call_address, 1500, 4096)
        crowd.send(build_request(b'x-answer-bytes:30000\r\n') * 20, 5)
        self.check_node([crowd])


class ConnectionCrowdTest(CrowdTestCase):
    """Connections themselves."""

    def test_silent_connections_take_all_descriptors(self) -> None:
        """More than a machine has; half of them begin a request."""
        crowds = [
            self.open_crowd(self.worker.call_address, 2150) for _ in range(2)
        ]
        crowds[0].send(b'GET', 2)
        self.check_node(crowds)

    def test_connections_that_use_no_answer_take_all_descriptors(self) -> None:
        """The caller has closed its sending half, or never reads."""
        crowd = self.open_crowd(self.worker.call_address, 4300, 4096)
        crowd.send(build_request(b'connection:close\r\n'), 5)
        self.check_node([crowd])
