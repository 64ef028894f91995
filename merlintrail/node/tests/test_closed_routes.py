"""Requests on a route that is closed."""

import random
import unittest
from typing import Any, Final

from merlintrail.node.serving._resolution import Resolution, Resolver
from merlintrail.protocol import (
    Outcome,
    Reason,
    Refusal,
    build_refusal_response,
)
from merlintrail.state import build_configuration, validate_document
from merlintrail.transport import HttpRequest

_HOST: Final = 'one.example'


def _build_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': _HOST,
        'prefix': prefix,
        'importance': 'normal',
        'idempotent': True,
        'timeout_ms': 1000,
        **fields,
    }


class ClosedRouteTest(unittest.TestCase):
    """They are refused, and not taken by a route with a shorter prefix."""

    def test_closed_route_falls_back_to_a_shorter_prefix(self) -> None:
        """503 says that the request did not run and may come again."""
        document = {
            'format': 1,
            'services': [{'name': 'svc'}],
            'regions': [{'name': 'r', 'data_centres': ['d']}],
            'routes': [
                _build_route('all', '/', service='svc'),
                _build_route('closed', '/a/', closed=True),
                _build_route('below', '/a/b/', service='svc'),
            ],
        }
        self.assertEqual(validate_document(document), [])
        configuration = build_configuration(document, 1, '')
        resolver = Resolver(random.Random(1))
        for path, is_served in (
            ('/x', True),
            ('/a/x', False),
            ('/a/b/x', True),
        ):
            request = HttpRequest('GET', path, {'host': _HOST}, b'')
            answer = resolver.resolve(request, configuration)
            self.assertEqual(isinstance(answer, Resolution), is_served)
            if isinstance(answer, Refusal):
                self.assertEqual(answer.outcome, Outcome.NOT_RUN)
                self.assertEqual(answer.reason, Reason.ROUTE_CLOSED)
                response = build_refusal_response(answer, '1')
                self.assertEqual(response.status, 503)
                self.assertIsNotNone(response.find_header('retry-after'))
