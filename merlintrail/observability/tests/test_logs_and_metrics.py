"""Log lines are JSON, and metrics reach a collector."""

import asyncio
import io
import json
import threading
import unittest

from merlintrail.observability import (
    GaugePoint,
    JsonLinesHandler,
    create_logger,
    create_metrics,
    do_deferred,
    log_decision,
)
from merlintrail.transport import HttpRequest, HttpResponse, start_server


class LogTest(unittest.TestCase):
    """One JSON object a line."""

    def test_lines(self) -> None:
        """Fields, levels, and characters that need escaping."""
        stream = io.StringIO()
        with JsonLinesHandler(stream).applicationbound():
            log_decision('route', instance='a\n"b"', load=0.5)
            create_logger('x').debug('not shown')
            create_logger('x').error('bad', extra={'reason': object})
        do_deferred()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line['event'] for line in lines], ['route', 'bad'])
        self.assertEqual(lines[0]['instance'], 'a\n"b"')
        self.assertEqual(lines[0]['level'], 'info')


class _Collector:
    """A stand-in for a collector, on a thread of its own."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._ready.wait(5)

    def _run(self) -> None:
        server = self._loop.run_until_complete(
            start_server(self._take, '127.0.0.1', 0)
        )
        self.port = server.port
        self._ready.set()
        self._loop.run_forever()

    async def _take(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return HttpResponse(200, (), b'')


class MetricsTest(unittest.TestCase):
    """The instruments of a node."""

    def test_export_to_a_collector(self) -> None:
        """What is left is exported at the end, as protobuf over HTTP."""
        collector = _Collector()
        metrics = create_metrics(
            'one', f'http://127.0.0.1:{collector.port}/v1/metrics'
        )
        metrics.record_call('svc', 'completed', '')
        metrics.shut_down()
        self.assertEqual(collector.requests[0].target, '/v1/metrics')
        self.assertIn(b'merlintrail.calls', collector.requests[0].body)

    def test_read_as_json(self) -> None:
        """Histogram, counters and gauges with their attributes."""
        metrics = create_metrics('one')
        metrics.observe_gauge(
            'merlintrail.limit', '1', '', lambda: [GaugePoint(7, 'svc')]
        )
        metrics.record_request('svc', 200, 0.01)
        metrics.record_retry('svc')
        text = json.dumps(metrics.read_all())
        for name in (
            'http.server.request.duration',
            'merlintrail.retries',
            'merlintrail.limit',
        ):
            self.assertIn(name, text)
