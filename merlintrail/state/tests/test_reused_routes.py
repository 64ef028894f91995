"""Routes of the configuration before that a change leaves as they are."""

import copy
import unittest
from typing import Any

from merlintrail.state import build_configuration


def _build_document(count: int) -> dict[str, Any]:
    return {
        'format': 1,
        'services': [{'name': 'a'}, {'name': 'b'}],
        'regions': [{'name': 'r', 'data_centres': ['d']}],
        'routes': [
            {
                'name': f'r{number}',
                'host': 'h.example',
                'prefix': f'/{number}/',
                'service': 'a',
                'importance': 'normal',
                'idempotent': True,
                'timeout_ms': 1000,
            }
            for number in range(count)
        ],
    }


class ReusedRoutesTest(unittest.TestCase):
    """Only what differs is built again."""

    def test_change_builds_every_route_again(self) -> None:
        """Equal routes are the same objects; the others are as written."""
        document = _build_document(5)
        previous = build_configuration(document, 1, 'x')
        changed = copy.deepcopy(document)
        changed['routes'][1]['service'] = 'b'
        changed['routes'][2]['timeout_ms'] = 7
        del changed['routes'][3]
        later = build_configuration(changed, 2, 'y', previous)
        built = build_configuration(changed, 2, 'y')
        self.assertEqual(list(later.routes), list(built.routes))
        reused = {
            route.kind.name
            for route in later.routes
            if route is previous.routes.find_by_name(route.kind.name)
        }
        self.assertEqual(reused, {'r0', 'r4'})
        self.assertIsNone(later.routes.find_by_name('r3'))
