"""Assembly, startup and shutdown of a node."""

import asyncio
import os
import resource
import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final

from merlintrail.coordination import (
    ConfigurationCheck,
    ConfigurationSource,
    Heartbeats,
    HttpPeerClient,
    Membership,
    MembershipState,
    QuarantineArchive,
    Relay,
    RelayDependencies,
    UsageExchange,
    run_supervised,
)
from merlintrail.node._call_path import CallPathDependencies, create_call_path
from merlintrail.node._departures import NodeDepartures
from merlintrail.node._environment import Environment, split_host_port
from merlintrail.node._gauges import (
    register_connection_gauges,
    register_coordination_gauges,
    register_gauges,
    register_ledger_gauges,
)
from merlintrail.node._settings import Settings
from merlintrail.node._status import (
    describe_backends,
    describe_members,
    describe_routes,
)
from merlintrail.node.backend import HINT_INTERVAL_S
from merlintrail.node.life import (
    Joiner,
    JoinerDependencies,
    Lifecycle,
    LifecycleDependencies,
)
from merlintrail.node.serving import (
    PEER_LIMITS,
    LocalService,
    NodeServers,
    PeerService,
    PeerServiceDependencies,
)
from merlintrail.observability import NodeMetrics, create_logger, create_metrics
from merlintrail.state import (
    Configuration,
    ConfigurationHolder,
    Member,
    MemberStatus,
    MemberTable,
    Quarantine,
    ServiceOffer,
)
from merlintrail.state.repeats import SlotRight
from merlintrail.transport import (
    DescriptorBudget,
    MemoryBudget,
    PipelineLimits,
    create_memory,
    start_server,
)

#: Seconds between checks of the backend servers' readiness and of the member
#: table.
READINESS_INTERVAL_S: Final = 0.25
#: Seconds to wait for background tasks to end when the node stops. A relay
#: ends its lease then, which an unresponsive store may hold up.
STOP_TIMEOUT_S: Final = 0.3
_MS_PER_S: Final = 1000
_KIB: Final = 1024

_LOG: Final = create_logger('node')


