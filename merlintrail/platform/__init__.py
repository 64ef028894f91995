"""Adapter to a deployment platform: translation of its wire formats.

Incoming messages are decoded here, once, into merlintrail's own types, and
outgoing messages are encoded here. No other package uses the platform's wire
names.
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
