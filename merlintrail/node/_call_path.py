"""The parts that a call passes through at one node, put together."""

from collections.abc import Callable
from typing import NamedTuple

from merlintrail.coordination import (
    HttpPeerClient,
    Membership,
    SlotDependencies,
    create_ledger,
)
from merlintrail.node._backend_exchange import BackendExchange, ExchangeParts
from merlintrail.node._backend_registry import BackendRegistry
from merlintrail.node._contexts import ContextTable
from merlintrail.node._dispatch import Dispatcher, DispatchParts
from merlintrail.node._environment import Environment
from merlintrail.node._exchange import PeerExchange
from merlintrail.node._gatekeeper import Gatekeeper, GateParts
from merlintrail.node._ingress import Ingress, IngressParts
from merlintrail.node._keyed import KeyedCalls, KeyedParts
from merlintrail.node._settings import Settings
from merlintrail.node._suspicions import Suspicions
from merlintrail.observability import NodeMetrics
from merlintrail.protocol import create_id
from merlintrail.state import (
    CallTable,
    ConfigurationHolder,
    MemberTable,
    Place,
    Quarantine,
    RoutingTable,
)
from merlintrail.transport import ConnectionPool


class PathParts(NamedTuple):
    """What a call path is made with."""

    settings: Settings
    incarnation: int
    environment: Environment
    holder: ConfigurationHolder
    table: MemberTable
    quarantine: Quarantine
    membership: Membership
    peers: HttpPeerClient
    #: Connections for calls to nodes and backend servers.
    pool: ConnectionPool
    metrics: NodeMetrics
    #: Told when a backend server's readiness changes.
    on_change: Callable[[], None]
    #: Returns the service of this instance, empty while unknown.
    find_own_service: Callable[[], str]


class CallPath(NamedTuple):
    """A request meets these from the ingress to the backend server."""

    ingress: Ingress
    keyed: KeyedCalls
    dispatcher: Dispatcher
    routing: RoutingTable
    gatekeeper: Gatekeeper
    #: Calls that run in the own backend server, and those that it makes.
    contexts: ContextTable
    #: Calls that other nodes sent, for their inquiries.
    calls: CallTable
    suspicions: Suspicions


def create_call_path(parts: PathParts) -> CallPath:
    """Create the parts from the backend server outwards."""
    environment = parts.environment
    settings = parts.settings
    suspicions = Suspicions(
        parts.quarantine,
        environment.wall_clock,
        parts.membership.gossip_suspicions,
        f'{settings.instance}/{parts.incarnation}',
    )
    contexts = ContextTable(environment.dialect, environment.source)
    calls = CallTable(environment.clock)
    gatekeeper = _create_gatekeeper(parts, suspicions, contexts, calls)
    exchange = PeerExchange(
        parts.pool, parts.peers, settings.fleet_key, environment.clock
    )
    routing = RoutingTable(
        Place(settings.instance, settings.data_centre),
        environment.clock,
        environment.source,
    )
    dispatcher = Dispatcher(
        DispatchParts(
            settings.instance,
            parts.holder,
            routing,
            exchange,
            gatekeeper,
            parts.metrics,
            suspicions,
            environment.clock,
            environment.source,
        )
    )
    keyed = _create_keyed(parts, dispatcher, exchange)
    ingress = Ingress(
        IngressParts(
            settings.instance,
            settings.data_centre,
            parts.holder,
            contexts,
            dispatcher,
            keyed,
            suspicions,
            parts.metrics,
            environment.dialect,
            parts.find_own_service,
            environment.clock,
            environment.wall_clock,
            environment.source,
        )
    )
    return CallPath(
        ingress,
        keyed,
        dispatcher,
        routing,
        gatekeeper,
        contexts,
        calls,
        suspicions,
    )


def _create_gatekeeper(
    parts: PathParts,
    suspicions: Suspicions,
    contexts: ContextTable,
    calls: CallTable,
) -> Gatekeeper:
    environment = parts.environment
    instance = parts.settings.instance
    exchange = BackendExchange(
        ExchangeParts(
            instance,
            parts.pool,
            environment.dialect,
            suspicions,
            environment.clock,
            parts.on_change,
        )
    )
    return Gatekeeper(
        GateParts(
            instance,
            parts.incarnation,
            exchange,
            calls,
            contexts,
            suspicions,
            parts.metrics,
            environment.clock,
            environment.wall_clock,
            BackendRegistry(
                environment.clock, environment.wall_clock, parts.on_change
            ),
        )
    )


def _create_keyed(
    parts: PathParts, dispatcher: Dispatcher, exchange: PeerExchange
) -> KeyedCalls:
    environment = parts.environment
    instance = parts.settings.instance
    keyed = KeyedCalls(
        KeyedParts(
            instance,
            parts.holder,
            parts.table,
            dispatcher,
            exchange,
            parts.peers,
            environment.clock,
            environment.wall_clock,
            environment.source,
        )
    )
    slot_parts = SlotDependencies(
        environment.store,
        instance,
        environment.wall_clock,
        lambda: create_id(environment.source),
    )
    keyed.attach(create_ledger(slot_parts, keyed.recall))
    return keyed
