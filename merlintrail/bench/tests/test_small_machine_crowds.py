"""Small crowds against nodes whose settings tell of a small machine."""

import secrets
import time
from collections.abc import Mapping
from typing import Any, Final

import orjson

from merlintrail.bench.tests.crowd import (
    ATTEMPTS,
    DOCUMENT,
    INSTANCE,
    SmallMachineTestCase,
    build_request,
    build_short_lines,
)
from merlintrail.lab._ports import HOST
from merlintrail.lab.processes import WorkerPlan

#: Instance of the second node, where there are two.
_OTHER: Final = 'other'
#: Bytes of a body within the default limit of a mebibyte.
_BODY_BYTES: Final = 900_000
_ROUNDS: Final = 8
#: Bytes of a path, or of an identifier, within the limit on a head.
_LONG_TEXT_BYTES: Final = 14_000
#: Bytes of short header lines that are within the limit on a head, which counts
#: four more a line than a colon.
_HEAD_BYTES: Final = 13_000
#: Longest line of a log in bytes.
_MAX_LINE_BYTES: Final = 8192
#: The request behind which others wait in a pipeline.
_SLOW_REQUEST: Final = build_request(b'x-answer-delay-ms:3000\r\n')


def _build_document(*services: str) -> Mapping[str, Any]:
    """Build a configuration with non-idempotent services."""
    service = DOCUMENT['services'][0]
    kind = {**service['kinds'][0], 'idempotent': False}
    return {
        **DOCUMENT,
        'services': [
            {**service, 'name': name, 'kinds': [kind]} for name in services
        ],
        'ledger': {'slots': 4, 'writes_per_s': 1000},
    }


class DepartedCallerTest(SmallMachineTestCase):
    """Requests that run on when their callers have left."""

    def start_nodes(self) -> None:
        """Start a node of a service that is not idempotent."""
        plan = {'service': 'echo', 'slots': 400, 'service_ms': 5.0}
        self.start_configured(
            [WorkerPlan(INSTANCE, 'dc', plan)], _build_document('echo')
        )

    def test_bodies_take_all_memory(self) -> None:
        """8 times, 40 callers send a body and leave."""
        self.send_and_leave(b'')

    def test_bodies_of_keyed_requests_take_all_memory(self) -> None:
        """Each with an idempotency key of its own."""
        self.send_and_leave(b'idempotency-key:%b\r\n')

    def send_and_leave(self, header: bytes) -> None:
        """Send large bodies to a slow server, and leave.

        :param header: header line with room for a key, or nothing.
        """
        self.deployment.control_backend(INSTANCE, {'slowdown': 600})
        for _ in range(_ROUNDS):
            crowd = self.open_crowd(self.worker.call_address, 40)
            lines = [
                header and header % secrets.token_hex(16).encode()
                for _ in range(40)
            ]
            body = bytes(_BODY_BYTES)
            crowd.send_each([build_request(line, body) for line in lines], 3)
            crowd.read_slowly(100, 0.3)
            crowd.close()
        self.deployment.control_backend(INSTANCE, {'slowdown': 1})
        self.check_ordinary_request()
        self.check_bounds()


class TwoNodesTest(SmallMachineTestCase):
    """Callers at two nodes, each of which sends its calls to the other."""

    def start_nodes(self) -> None:
        """Start two nodes with a service each."""
        plans = [
            WorkerPlan(
                instance,
                'dc',
                {'service': service, 'slots': 400, 'service_ms': 5.0},
            )
            for instance, service in ((INSTANCE, 'echo'), (_OTHER, 'reply'))
        ]
        self.start_configured(plans, _build_document('echo', 'reply'))

    def test_connections_between_nodes_take_all_descriptors(self) -> None:
        """200 callers at each node, and slow servers."""
        other = self.deployment.workers[_OTHER]
        for instance in (INSTANCE, _OTHER):
            self.deployment.control_backend(instance, {'slowdown': 800})
        crowds = [
            self.open_crowd(self.worker.call_address, 200),
            self.open_crowd(other.call_address, 200),
        ]
        crowds[0].send(build_request(target=b'/reply/call'), 3)
        crowds[1].send(build_request(), 3)
        for crowd in crowds:
            crowd.read_slowly(100, 1)
            self.note_resources()
        for instance in (INSTANCE, _OTHER):
            self.deployment.control_backend(instance, {'slowdown': 1})
        for crowd in crowds:
            crowd.close()
        self.check_ordinary_request()
        self.check_bounds()


