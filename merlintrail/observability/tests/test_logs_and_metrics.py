"""Tests of JSON log lines and of the export of metrics."""

import asyncio
import io
import json
import os
import threading
import unittest

from prometheus_client.parser import text_string_to_metric_families

from merlintrail.observability import (
    GaugePoint,
    JsonLinesHandler,
    create_logger,
    create_metrics,
    log_decision,
    run_deferred,
)
from merlintrail.observability._line import MAX_LINE_BYTES
from merlintrail.observability._writer import MAX_LINES_PER_S, LineWriter
from merlintrail.transport import HttpRequest, HttpResponse, start_server


class LogTest(unittest.TestCase):
    """The handler writes one JSON object per line."""

    def test_lines(self) -> None:
        """Fields are escaped, and records below the level are not written."""
        stream = io.StringIO()
        with JsonLinesHandler(stream).applicationbound():
            log_decision('route', instance='a\n"b"', load=0.5)
            create_logger('x').debug('not shown')
            create_logger('x').error('bad', extra={'reason': object})
        run_deferred()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line['event'] for line in lines], ['route', 'bad'])
        self.assertEqual(lines[0]['instance'], 'a\n"b"')
        self.assertEqual(lines[0]['level'], 'info')

    def test_long_line(self) -> None:
        """Texts and lists are shortened, what tells them apart stays."""
        stream = io.StringIO()
        with JsonLinesHandler(stream).applicationbound():
            log_decision(
                'refuse',
                request_id='i' * 9000,
                findings=['f' * 9000] * 100,
                repeated={'r' * 9000: 1},
                status=404,
            )
        run_deferred()
        line = stream.getvalue()
        self.assertLess(len(line), MAX_LINE_BYTES)
        document = json.loads(line)
        self.assertIn('(9000 characters)', document['request_id'])
        self.assertEqual(document['status'], 404)


class WriterTest(unittest.TestCase):
    """The writer drops lines instead of blocking the process."""

    def setUp(self) -> None:
        self.now = 10.0
        reading, writing = os.pipe()
        self.reader = reading
        self.stream = os.fdopen(writing, 'w', encoding='utf-8')
        self.writer = LineWriter(self.stream, lambda: self.now)
        self.addCleanup(self.stream.close)
        self.addCleanup(os.close, self.reader)

    def read_lines(self) -> list[str]:
        """Read the lines that the pipe holds."""
        return os.read(self.reader, 1 << 24).decode().splitlines()

    def test_full_pipe(self) -> None:
        """A full pipe does not block, and dropped lines are reported later."""
        line = b'{"event":"' + b'x' * 1000 + b'"}'
        for _ in range(5000):
            self.writer.write(line, is_rate_exempt=True)
        self.writer.flush()
        self.assertGreater(self.writer.dropped_lines, 3000)
        dropped_lines = self.writer.dropped_lines
        received: list[str] = []
        while not received or 'lines left out' not in received[-1]:
            received.extend(self.read_lines())
            self.writer.flush()
        self.assertEqual(json.loads(received[-1])['lines'], dropped_lines)

    def test_flood(self) -> None:
        """Lines beyond the rate are dropped until the next second."""
        for _ in range(MAX_LINES_PER_S * 2):
            self.writer.write(b'{}')
        self.assertEqual(self.writer.dropped_lines, MAX_LINES_PER_S)
        self.writer.flush()
        self.assertEqual(len(self.read_lines()), MAX_LINES_PER_S + 1)
        self.now += 1
        self.writer.write(b'{}')
        self.writer.flush()
        self.assertEqual(self.read_lines(), ['{}'])


class _Collector:
    """An OTLP collector that records requests, on its own thread."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._ready.wait(5)

    def _run(self) -> None:
        server = self._loop.run_until_complete(
            start_server(self._record, '127.0.0.1', 0)
        )
        self.port = server.port
        self._ready.set()
        self._loop.run_forever()

    async def _record(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return HttpResponse(200, (), b'')


class MetricsTest(unittest.TestCase):
    """Metrics are exported and rendered as JSON and as text."""

    def test_export_to_a_collector(self) -> None:
        """Pending measurements are exported as protobuf at shutdown."""
        collector = _Collector()
        metrics = create_metrics(
            'one', f'http://127.0.0.1:{collector.port}/v1/metrics'
        )
        metrics.record_call('svc', 'completed', '')
        metrics.shut_down()
        self.assertEqual(collector.requests[0].target, '/v1/metrics')
        self.assertIn(b'merlintrail.calls', collector.requests[0].body)

    def test_read_as_json(self) -> None:
        """Histograms, counters and gauges appear in the JSON document."""
        metrics = create_metrics('one')
        metrics.register_gauge(
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

    def test_read_as_text(self) -> None:
        """The Prometheus text has units, labels and values of each metric."""
        metrics = create_metrics('one')
        metrics.register_gauge(
            'merlintrail.limit', '1', '', lambda: [GaugePoint(7, 'svc')]
        )
        metrics.record_request('svc', 200, 0.01)
        metrics.record_call('svc', 'not-run', 'overload')
        metrics.record_refusal('svc', 'shed-early')
        families = {
            family.name: family.samples
            for family in text_string_to_metric_families(
                metrics.render_text().decode()
            )
        }
        duration = families['http_server_request_duration_seconds']
        counts = [
            sample.value for sample in duration if sample.name.endswith('count')
        ]
        self.assertEqual(counts, [1])
        labels = {
            'merlintrail_service': 'svc',
            'merlintrail_reason': 'shed-early',
        }
        refusals = families['merlintrail_refusals'][0]
        self.assertEqual((refusals.labels, refusals.value), (labels, 1))
        calls = families['merlintrail_calls'][0]
        self.assertEqual(calls.labels['merlintrail_reason'], 'overload')
        limits = [
            sample.value
            for name, samples in families.items()
            if name.startswith('merlintrail_limit')
            for sample in samples
        ]
        self.assertEqual(limits, [7])