class Node:
    """A node: the process that runs beside a backend server.

    Creates its components and connects them. They begin to work in
    :meth:`start`.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self.settings = settings
        self._environment = environment
        self._clock = environment.clock
        self._wall_clock = environment.wall_clock
        self._rng = environment.rng
        self._tasks: list[asyncio.Task[None]] = []
        self._started_at = self._clock()
        #: Start of this process in milliseconds since the epoch. Identifies
        #: the run to other nodes.
        self.incarnation = int(self._wall_clock() * _MS_PER_S)
        self.metrics: NodeMetrics = create_metrics(
            settings.instance, settings.otlp_endpoint
        )
        self.holder = ConfigurationHolder()
        self.table = MemberTable(self._clock)
        self.quarantine = Quarantine()
        self._create_coordination()
        self._create_call_path()
        self._create_services()
        register_gauges(
            self.metrics,
            self.holder,
            self.table,
            self.gateway,
            self.quarantine,
            self._wall_clock,
        )
        register_coordination_gauges(
            self.metrics,
            self._relay.watch,
            self._source,
            self.membership.confirmations,
            self._repeats,
            self.calls,
            self.servers.memory.budget,
        )
        register_connection_gauges(self.metrics, self.servers)
        register_ledger_gauges(
            self.metrics,
            self.keyed.ledger.count_keys,
            settings.connection_limits.ledger_keys,
        )
        self.holder.add_listener(self._apply_configuration)
        self.table.add_listener(self.routing.update_member)
        self.table.add_listener(self.dispatcher.notices.record_member)
        self.heartbeats.departures = NodeDepartures(
            self.dispatcher.notices, self.gateway.registry
        )
        self.table.add_listener(self._drop_idle_connections)

    @property
    def slot_right(self) -> SlotRight:
        """The relay slot that this node holds."""
        return self._relay.right

    async def start(self, call_listener: socket.socket | None = None) -> None:
        """Listen on the addresses and start the background tasks.

        :param call_listener: socket that listens on the call address already.
        :raises OSError: if an address cannot be bound.
        """
        self.dispatcher.startup.begin()
        limits = self.settings.connection_limits
        host, port = split_host_port(
            self.settings.peer_listen_address or self.settings.peer_address
        )
        self.servers.peers.append(
            await start_server(
                self.peer_service.handle,
                host,
                port,
                limits=PEER_LIMITS,
                memory=self.servers.memory._replace(
                    max_connections=limits.peer_connections,
                    receive_buffer_bytes=limits.receive_buffer_bytes,
                ),
                reports=self.servers.build_peer_reports(),
            )
        )
        host, port = split_host_port(self.settings.call_address)
        self.servers.callers.append(
            await start_server(
                self.local_service.handle,
                host,
                port,
                listener=call_listener,
                memory=self.servers.memory._replace(
                    max_connections=limits.caller_connections,
                    receive_buffer_bytes=limits.receive_buffer_bytes,
                ),
                reports=self.servers.build_caller_reports(),
            )
        )
        self.start_task('join', self.join)
        self.start_task('heartbeats', self.heartbeats.run)
        self.start_task('relay', self.run_relay)
        self.start_task('check', self._check.run)
        self.start_task('archive', self.run_archive)
        self.start_task('usage', self._usage.run)
        self.start_task('readiness', self._poll_readiness)
        self.start_task('hints', self._poll_hints)
        self.start_task('lifecycle', self.lifecycle.run)
        _LOG.info(
            'node started',
            extra={
                'instance': self.settings.instance,
                'incarnation': self.incarnation,
                'call_address': self.settings.call_address,
            },
        )

    async def stop(self) -> None:
        """Cancel the background tasks and close servers and connections."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            _, unfinished = await asyncio.wait(
                self._tasks, timeout=STOP_TIMEOUT_S
            )
            if unfinished:
                _LOG.warning(
                    'tasks did not end in time',
                    extra={'tasks': len(unfinished)},
                )
        self.servers.close()
        self._pool.close()
        self._peer_pool.close()
        _LOG.info('node stopped', extra={'instance': self.settings.instance})

    def start_task(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Run background work until the node stops."""
        self._tasks.append(asyncio.create_task(run_supervised(name, work)))

    async def join(self) -> None:
        """Join the other nodes and fetch the configuration."""
        await self._joiner.run()
        self.routing.has_initial_members = True

    async def run_relay(self) -> None:
        """Watch the store as a relay whenever the data centre needs one."""
        await self._relay.run()

    async def run_archive(self) -> None:
        """Keep the quarantined requests in the store."""
        await self._archive.run()

    def update_settings(self, settings: Settings) -> None:
        """Apply reloaded settings; all but ``platform`` need a restart."""
        current = self.settings._asdict()
        changed = [
            name
            for name, value in settings._asdict().items()
            if name != 'platform' and value != current[name]
        ]
        if changed:
            _LOG.warning(
                'settings that need a new start', extra={'names': changed}
            )
        self.settings = self.settings._replace(platform=settings.platform)

    def begin_shutdown(self, reason: str) -> None:
        """Begin to shut down and let running calls finish.

        The node stops within the grace period of the platform, if there is
        one.
        """
        platform = self.settings.platform
        if platform is None:
            self.lifecycle.start_drain(reason)
            return
        self.lifecycle.start_shutdown(reason, platform.stop_grace_s)

    def build_health(self) -> Mapping[str, Any]:
        """Return whether the node is ready, and the reasons if it is not."""
        reasons = []
        if self.holder.current is None:
            reasons.append('no configuration yet')
        if self.gateway.is_draining or self.lifecycle.is_shutting_down:
            reasons.append('draining')
        return {'is_ready': not reasons, 'reasons': reasons}

    def build_status(self) -> Mapping[str, Any]:
        """Return the state of the node for operators."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            'instance': self.settings.instance,
            'data_centre': self.settings.data_centre,
            'incarnation': self.incarnation,
            'process': os.getpid(),
            'uptime_s': round(self._clock() - self._started_at, 1),
            'generation': self.holder.generation,
            'health': self.build_health(),
            'is_relay': self.membership.own.is_relay,
            'members': len(self.table.list_active()),
            'member_digest': f'{self.table.digest:016x}',
            'running': self.ingress.running,
            'backend_servers': describe_backends(self.gateway, self._clock()),
            'ledger_running': self.keyed.ledger.running,
            'store_calls': dict(getattr(self._environment.store, 'counts', {})),
            'control_bytes': {
                'sent': self._peer_pool.bytes_sent,
                'received': self._peer_pool.bytes_received,
            },
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'max_memory_bytes': usage.ru_maxrss * _KIB,
        }

    def list_members(self) -> Sequence[Mapping[str, Any]]:
        """Return all entries of the member table, for operators."""
        return describe_members(self.table)

    def list_routes(self) -> Sequence[Mapping[str, Any]]:
        """Return the active routes, none without a configuration."""
        if self.holder.current is None:
            return ()
        return describe_routes(self.holder.current)

    def _create_coordination(self) -> None:
        settings = self.settings
        self._pool = self._environment.create_pool()
        self._peer_pool = self._environment.create_pool()
        limits = settings.connection_limits
        self._budget = MemoryBudget(limits.memory_bytes)
        self._descriptors = DescriptorBudget(limits.sockets)
        for pool in (self._pool, self._peer_pool):
            pool.budget = self._budget
            pool.descriptors = self._descriptors
            pool.receive_buffer_bytes = limits.opened_receive_buffer_bytes
        self._peer_pool.is_vital = True
        self.peers = HttpPeerClient(self._peer_pool, settings.fleet_key)
        own = Member(
            settings.instance,
            self.incarnation,
            1,
            MemberStatus.ALIVE,
            settings.data_centre,
            settings.call_address,
            settings.peer_address,
        )
        self.membership = Membership(
            own,
            MembershipState(self.table, self.holder, self.quarantine),
            self._clock,
            self._wall_clock,
        )
        self.heartbeats = Heartbeats(
            self.membership, self.peers, self._clock, self._rng
        )
        self._usage = UsageExchange(self.membership, self.peers, self._clock)
        store = self._environment.store
        self._archive = QuarantineArchive(
            self.membership, store, self._wall_clock, self._rng
        )
        self._source = ConfigurationSource(
            self.membership, store, self.heartbeats.notify_neighbours
        )
        self._check = ConfigurationCheck(
            self.membership.confirmations,
            self._source,
            lambda: len(self.table.list_active()),
            self._rng,
        )
        self._relay = Relay(
            RelayDependencies(
                self.membership,
                self.heartbeats,
                store,
                self._source,
                self._archive,
                self._environment.read_boot_time,
            ),
            self._rng,
        )
        self._joiner = Joiner(
            JoinerDependencies(
                settings, self.membership, self.heartbeats, self._source, store
            ),
            self._rng,
        )

    def _create_call_path(self) -> None:
        path = create_call_path(
            CallPathDependencies(
                self.settings,
                self.incarnation,
                self._environment,
                self.holder,
                self.table,
                self.quarantine,
                self.membership,
                self._archive,
                self.peers,
                self._pool,
                self.metrics,
                self._update_offers,
                self._find_own_service,
                self._usage,
                self.slot_right,
            )
        )
        self._repeats = path.repeats
        self.routing = path.routing
        self.calls = path.calls
        self._suspect_quarantine = path.suspect_quarantine
        self.contexts = path.contexts
        self.gateway = path.gateway
        self.dispatcher = path.dispatcher
        self.keyed = path.keyed
        self.ingress = path.ingress

    def _create_services(self) -> None:
        settings = self.settings
        limits = settings.connection_limits
        self.servers = NodeServers(
            self.ingress,
            create_memory(self._budget, descriptors=self._descriptors)._replace(
                pipelines=PipelineLimits(
                    limits.early_requests, limits.deep_requests_per_s
                )
            ),
        )
        self.lifecycle = Lifecycle(
            LifecycleDependencies(
                settings.instance,
                settings.data_centre,
                self.holder,
                self.membership,
                self.heartbeats,
                self.gateway,
                self.ingress,
                self.servers,
                self._clock,
                self._wall_clock,
            )
        )
        host, _ = split_host_port(settings.call_address)
        self.local_service = LocalService(
            self.gateway,
            self.ingress.handle,
            host,
            self.build_health,
            has_own_paths=settings.platform is None,
        )
        self.peer_service = PeerService(
            PeerServiceDependencies(
                settings.fleet_key,
                self.incarnation,
                self.calls,
                self.gateway,
                self.keyed,
                self.heartbeats,
                self._usage,
                self._repeats.grants,
                self,
                self._clock,
            )
        )

    def _find_own_service(self) -> str:
        """Return the service of this instance, empty if not yet known."""
        platform = self.settings.platform
        if platform is not None and platform.service:
            return platform.service
        return self.gateway.registry.find_own_service()

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.routing.update_regions(configuration.regions)
        self._repeats.configure(configuration)
        self.gateway.update_configuration(configuration)
        self.keyed.ledger.update_settings(configuration.ledger)
        self._update_links(configuration)
        self._usage.configure(configuration.customers)
        self.servers.apply_limits(configuration.caller_limits)
        _LOG.info(
            'configuration in force',
            extra={
                'generation': configuration.generation,
                'change_id': configuration.change_id,
            },
        )

    def _update_links(self, configuration: Configuration) -> None:
        region = configuration.regions.get(self.settings.data_centre)
        nodes = sum(
            1
            for member in self.table.list_active()
            if configuration.regions.get(member.data_centre) == region
        )
        self.routing.links.update(configuration.links, nodes)

    def _drop_idle_connections(
        self, previous: Member | None, member: Member
    ) -> None:
        """Close idle connections to a member that departed or restarted."""
        has_restarted = (
            previous is not None and previous.incarnation < member.incarnation
        )
        if member.has_departed or has_restarted:
            self._pool.drop_idle(member.peer_address)
            self._peer_pool.drop_idle(member.peer_address)

    def _update_offers(self) -> None:
        now = self._clock()
        offers = tuple(
            ServiceOffer(
                name,
                gate.backend.announcement.slots,
                gate.backend.is_ready(now),
                gate.describe_departure(),
            )
            for name, gate in sorted(self.gateway.gates.items())
        )
        self.membership.update_own(offers=offers)

    async def _poll_readiness(self) -> None:
        links_digest = 0
        while True:
            self.gateway.registry.report_expired()
            self._update_offers()
            digest = self.table.digest
            if self.holder.current is not None and digest != links_digest:
                links_digest = digest
                self._update_links(self.holder.current)
                self._usage.configure(self.holder.current.customers)
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _poll_hints(self) -> None:
        while True:
            await asyncio.sleep(HINT_INTERVAL_S)
            await self.gateway.refresh_hints()


def create_node(settings: Settings, environment: Environment) -> Node:
    """Create a node; :meth:`Node.start` starts it."""
    return Node(settings, environment)
