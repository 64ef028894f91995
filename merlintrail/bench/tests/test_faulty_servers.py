"""Backend servers whose bytes are no answers, or answers without an end.

The server stands beside one node; the requests begin at another one too.
"""

from typing import Final

import orjson
import urllib3

from merlintrail.bench.tests.crowd import (
    DOCUMENT,
    INSTANCE,
    CrowdTestCase,
    build_request,
)
from merlintrail.bench.tests.raw_backend import (
    AnswerParts,
    RawBackend,
    answer_once,
    repeat_without_end,
)
from merlintrail.lab.processes import WorkerPlan

_OTHER: Final = 'other'
_CLIENTS: Final = 20
_OK: Final = 200
_GATEWAY_ERRORS: Final = frozenset((502, 503, 504))
_CHUNKED: Final = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_WHOLE: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
_ENDLESS: Final = {
    'bytes': repeat_without_end(b'', b'\x00\xffgarbage\x16'),
    'status line': repeat_without_end(b'HTTP/1.1 200 ', b'OK'),
    'header line': repeat_without_end(b'HTTP/1.1 200 OK\r\nx: ', b'yyyyyyyy'),
    'header lines': repeat_without_end(b'HTTP/1.1 200 OK\r\n', b'a:\r\n'),
    'body': repeat_without_end(b'HTTP/1.1 200 OK\r\n\r\n', b'some bytes'),
    'chunks': repeat_without_end(_CHUNKED, b'1\r\nx\r\n'),
    'chunk extension': repeat_without_end(_CHUNKED + b'1;a=', b'bbbbbbbb'),
    'trailers': repeat_without_end(_CHUNKED + b'0\r\n', b'a:\r\n'),
    'interim answers': repeat_without_end(
        b'', b'HTTP/1.1 102 Processing\r\na: b\r\n\r\n'
    ),
}


class FaultyServerTest(CrowdTestCase):
    """One server, beside the second of two nodes with small machines."""

    memory_mb = 120
    descriptors = 400

    def start_nodes(self) -> None:
        """Start two nodes; the server announces itself to the second."""
        self.backend_server = RawBackend()
        self.addCleanup(self.backend_server.close)
        self.backend_server.answer = answer_once(_WHOLE)
        self.start_configured(
            [WorkerPlan(INSTANCE, 'dc', None), WorkerPlan(_OTHER, 'dc', None)],
            DOCUMENT,
        )
        announcement = {
            'service': 'echo',
            'address': self.backend_server.address,
            'slots': 400,
            'ttl_s': 600,
        }
        answer = urllib3.request(
            'POST',
            f'http://{self.deployment.workers[_OTHER].call_address}/-/announce',
            body=orjson.dumps(announcement),
        )
        self.assertEqual(answer.status, _OK)
        self.check_ordinary_request()

    def test_answers_without_an_end(self) -> None:
        """Each kind to 20 clients at each node."""
        for name, answer in _ENDLESS.items():
            with self.subTest(name):
                self.answer_crowds(answer)

    def test_invalid_statuses(self) -> None:
        """No caller gets them, also with a whole answer behind them."""
        for status in (b'000', b'099', b'600', b'999'):
            invalid = b'HTTP/1.1 %b X\r\ncontent-length: 2\r\n\r\nno' % status
            for behind in (b'', _WHOLE):
                with self.subTest(status=status, behind=behind):
                    self.backend_server.answer = answer_once(invalid + behind)
                    self.check_gateway_errors(f'{status!r}{len(behind)}')
        self.backend_server.answer = answer_once(_WHOLE)
        self.check_ordinary_request()
        self.check_bounds()

    def check_gateway_errors(self, query: str) -> None:
        """Check that callers at both nodes are told that there is no answer.

        :param query: makes the request another one than those before, which
            may have been quarantined.
        """
        for worker in self.deployment.workers.values():
            answer = urllib3.request(
                'GET',
                f'http://{worker.call_address}/echo/call',
                fields={'query': f'{worker.instance}{query}'},
                retries=False,
                timeout=10.0,
            )
            self.assertIn(answer.status, _GATEWAY_ERRORS)

    def answer_crowds(self, answer: AnswerParts) -> None:
        """Answer crowds at both nodes, and check the nodes afterwards."""
        self.backend_server.answer = answer
        crowds = [
            self.open_crowd(worker.call_address, _CLIENTS)
            for worker in self.deployment.workers.values()
        ]
        for crowd in crowds:
            crowd.send(build_request(), 2)
        for crowd in crowds:
            crowd.read_slowly(1000, 1)
            crowd.close()
        self.backend_server.answer = answer_once(_WHOLE)
        self.check_ordinary_request()
        self.check_bounds()
