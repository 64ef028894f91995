"""Adapter to a deployment platform: its names and shapes, nothing else.

What arrives is decoded here, once, into the types of the product, and what
leaves is encoded here. No other package names what the platform names.
"""

from merlintrail.platform._adapter import PlatformAdapter, start_adapter
from merlintrail.platform._dialect import PlatformDialect
from merlintrail.platform._store_wire import PlatformStoreWire

__all__ = (
    'PlatformAdapter',
    'PlatformDialect',
    'PlatformStoreWire',
    'start_adapter',
)
