"""Gauge metrics of a node's state."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from merlintrail.coordination import (
    ConfigurationSource,
    ConfigurationWatch,
    ConfirmationRecord,
)
from merlintrail.node.backend import AdmissionGate, BackendGateway
from merlintrail.node.calling import RepeatLimits
from merlintrail.node.serving import NodeServers
from merlintrail.observability import GaugePoint, NodeMetrics
from merlintrail.state import (
    CallTable,
    ConfigurationHolder,
    MemberTable,
    Quarantine,
)
from merlintrail.transport import MemoryBudget


class _GateGauge(NamedTuple):
    """A gauge with one data point for each backend server."""

    name: str
    unit: str
    description: str
    read: Callable[[AdmissionGate], float]


_GATE_GAUGES: Final = (
    _GateGauge(
        'merlintrail.running',
        '{call}',
        'Calls that hold a slot of the backend server.',
        lambda gate: gate.admission.running,
    ),
    _GateGauge(
        'merlintrail.queued',
        '{call}',
        'Calls that wait for a slot.',
        lambda gate: gate.admission.queued,
    ),
    _GateGauge(
        'merlintrail.limit',
        '{call}',
        'Calls that may run at a time.',
        lambda gate: gate.limit.limit,
    ),
    _GateGauge(
        'merlintrail.shedding_level',
        '1',
        'Calls of a lower priority are refused, 0 to 127.',
        lambda gate: gate.shedder.level,
    ),
    _GateGauge(
        'merlintrail.rate_limit',
        '{call}/s',
        'Calls per second that the backend server states to take, 0 if none.',
        lambda gate: gate.admission.rate_limit.rate or 0.0,
    ),
    _GateGauge(
        'merlintrail.is_leaving',
        '1',
        'Whether the backend server states that it is leaving.',
        lambda gate: float(gate.backend.is_leaving),
    ),
)


def _read_gates(
    gates: Mapping[str, AdmissionGate], read: Callable[[AdmissionGate], float]
) -> Iterable[GaugePoint]:
    for service, gate in tuple(gates.items()):
        yield GaugePoint(read(gate), service)


def register_gauges(
    metrics: NodeMetrics,
    holder: ConfigurationHolder,
    table: MemberTable,
    gateway: BackendGateway,
    quarantine: Quarantine,
    wall_clock: Callable[[], float],
) -> None:
    """Register all gauges of a node."""
    metrics.register_gauge(
        'merlintrail.generation',
        '1',
        'Generation of the configuration in force.',
        lambda: [GaugePoint(holder.generation)],
    )
    metrics.register_gauge(
        'merlintrail.configuration_faults',
        '{finding}',
        'Faults of the stored version that is in force without these parts.',
        lambda: [GaugePoint(len(holder.findings))],
    )
    metrics.register_gauge(
        'merlintrail.members',
        '{node}',
        'Nodes known, gone ones included.',
        lambda: [GaugePoint(len(table))],
    )
    metrics.register_gauge(
        'merlintrail.suspects',
        '{request}',
        'Requests that ran in backend servers when they crashed.',
        lambda: [GaugePoint(quarantine.count_suspects())],
    )
    metrics.register_gauge(
        'merlintrail.quarantined',
        '{request}',
        'Requests that are refused because they crash backend servers.',
        lambda: [GaugePoint(quarantine.count_quarantined(wall_clock()))],
    )
    for gauge in _GATE_GAUGES:
        _register_gate_gauge(metrics, gateway, gauge)


def register_coordination_gauges(
    metrics: NodeMetrics,
    watch: ConfigurationWatch,
    source: ConfigurationSource,
    confirmations: ConfirmationRecord,
    repeats: RepeatLimits,
    calls: CallTable,
    budget: MemoryBudget,
) -> None:
    """Register the gauges of what a node shares with the others."""
    metrics.register_gauge(
        'merlintrail.watch_age',
        's',
        'Time since the store last answered a watch of this relay.',
        lambda: _read_age(watch),
    )
    metrics.register_gauge(
        'merlintrail.configuration_age',
        's',
        'Time since the generation in force was confirmed as the newest.',
        lambda: [GaugePoint(confirmations.read_age())],
    )
    metrics.register_gauge(
        'merlintrail.configuration_refused',
        '1',
        'Whether the store holds a version that cannot be put in force.',
        lambda: [GaugePoint(float(source.is_refused))],
    )
    metrics.register_gauge(
        'merlintrail.unknown_inquiries',
        '{inquiry}',
        'Inquiries about calls that may have been forgotten, since the start.',
        lambda: [GaugePoint(calls.unknown_inquiries)],
    )
    metrics.register_gauge(
        'merlintrail.held_bytes',
        'By',
        'Memory that connections, requests and answers hold.',
        lambda: [GaugePoint(budget.taken_bytes)],
    )
    metrics.register_gauge(
        'merlintrail.held_bytes_limit',
        'By',
        'Memory that they may hold together.',
        lambda: [GaugePoint(budget.limit_bytes)],
    )
    metrics.register_gauge(
        'merlintrail.room_refusals',
        '{request}',
        'Requests refused for want of memory, since the start.',
        lambda: [GaugePoint(budget.refusals)],
    )
    metrics.register_gauge(
        'merlintrail.answers_waiting',
        '{answer}',
        'Answers that are not read on, since there is no room for them.',
        lambda: [GaugePoint(budget.count_waiting())],
    )
    metrics.register_gauge(
        'merlintrail.repeat_room',
        '{call}',
        'Repeats that may be handed over to the backend server now.',
        lambda: _read_room(repeats),
    )


def register_ledger_gauges(
    metrics: NodeMetrics, count_keys: Callable[[], int], max_keys: int
) -> None:
    """Register the gauges of the keys that a node keeps."""
    metrics.register_gauge(
        'merlintrail.ledger_keys',
        '{key}',
        'Idempotency keys that this node keeps.',
        lambda: [GaugePoint(count_keys())],
    )
    metrics.register_gauge(
        'merlintrail.ledger_keys_limit',
        '{key}',
        'Idempotency keys that it may keep.',
        lambda: [GaugePoint(max_keys)],
    )


def register_connection_gauges(
    metrics: NodeMetrics, servers: NodeServers
) -> None:
    """Register the gauges of how accepted connections end."""
    metrics.register_gauge(
        'merlintrail.connections_cut',
        '{connection}',
        'Connections that this node ended before all was delivered, since the '
        'start.',
        lambda: [GaugePoint(servers.caller_ends.cut + servers.peer_ends.cut)],
    )
    metrics.register_gauge(
        'merlintrail.connections_left',
        '{connection}',
        'Connections that the other end left before all was delivered, since '
        'the start.',
        lambda: [GaugePoint(servers.caller_ends.left + servers.peer_ends.left)],
    )

    metrics.register_gauge(
        'merlintrail.connections_open',
        '{connection}',
        'Accepted connections that are open.',
        lambda: [GaugePoint(servers.count_open())],
    )
    descriptors = servers.memory.descriptors
    metrics.register_gauge(
        'merlintrail.connections_opened',
        '{connection}',
        'Connections to backend servers and other nodes that are open.',
        lambda: [GaugePoint(descriptors.opened)],
    )
    metrics.register_gauge(
        'merlintrail.connections_limit',
        '{connection}',
        'Accepted and opened connections that may be open together.',
        lambda: [GaugePoint(descriptors.limit)],
    )
    metrics.register_gauge(
        'merlintrail.connection_refusals',
        '{connection}',
        'Connections that were not opened for want of descriptors, since the '
        'start.',
        lambda: [GaugePoint(descriptors.refusals)],
    )
    metrics.register_gauge(
        'merlintrail.connections_displaced',
        '{connection}',
        'Connections that were closed to make room for others, since the '
        'start.',
        lambda: [GaugePoint(servers.count_displaced())],
    )
    metrics.register_gauge(
        'merlintrail.untaken_bytes',
        'By',
        'Memory of answers that callers take slowly.',
        lambda: [GaugePoint(servers.memory.answers.total_bytes)],
    )
    metrics.register_gauge(
        'merlintrail.connections_ending',
        '{connection}',
        'Connections whose last answer is written, and which are still open.',
        lambda: [GaugePoint(len(servers.list_ending()))],
    )
    metrics.register_gauge(
        'merlintrail.connections_ending_age',
        's',
        'Time since the last answer of the oldest of them was written.',
        lambda: [
            GaugePoint(
                max((end.ending_s for end in servers.list_ending()), default=0)
            )
        ],
    )
    metrics.register_gauge(
        'merlintrail.connections_ending_bytes',
        'By',
        'What their callers have not taken yet.',
        lambda: [
            GaugePoint(sum(end.untaken_bytes for end in servers.list_ending()))
        ],
    )


def _read_age(watch: ConfigurationWatch) -> Iterable[GaugePoint]:
    age_s = watch.read_age()
    if age_s is not None:
        yield GaugePoint(age_s)


def _read_room(repeats: RepeatLimits) -> Iterable[GaugePoint]:
    for service, allowance in repeats.allowances.list_all():
        yield GaugePoint(allowance.read_room(), service)


def _register_gate_gauge(
    metrics: NodeMetrics, gateway: BackendGateway, gauge: _GateGauge
) -> None:
    metrics.register_gauge(
        gauge.name,
        gauge.unit,
        gauge.description,
        lambda: _read_gates(gateway.gates, gauge.read),
    )
