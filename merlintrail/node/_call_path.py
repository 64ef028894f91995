"""Assembly of the components that a call passes through at a node."""

from collections.abc import Callable
from typing import NamedTuple

from merlintrail.coordination import (
    RELAYS_PER_DATA_CENTRE,
    HttpPeerClient,
    Membership,
    QuarantineArchive,
    SlotDependencies,
    UsageExchange,
    create_ledger,
)
from merlintrail.node._contexts import ContextTable
from merlintrail.node._environment import Environment
from merlintrail.node._settings import Settings
from merlintrail.node._suspect_quarantine import SuspectQuarantine
from merlintrail.node.backend import (
    BackendExchange,
    BackendExchangeDependencies,
    BackendGateway,
    BackendRegistry,
    GatewayDependencies,
)
from merlintrail.node.calling import (
    Dispatcher,
    DispatcherDependencies,
    PeerExchange,
    RepeatGrants,
    RepeatLimits,
    StartupWait,
)
from merlintrail.node.keyed import KeyedCalls, KeyedCallsDependencies
from merlintrail.node.serving import CustomerEntry, Ingress, IngressDependencies
from merlintrail.observability import NodeMetrics
from merlintrail.protocol import create_id
from merlintrail.state import (
    CallTable,
    ConfigurationHolder,
    MemberTable,
    NodeLocation,
    Quarantine,
    RoutingTable,
    Suspicion,
)
from merlintrail.state.repeats import RepeatAllowances, RepeatBase, SlotRight
from merlintrail.transport import ConnectionPool


class CallPathDependencies(NamedTuple):
    """Dependencies of :class:`CallPath`."""

    settings: Settings
    incarnation: int
    environment: Environment
    holder: ConfigurationHolder
    table: MemberTable
    quarantine: Quarantine
    membership: Membership
    archive: QuarantineArchive
    peers: HttpPeerClient
    #: Connections for calls to nodes and backend servers.
    pool: ConnectionPool
    metrics: NodeMetrics
    #: Called when the readiness of a backend server changes.
    on_change: Callable[[], None]
    #: Returns the service of this instance, or an empty string if unknown.
    find_own_service: Callable[[], str]
    usage: UsageExchange
    #: The relay slot that this node holds.
    slot_right: SlotRight


class CallPath(NamedTuple):
    """Components that a request passes through, from ingress to gateway."""

    ingress: Ingress
    keyed: KeyedCalls
    dispatcher: Dispatcher
    routing: RoutingTable
    gateway: BackendGateway
    #: Calls running in the local backend servers, by context token.
    contexts: ContextTable
    #: Calls received lately, so that other nodes can query their outcome.
    calls: CallTable
    suspect_quarantine: SuspectQuarantine
    repeats: RepeatLimits


def create_call_path(deps: CallPathDependencies) -> CallPath:
    """Create the components, from the backend server outwards."""
    environment = deps.environment
    suspect_quarantine = SuspectQuarantine(
        deps.quarantine,
        environment.wall_clock,
        lambda suspicions: _share_suspicions(deps, suspicions),
        deps.settings.instance,
    )
    repeats = _create_repeat_limits(deps)
    contexts = ContextTable(environment.dialect, environment.rng)
    calls = CallTable(environment.clock)
    gateway = _create_gateway(
        deps, suspect_quarantine, contexts, calls, repeats
    )
    exchange = PeerExchange(
        deps.pool,
        deps.peers,
        deps.settings.fleet_key,
        environment.clock,
        deps.settings.connection_limits.inquiries,
    )
    routing = RoutingTable(
        NodeLocation(deps.settings.instance, deps.settings.data_centre),
        environment.clock,
        environment.rng,
    )
    dispatcher = Dispatcher(
        DispatcherDependencies(
            deps.settings.instance,
            deps.holder,
            routing,
            exchange,
            gateway,
            deps.metrics,
            suspect_quarantine,
            StartupWait(deps.holder, deps.table, routing, environment.clock),
            repeats.grants,
            environment.clock,
            environment.rng,
        )
    )
    keyed = _create_keyed(deps, dispatcher, exchange)
    ingress = Ingress(
        IngressDependencies(
            deps.settings.instance,
            deps.settings.data_centre,
            deps.holder,
            contexts,
            dispatcher,
            keyed,
            suspect_quarantine,
            deps.metrics,
            environment.dialect,
            deps.find_own_service,
            CustomerEntry(
                deps.holder,
                deps.usage.limiter,
                deps.usage.fair_order,
                environment.clock,
            ),
            environment.clock,
            environment.wall_clock,
            environment.rng,
        )
    )
    return CallPath(
        ingress,
        keyed,
        dispatcher,
        routing,
        gateway,
        contexts,
        calls,
        suspect_quarantine,
        repeats,
    )


def _create_repeat_limits(deps: CallPathDependencies) -> RepeatLimits:
    environment = deps.environment
    clock = environment.read_boot_time
    base = RepeatBase(
        deps.slot_right,
        deps.settings.data_centre,
        RELAYS_PER_DATA_CENTRE,
        clock,
    )
    grants = RepeatGrants(
        deps.membership.own,
        deps.table,
        deps.peers,
        base,
        environment.clock,
        environment.rng,
    )
    allowances = RepeatAllowances(environment.clock, clock)
    return RepeatLimits(allowances, base, grants)


def _create_gateway(
    deps: CallPathDependencies,
    suspect_quarantine: SuspectQuarantine,
    contexts: ContextTable,
    calls: CallTable,
    repeats: RepeatLimits,
) -> BackendGateway:
    environment = deps.environment
    instance = deps.settings.instance
    exchange = BackendExchange(
        BackendExchangeDependencies(
            instance,
            deps.pool,
            environment.dialect,
            suspect_quarantine,
            environment.clock,
            deps.on_change,
        )
    )
    return BackendGateway(
        GatewayDependencies(
            instance,
            deps.incarnation,
            exchange,
            calls,
            contexts,
            suspect_quarantine,
            deps.metrics,
            environment.clock,
            environment.wall_clock,
            BackendRegistry(
                environment.clock,
                environment.wall_clock,
                deps.on_change,
                exchange.record_silent_end,
            ),
            repeats.allowances,
        )
    )


def _share_suspicions(
    deps: CallPathDependencies, suspicions: list[Suspicion]
) -> None:
    """Send changed suspicions to the other nodes and to the store."""
    deps.membership.gossip_suspicions(suspicions)
    deps.archive.save(suspicions)


def _create_keyed(
    deps: CallPathDependencies,
    dispatcher: Dispatcher,
    exchange: PeerExchange,
) -> KeyedCalls:
    environment = deps.environment
    instance = deps.settings.instance
    keyed = KeyedCalls(
        KeyedCallsDependencies(
            instance,
            deps.holder,
            deps.table,
            dispatcher,
            exchange,
            deps.peers,
            deps.pool.budget,
            environment.clock,
            environment.wall_clock,
            environment.rng,
        )
    )
    slot_deps = SlotDependencies(
        environment.store,
        instance,
        environment.wall_clock,
        lambda: create_id(environment.rng),
        deps.settings.connection_limits.ledger_keys,
    )
    keyed.attach(create_ledger(slot_deps, keyed.query_previous_owner))
    return keyed
