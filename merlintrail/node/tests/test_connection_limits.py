"""Limits on connections that follow from the machine."""

import json
import unittest
from typing import Any, Final

from merlintrail.node import Settings, parse_settings
from merlintrail.node._connection_limits import ConnectionLimits

_DOCUMENT: Final = {
    'instance': 'a',
    'data_centre': 'b',
    'call_address': '127.0.0.1:1',
    'peer_address': '127.0.0.1:2',
    'admin_address': '127.0.0.1:3',
    'store_addresses': ['127.0.0.1:4'],
    'fleet_key': 'fleet key',
}


def _read_limits(**fields: Any) -> ConnectionLimits:
    settings = parse_settings(json.dumps({**_DOCUMENT, **fields}))
    assert isinstance(settings, Settings), settings
    return settings.connection_limits


class ConnectionLimitsTest(unittest.TestCase):
    """Settings of the machine, of connections, or of neither."""

    def test_smallest_machine_by_default(self) -> None:
        """It has 200 MB and 4,100 descriptors."""
        self.assertEqual(_read_limits(), ConnectionLimits())

    def test_limits_follow_from_the_machine(self) -> None:
        """Unless they are set."""
        machine = {'memory_mb': 552, 'descriptors': 8192}
        self.assertEqual(
            _read_limits(machine=machine),
            ConnectionLimits(
                193_200_000,
                3276,
                2867,
                6553,
                245,
                64,
                163,
                65536,
                193,
                250,
                107_812,
            ),
        )
        limits = {
            'memory_mb': 50,
            'callers': 100,
            'sockets': 500,
            'platform': 10,
            'operators': 5,
            'inquiries': 7,
            'receive_buffer_kb': 16,
            'pipelined': 8,
            'pipelined_per_s': 9,
            'keys': 99,
        }
        self.assertEqual(
            _read_limits(machine=machine, connections=limits),
            ConnectionLimits(
                50_000_000, 100, 2867, 500, 10, 5, 7, 16384, 8, 9, 99
            ),
        )

    def test_bad_limits(self) -> None:
        """Each is named with its place."""
        document = {
            **_DOCUMENT,
            'machine': {'memory_mb': 'x'},
            'connections': {'callers': 0, 'other': 1},
        }
        settings = parse_settings(json.dumps(document))
        assert not isinstance(settings, Settings)
        places = ' '.join(str(finding) for finding in settings.findings)
        for place in ('memory_mb', 'callers', 'other'):
            self.assertIn(place, places)
