"""A node with its adapter to the platform, as the daemon runs it."""

from merlintrail.coordination import create_http_store
from merlintrail.node import Settings, create_environment, create_node
from merlintrail.platform import (
    PlatformAdapter,
    PlatformDialect,
    PlatformStoreWire,
    start_adapter,
)


class Process:
    """A node and its adapter to the platform, if it has one."""

    def __init__(self, settings: Settings, wire: PlatformStoreWire | None):
        self._wire = wire
        self._adapter: PlatformAdapter | None = None
        store = create_http_store(settings.store_addresses, wire)
        dialect = None if wire is None else PlatformDialect()
        self.node = create_node(settings, create_environment(store, dialect))

    async def start_adapter(self) -> None:
        """Listen for the platform.

        :raises OSError: when an address cannot be bound.
        """
        if self.node.settings.platform is not None:
            self._adapter = await start_adapter(
                self.node, self.node.settings.platform
            )

    def apply(self, settings: Settings) -> None:
        """Take changed settings; addresses need a new start."""
        self.node.update_settings(settings)
        platform = settings.platform
        if platform is None or self._wire is None or self._adapter is None:
            return
        self._wire.settings = platform
        self._adapter.update_settings(platform)


def create_process(settings: Settings) -> Process:
    """Choose how store, callers and backend servers are spoken to."""
    platform = settings.platform
    wire = None if platform is None else PlatformStoreWire(platform)
    return Process(settings, wire)
