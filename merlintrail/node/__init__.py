"""The node: call path, lifecycle, and its parts put together."""

from merlintrail.node._environment import (
    Environment,
    create_environment,
    split_host_port,
)
from merlintrail.node._node import Node, create_node
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
