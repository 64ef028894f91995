"""The node: call path, lifecycle, and its parts put together."""

from merlintrail.node._node import (
    Environment,
    Node,
    create_environment,
    create_node,
    split_host_port,
)
from merlintrail.node._settings import (
    InvalidSettings,
    Settings,
    parse_settings,
)

__all__ = (
    'Environment',
    'InvalidSettings',
    'Node',
    'Settings',
    'create_environment',
    'create_node',
    'parse_settings',
    'split_host_port',
)
