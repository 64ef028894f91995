"""Backend servers beside a node: readiness, admission and exchanges."""

from merlintrail.node.backend._backend import (
    HINT_INTERVAL_S,
    Announcement,
    AnnouncementOrder,
    InvalidAnnouncement,
    is_local_sender,
    read_announcement,
)
from merlintrail.node.backend._backend_exchange import (
    BackendExchange,
    BackendExchangeDependencies,
)
from merlintrail.node.backend._backend_gateway import (
    BackendGateway,
    GatewayDependencies,
)
from merlintrail.node.backend._backend_registry import BackendRegistry
from merlintrail.node.backend._gate import AdmissionGate

__all__ = (
    'AdmissionGate',
    'Announcement',
    'AnnouncementOrder',
    'BackendExchange',
    'BackendExchangeDependencies',
    'BackendGateway',
    'BackendRegistry',
    'GatewayDependencies',
    'HINT_INTERVAL_S',
    'InvalidAnnouncement',
    'is_local_sender',
    'read_announcement',
)
