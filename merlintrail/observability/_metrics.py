"""Metrics by OpenTelemetry, with the names of its semantic conventions."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import orjson
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource

from merlintrail.observability._deferred import defer, do_deferred

#: Milliseconds between exports to a collector.
EXPORT_INTERVAL_MS: Final = 10000


class GaugePoint(NamedTuple):
    """One point of a gauge."""

    number: float
    #: Service that it belongs to, ``None`` for the whole node.
    service: str | None = None


GaugeReader: TypeAlias = Callable[[], Iterable[GaugePoint]]


class CallLabels(NamedTuple):
    """What calls are counted by."""

    service: str
    outcome: str
    reason: str


class NodeMetrics:
    """The instruments of a node."""

    def __init__(
        self, provider: MeterProvider, reader: InMemoryMetricReader
    ) -> None:
        self._reader = reader
        self._provider = provider
        self._meter = provider.get_meter('merlintrail')
        self._duration = self._meter.create_histogram(
            'http.server.request.duration',
            unit='s',
            description='Time from request to answer.',
        )
        self._calls: Counter[CallLabels] = Counter()
        self._retries: Counter[str] = Counter()
        self._meter.create_observable_counter(
            'merlintrail.calls',
            [self._observe_calls],
            unit='{call}',
            description='Calls by service, outcome and reason.',
        )
        self._meter.create_observable_counter(
            'merlintrail.retries',
            [self._observe_retries],
            unit='{retry}',
            description='Attempts beyond the first of a call.',
        )

    def record_request(
        self, service: str, status: int, duration_s: float
    ) -> None:
        """Record an answered request."""
        defer(
            self._duration.record,
            duration_s,
            {
                'merlintrail.service': service,
                'http.response.status_code': status,
            },
        )

    def record_call(self, service: str, outcome: str, reason: str) -> None:
        """Record what became of a call at its backend server."""
        self._calls[CallLabels(service, outcome, reason)] += 1

    def record_retry(self, service: str) -> None:
        """Record a further attempt."""
        self._retries[service] += 1

    def observe_gauge(
        self, name: str, unit: str, description: str, read: GaugeReader
    ) -> None:
        """Register a gauge that is read at each collection."""

        def collect(_: CallbackOptions) -> Iterable[Observation]:
            for point in read():
                attributes = {}
                if point.service is not None:
                    attributes['merlintrail.service'] = point.service
                yield Observation(point.number, attributes)

        self._meter.create_observable_gauge(
            name, [collect], unit=unit, description=description
        )

    def read_all(self) -> Mapping[str, Any]:
        """Return every metric in the JSON form of OpenTelemetry."""
        do_deferred()
        collected = self._reader.get_metrics_data()
        if collected is None:
            return {}
        document: Mapping[str, Any] = orjson.loads(collected.to_json())
        return document

    def shut_down(self) -> None:
        """Export what is left."""
        self._provider.shutdown()

    def _observe_calls(self, _: CallbackOptions) -> Iterable[Observation]:
        for labels, count in tuple(self._calls.items()):
            yield Observation(
                count,
                {
                    'merlintrail.service': labels.service,
                    'merlintrail.outcome': labels.outcome,
                    'merlintrail.reason': labels.reason,
                },
            )

    def _observe_retries(self, _: CallbackOptions) -> Iterable[Observation]:
        for service, count in tuple(self._retries.items()):
            yield Observation(count, {'merlintrail.service': service})


def create_metrics(
    instance: str, otlp_endpoint: str | None = None
) -> NodeMetrics:
    """Create the metrics of a node.

    :param otlp_endpoint: URL of a collector's OTLP/HTTP metrics endpoint.
    """
    memory_reader = InMemoryMetricReader()
    readers: list[MetricReader] = [memory_reader]
    if otlp_endpoint is not None:
        readers.append(_create_export_reader(otlp_endpoint))
    resource = Resource.create(
        {'service.name': 'merlintrail', 'service.instance.id': instance}
    )
    provider = MeterProvider(metric_readers=readers, resource=resource)
    return NodeMetrics(provider, memory_reader)


def _create_export_reader(endpoint: str) -> MetricReader:
    """Load the exporter only where one is configured: it costs memory."""
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_INTERVAL_MS,
    )
