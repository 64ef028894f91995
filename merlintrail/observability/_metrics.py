"""OpenTelemetry metrics, named by its semantic conventions."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import orjson
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from merlintrail.observability._deferred import defer

#: Milliseconds between exports to an OTLP collector.
EXPORT_INTERVAL_MS: Final = 10000


class GaugePoint(NamedTuple):
    """One measurement of a gauge."""

    number: float
    #: Service that was measured, ``None`` for the whole node.
    service: str | None = None


GaugeReader: TypeAlias = Callable[[], Iterable[GaugePoint]]


class CallLabels(NamedTuple):
    """Labels of the counter of calls."""

    service: str
    outcome: str
    reason: str


class RetryLabels(NamedTuple):
    """Labels of the counter of retries."""

    service: str


class RefusalLabels(NamedTuple):
    """Labels of the counter of refusals."""

    service: str
    reason: str


class NodeMetrics:
    """The metric instruments of a node and the readers that collect them."""

    def __init__(
        self,
        provider: MeterProvider,
        reader: InMemoryMetricReader,
        registry: CollectorRegistry,
    ) -> None:
        self._reader = reader
        self._registry = registry
        self._provider = provider
        self._meter = provider.get_meter('merlintrail')
        self._duration = self._meter.create_histogram(
            'http.server.request.duration',
            unit='s',
            description='Time from request to answer.',
        )
        self._calls: Counter[CallLabels] = Counter()
        self._retries: Counter[RetryLabels] = Counter()
        self._refusals: Counter[RefusalLabels] = Counter()
        self._meter.create_observable_counter(
            'merlintrail.calls',
            [lambda _: _observe(self._calls)],
            unit='{call}',
            description='Calls by service, outcome and reason.',
        )
        self._meter.create_observable_counter(
            'merlintrail.retries',
            [lambda _: _observe(self._retries)],
            unit='{retry}',
            description='Attempts beyond the first of a call.',
        )
        self._meter.create_observable_counter(
            'merlintrail.refusals',
            [lambda _: _observe(self._refusals)],
            unit='{call}',
            description='Calls refused before they were sent to a node.',
        )

    def record_request(
        self, service: str, status: int, duration_s: float
    ) -> None:
        """Record the duration and status of an answered request."""
        defer(
            self._duration.record,
            duration_s,
            {
                'merlintrail.service': service,
                'http.response.status_code': status,
            },
        )

    def record_call(self, service: str, outcome: str, reason: str) -> None:
        """Count a call by its outcome at the backend server."""
        self._calls[CallLabels(service, outcome, reason)] += 1

    def record_retry(self, service: str) -> None:
        """Count an attempt beyond the first of a call."""
        self._retries[RetryLabels(service)] += 1

    def record_refusal(self, service: str, reason: str) -> None:
        """Count a call that was refused before it was sent to a node.

        :param service: empty when the call was not routed.
        """
        self._refusals[RefusalLabels(service, reason)] += 1

    def register_gauge(
        self, name: str, unit: str, description: str, read: GaugeReader
    ) -> None:
        """Register a gauge that calls ``read`` at each collection."""

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
        """Return all metrics in OpenTelemetry's JSON representation."""
        collected = self._reader.get_metrics_data()
        if collected is None:
            return {}
        document: Mapping[str, Any] = orjson.loads(collected.to_json())
        return document

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def shut_down(self) -> None:
        """Export pending measurements and stop collecting."""
        self._provider.shutdown()


def _observe(counts: Mapping[Any, int]) -> Iterable[Observation]:
    """Yield an observation per label set, with its fields as attributes."""
    for labels, count in tuple(counts.items()):
        attributes = {
            f'merlintrail.{name}': text
            for name, text in labels._asdict().items()
        }
        yield Observation(count, attributes)


def create_metrics(
    instance: str, otlp_endpoint: str | None = None
) -> NodeMetrics:
    """Create the metrics of a node.

    :param instance: name of the node, exported as ``service.instance.id``.
    :param otlp_endpoint: URL of a collector's OTLP/HTTP metrics endpoint, or
        ``None`` to export nothing.
    """
    memory_reader = InMemoryMetricReader()
    registry = CollectorRegistry()
    readers: list[MetricReader] = [
        memory_reader,
        PrometheusMetricReader(scope_info_enabled=False, registry=registry),
    ]
    if otlp_endpoint is not None:
        readers.append(_create_export_reader(otlp_endpoint))
    resource = Resource.create(
        {'service.name': 'merlintrail', 'service.instance.id': instance}
    )
    provider = MeterProvider(metric_readers=readers, resource=resource)
    return NodeMetrics(provider, memory_reader, registry)


def _create_export_reader(endpoint: str) -> MetricReader:
    """Create the reader that exports to a collector.

    The exporter is imported only when an endpoint is configured, because
    the import costs memory.
    """
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_INTERVAL_MS,
    )
