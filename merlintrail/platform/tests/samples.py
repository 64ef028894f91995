"""Sample settings and a sample configuration of the platform."""

from collections.abc import Mapping
from typing import Any, Final

from merlintrail.node import PlatformSettings
from merlintrail.platform._configuration import build_envelope
from merlintrail.state import Configuration, ConfigurationHolder, Envelope

SETTINGS: Final = PlatformSettings(
    ready_address='127.0.0.1:1',
    announce_address='127.0.0.1:2',
    service='vault',
    backend_address='127.0.0.1:3',
    regions={'a1': 'a', 'a2': 'a', 'b1': 'b'},
    stop_grace_s=6.0,
    retry_share=0.2,
    retry_base=48,
    retry_window_s=10.0,
)

#: An operator's configuration in the platform's format. ``Unknown`` and some
#: other fields are ignored by the translation.
CONFIGURATION: Final[Mapping[str, Any]] = {
    'Version': '00000007',
    'Routes': [
        {
            'Name': 'write',
            'Host': 'one.example',
            'Prefix': '/write/',
            'Kind': 'non_idempotent',
            'Timeout': '1500ms',
            'TargetLatency': '2s',
            'Priority': 0,
            'Service': 'vault',
            'MaxAttempts': 2,
        },
        {
            'Name': 'read',
            'Host': 'two.example',
            'Prefix': '/',
            'Kind': 'idempotent',
            'Timeout': '1500ms',
            'TargetLatency': '2000ms',
            'Priority': 9,
            'Split': [
                {'Service': 'vault', 'Weight': 90},
                {'Service': 'noter', 'Weight': 10},
            ],
            'MaxAttempts': 3,
        },
    ],
    'Services': [
        {'Name': 'vault', 'HealthPath': '/health', 'MaxConnections': 316},
        {'Name': 'noter', 'HealthPath': '/health', 'MaxConnections': 316},
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 67108864,
        'HeaderTimeout': '3000ms',
        'IdleTimeout': '15s',
    },
    'Unknown': 'ignored',
}


def put_in_force(content: Mapping[str, Any]) -> Configuration:
    """Return the configuration that a node makes of a stored one."""
    holder = ConfigurationHolder()
    holder.apply_if_newer(Envelope(**build_envelope(content, SETTINGS)))
    assert holder.current is not None, 'the whole version was refused'
    return holder.current
