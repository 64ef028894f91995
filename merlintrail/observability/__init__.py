"""Structured logs and OpenTelemetry metrics of a node."""

from merlintrail.observability._deferred import defer, run_deferred
from merlintrail.observability._errors import describe_error
from merlintrail.observability._logs import (
    JsonLinesHandler,
    create_logger,
    log_decision,
    open_log,
)
from merlintrail.observability._metrics import (
    GaugePoint,
    NodeMetrics,
    create_metrics,
)

__all__ = (
    'GaugePoint',
    'JsonLinesHandler',
    'NodeMetrics',
    'create_logger',
    'create_metrics',
    'defer',
    'describe_error',
    'log_decision',
    'open_log',
    'run_deferred',
)
