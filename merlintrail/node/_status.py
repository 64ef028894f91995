"""Descriptions of backend servers, routes and members for operators."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

from merlintrail.node.backend import BackendGateway
from merlintrail.protocol import Importance
from merlintrail.state import Configuration, Member, MemberStatus

_MS_PER_S: Final = 1000


def describe_backends(
    gateway: BackendGateway, now: float
) -> Sequence[Mapping[str, Any]]:
    """Describe the backend servers beside a node and their load."""
    return [
        {
            'service': name,
            'address': gate.backend.announcement.address,
            'slots': gate.backend.announcement.slots,
            'is_ready': gate.backend.is_ready(now),
            'limit': gate.limit.limit,
            'running': gate.admission.running,
            'queued': gate.admission.queued,
            'service_ms': gate.admission.service_s * _MS_PER_S,
            'shedding_level': gate.shedder.read_level(now),
            'health_hint': gate.backend.health_hint,
            'load_hint': gate.backend.load_hint,
        }
        for name, gate in gateway.gates.items()
    ]


def describe_routes(
    configuration: Configuration,
) -> Sequence[Mapping[str, Any]]:
    """Describe the routes of a configuration."""
    return [
        {
            'host': route.host,
            'prefix': route.prefix,
            'services': [share._asdict() for share in route.shares],
            'importance': Importance(route.kind.importance).name.lower(),
            'is_idempotent': route.kind.is_idempotent,
            'deadline_ms': route.kind.deadline_ms,
            'objective_ms': route.kind.objective_ms,
            'attempts': route.kind.attempts,
        }
        for route in configuration.routes
    ]


def describe_members(members: Iterable[Member]) -> Sequence[Mapping[str, Any]]:
    """Describe members of the fleet."""
    return [
        {
            **member._asdict(),
            'status': MemberStatus(member.status).name.lower(),
            'offers': [offer._asdict() for offer in member.offers],
        }
        for member in members
    ]
