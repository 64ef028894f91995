"""Listeners for the platform's readiness checks and heartbeats."""

from typing import Final

from merlintrail.node import Node, PlatformSettings, split_host_port
from merlintrail.platform._heartbeats import (
    HeartbeatDependencies,
    HeartbeatService,
)
from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    start_server,
)

_READY_PATH: Final = '/ready'
_READY: Final = HttpResponse(200, (), b'')
_NOT_READY: Final = HttpResponse(503, (), b'')
_NOT_FOUND: Final = HttpResponse(404, (), b'')


class PlatformAdapter:
    """Serves the platform's readiness checks and heartbeats for one node."""

    def __init__(self, node: Node, settings: PlatformSettings) -> None:
        self._node = node
        self._settings = settings
        self._servers: list[HttpServer] = []
        self._heartbeats = HeartbeatService(
            HeartbeatDependencies(
                node.gateway.registry.announce,
                node.gateway.registry.record_departure,
                self._is_configured_service,
                lambda: self._settings.backend_address,
            )
        )

    async def start(self) -> None:
        """Start both listeners.

        :raises OSError: when an address cannot be bound.
        """
        limits = self._node.settings.connection_limits
        for address, handler in (
            (self._settings.ready_address, self._answer_readiness),
            (self._settings.announce_address, self._heartbeats.handle),
        ):
            host, port = split_host_port(address)
            self._servers.append(
                await start_server(
                    handler,
                    host,
                    port,
                    memory=self._node.servers.memory.reserve(
                        limits.platform_connections
                    ),
                )
            )

    def update_settings(self, settings: PlatformSettings) -> None:
        """Replace the settings; the listeners keep their addresses."""
        self._settings = settings

    def stop(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.close()

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        if request.target.partition('?')[0] != _READY_PATH:
            return _NOT_FOUND
        is_ready = self._node.build_health()['is_ready']
        return _READY if is_ready else _NOT_READY

    def _is_configured_service(self, name: str) -> bool:
        """Return whether the configuration contains a service.

        Until the first configuration arrives, the only one is the service that
        the settings name for the backend server beside this node.
        """
        configuration = self._node.holder.current
        if configuration is None:
            return name == self._settings.service
        return name in configuration.services


async def start_adapter(
    node: Node, settings: PlatformSettings
) -> PlatformAdapter:
    """Create the adapter of a node and start its listeners.

    :raises OSError: when an address cannot be bound.
    """
    adapter = PlatformAdapter(node, settings)
    await adapter.start()
    return adapter