class UnreadBytesTest(SmallMachineTestCase):
    """What sockets of a node have received and it does not read."""

    def test_kept_back_requests_take_all_memory(self) -> None:
        """100 connections, each with 4 MB behind a slow request."""
        crowd = self.open_crowd(self.worker.call_address, 100)
        request = build_request(body=bytes(60_000))
        crowd.send(_SLOW_REQUEST + request * 70, 2)
        self.check_node([crowd])

    def test_answers_without_room_take_all_memory(self) -> None:
        """60 connections with answers of 3 MB that are read slowly."""
        crowd = self.open_crowd(self.worker.call_address, 60, 65536)
        crowd.send(build_request(b'x-answer-bytes:3000000\r\n') * 4, 2)
        crowd.read_slowly(6554, 1)
        self.note_resources()
        crowd.read_slowly(6554, 1)
        self.check_node([crowd])


class LogTest(SmallMachineTestCase):
    """Texts that callers choose, in the log of a node."""

    def test_long_texts_take_the_log(self) -> None:
        """Paths and identifiers of 14,000 bytes, some of which JSON escapes."""
        header = b'merlintrail-request-id:%b\r\n' % (b'"' * _LONG_TEXT_BYTES)
        requests = (
            build_request(target=b'/' + b'p' * _LONG_TEXT_BYTES),
            build_request(header, target=b'/unknown/path'),
            build_request(header),
        )
        crowds = [
            self.open_crowd(self.worker.call_address, 50) for _ in requests
        ]
        for crowd, request in zip(crowds, requests, strict=True):
            crowd.send(request, 5)
            crowd.read_slowly(20000, 1)
        self.check_node(crowds)
        log = (self.deployment.folder / f'{INSTANCE}.log').read_bytes()
        self.assertLess(max(map(len, log.splitlines())), _MAX_LINE_BYTES)

    def test_refusals_name_their_callers(self) -> None:
        """Unfinished heads for which there is no room."""
        crowd = self.open_crowd(self.worker.call_address, 150)
        payload = build_request(build_short_lines(_HEAD_BYTES)) * 15
        crowd.send(_SLOW_REQUEST + payload, 5)
        crowd.read_slowly(10000, 4)
        lines = self.find_lines('refuse', 'no-room')
        self.assertTrue(lines)
        self.assertEqual({line.get('remote_host') for line in lines}, {HOST})
        self.assertTrue(all(line.get('connection_bytes') for line in lines))

    def test_displaced_connections_name_their_callers(self) -> None:
        """Silent ones, more than the machine has descriptors for."""
        self.open_crowd(self.worker.call_address, 300)
        self.check_ordinary_request()
        lines = self.find_lines('connection-end', 'displaced')
        self.assertTrue(lines)
        self.assertEqual({line.get('remote_host') for line in lines}, {HOST})

    def find_lines(self, event: str, text: str) -> list[dict[str, Any]]:
        """Wait for lines of the log, and return them.

        :param text: part of the lines.
        """
        log = self.deployment.folder / f'{INSTANCE}.log'
        for _ in range(ATTEMPTS):
            lines = [
                orjson.loads(line)
                for line in log.read_bytes().splitlines(keepends=True)
                if text.encode() in line and line.endswith(b'\n')
            ]
            found = [line for line in lines if line['event'] == event]
            if found:
                return found
            time.sleep(1)
        return []


class OddBytesTest(SmallMachineTestCase):
    """Bytes that are no HTTP, or hardly."""

    def test_heads_beyond_ascii_take_all_memory(self) -> None:
        """200 unfinished heads with texts of bytes above 127."""
        lines = build_short_lines(8000).replace(b':\r\n', b':\xff\xfe\r\n')
        self.send_to_all(build_request(lines).removesuffix(b'\r\n'))

    def test_trailers_take_all_memory(self) -> None:
        """200 trailers of short lines without an end."""
        head = build_request(b'transfer-encoding:chunked\r\n')
        lines = build_short_lines(15000)
        self.send_to_all(head + b'1\r\nx\r\n0\r\n' + lines * 40)

    def test_other_protocols_take_all_memory(self) -> None:
        """200 connections with bytes of a mebibyte each."""
        self.send_to_all(b'\x16\x03\x01\x00\xff' * 200_000)

    def test_heads_after_an_upgrade_take_all_memory(self) -> None:
        """200 connections that ask for another protocol again and again."""
        headers = b'connection:upgrade\r\nupgrade:h2c\r\n'
        lines = build_short_lines(8000)
        self.send_to_all(build_request(headers + lines) * 50)

    def send_to_all(self, payload: bytes) -> None:
        """Send bytes to the addresses for callers, nodes and operators."""
        crowds = []
        for address in (
            self.worker.call_address,
            self.worker.peer_address,
            self.worker.admin_address,
        ):
            crowd = self.open_crowd(address, 100)
            crowd.send(payload, 5)
            crowds.append(crowd)
        self.check_node(crowds)
