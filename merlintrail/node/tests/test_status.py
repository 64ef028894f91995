"""Descriptions of a node's state for operators."""

import unittest

from merlintrail.node._status import describe_routes
from merlintrail.state import build_configuration

_DOCUMENT = {
    'format': 1,
    'services': [{'name': 'svc'}, {'name': 'other'}],
    'regions': [{'name': 'r', 'data_centres': ['d']}],
    'routes': [
        {
            'name': 'split',
            'host': 'two.example',
            'prefix': '/x/',
            'split': [
                {'service': 'svc', 'weight': 3},
                {'service': 'other', 'weight': 1},
            ],
            'importance': 'critical',
            'idempotent': False,
            'timeout_ms': 800,
            'attempts': 2,
        },
        {
            'name': 'plain',
            'host': 'one.example',
            'prefix': '/',
            'service': 'svc',
            'importance': 'low',
            'idempotent': True,
            'timeout_ms': 1000,
        },
    ],
}


class RoutesTest(unittest.TestCase):
    """Description of the active routes."""

    def test_description(self) -> None:
        """Sorted by host and prefix, with services, weights and limits."""
        described = describe_routes(build_configuration(_DOCUMENT, 1, ''))
        self.assertEqual(
            [(route['host'], route['prefix']) for route in described],
            [('one.example', '/'), ('two.example', '/x/')],
        )
        split = described[1]
        self.assertEqual(
            split['services'],
            [
                {'service': 'svc', 'weight': 3},
                {'service': 'other', 'weight': 1},
            ],
        )
        self.assertEqual(split['importance'], 'critical')
        self.assertFalse(split['is_idempotent'])
        self.assertEqual((split['deadline_ms'], split['attempts']), (800, 2))
