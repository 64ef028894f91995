"""Node process: call path, lifecycle and their assembly."""

from merlintrail.node._environment import (
    Environment,
    create_environment,
    split_host_port,
)
from merlintrail.node._node import Node, create_node
from merlintrail.node._settings import (
    InvalidSettings,
    PlatformSettings,
    Settings,
    parse_settings,
)
from merlintrail.node.backend import (
    Announcement,
    AnnouncementOrder,
    InvalidAnnouncement,
    read_announcement,
)

__all__ = (
    'Announcement',
    'AnnouncementOrder',
    'Environment',
    'InvalidAnnouncement',
    'InvalidSettings',
    'Node',
    'PlatformSettings',
    'Settings',
    'create_environment',
    'create_node',
    'parse_settings',
    'read_announcement',
    'split_host_port',
)
