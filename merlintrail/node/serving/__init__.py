"""Requests of callers, of local backend servers and of other nodes."""

from merlintrail.node.serving._connections import PEER_LIMITS, NodeServers
from merlintrail.node.serving._customer_entry import CustomerEntry
from merlintrail.node.serving._ingress import Ingress, IngressDependencies
from merlintrail.node.serving._local_service import LocalService
from merlintrail.node.serving._peer_service import (
    PeerService,
    PeerServiceDependencies,
)

__all__ = (
    'CustomerEntry',
    'Ingress',
    'IngressDependencies',
    'LocalService',
    'NodeServers',
    'PEER_LIMITS',
    'PeerService',
    'PeerServiceDependencies',
)
