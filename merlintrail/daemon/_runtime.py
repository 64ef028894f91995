"""Assembly of a node and its optional platform adapter for the daemon."""

from merlintrail.coordination import create_http_store
from merlintrail.node import Settings, create_environment, create_node
from merlintrail.platform import (
    PlatformAdapter,
    PlatformDialect,
    PlatformStoreWire,
    start_adapter,
)


class NodeRuntime:
    """A node and its platform adapter, if a platform is configured."""

    def __init__(self, settings: Settings, wire: PlatformStoreWire | None):
        self._wire = wire
        self._adapter: PlatformAdapter | None = None
        store = create_http_store(settings.store_addresses, wire)
        dialect = None if wire is None else PlatformDialect()
        self.node = create_node(settings, create_environment(store, dialect))

    async def start_adapter(self) -> None:
        """Start the listeners for the platform, if one is configured.

        :raises OSError: when an address cannot be bound.
        """
        if self.node.settings.platform is not None:
            self._adapter = await start_adapter(
                self.node, self.node.settings.platform
            )

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed platform settings.

        A restart is needed to change listening addresses and all settings
        outside the platform section, and to add or remove the adapter.
        """
        self.node.update_settings(settings)
        platform = settings.platform
        if platform is None or self._wire is None or self._adapter is None:
            return
        self._wire.settings = platform
        self._adapter.update_settings(platform)


def create_runtime(settings: Settings) -> NodeRuntime:
    """Create the node with the platform's or the native wire formats."""
    platform = settings.platform
    wire = None if platform is None else PlatformStoreWire(platform)
    return NodeRuntime(settings, wire)
