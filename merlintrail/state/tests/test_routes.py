"""Tests of routes: prefix matching, weighted splits and validation."""

import random
import unittest
from collections import Counter
from collections.abc import Mapping
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from merlintrail.state import (
    RouteSplitter,
    build_configuration,
    validate_document,
)


def _build_route(name: str, **changes: object) -> dict[str, Any]:
    route: dict[str, Any] = {
        'name': name,
        'host': 'one.example',
        'prefix': '/',
        'service': 'svc',
        'importance': 'normal',
        'idempotent': True,
        'timeout_ms': 1000,
    }
    return {**route, **changes}


def _build_document(*routes: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'format': 1,
        'services': [{'name': 'svc'}, {'name': 'other'}],
        'regions': [{'name': 'r', 'data_centres': ['d']}],
        'routes': list(routes),
    }


_ROUTES = (
    _build_route('root'),
    _build_route('a', prefix='/a/'),
    _build_route('deep', prefix='/a/b/c/'),
    _build_route('elsewhere', host='two.example', prefix='/x/'),
)
_LOOKUPS = (
    ('one.example', '/', 'root'),
    ('one.example', '/anything', 'root'),
    ('one.example', '/a', 'root'),
    ('one.example', '/a/', 'a'),
    ('ONE.example', '/a/b', 'a'),
    ('one.example:8080', '/a/b/c', 'a'),
    ('one.example', '/a/b/c/d/e', 'deep'),
    ('two.example', '/x/y', 'elsewhere'),
    ('two.example', '/y', None),
    ('three.example', '/', None),
    ('', '/', None),
    ('one.example', '', None),
)
_BAD_ROUTES = (
    ('neither service nor split', {'service': None}, ''),
    ('unknown service', {'service': 'nowhere'}, 'unknown service'),
    (
        'both',
        {'split': [{'service': 'svc', 'weight': 1}]},
        'either service or split',
    ),
    ('prefix without slash', {'prefix': '/a'}, ''),
    ('no timeout', {'timeout_ms': 0}, ''),
    ('attempts', {'attempts': 0}, ''),
    ('importance', {'importance': 'urgent'}, ''),
)


class RouteTableTest(unittest.TestCase):
    """Routes of two hosts."""

    def test_longest_prefix(self) -> None:
        """Prefixes end at a slash; the host's case and port are ignored."""
        table = build_configuration(_build_document(*_ROUTES), 1, '').routes
        for host, path, name in _LOOKUPS:
            with self.subTest(f'{host}{path}'):
                route = table.find(host, path)
                self.assertEqual(route and route.kind.name, name)

    def test_findings(self) -> None:
        """Each fault is reported with a pointer and a message."""
        self.assertEqual(validate_document(_build_document(*_ROUTES)), [])
        for name, changes, message in _BAD_ROUTES:
            with self.subTest(name):
                route = {**_build_route('bad'), **changes}
                findings = validate_document(_build_document(route))
                self.assertTrue(findings)
                self.assertIn('/routes', findings[0].place)
                self.assertIn(message, findings[0].message)

    def test_duplicate_routes(self) -> None:
        """Names, and pairs of host and prefix, have to be unique."""
        document = _build_document(_build_route('a'), _build_route('a'))
        messages = [finding.message for finding in validate_document(document)]
        self.assertEqual(len(messages), 2)


class RouteSplitterTest(unittest.TestCase):
    """Distribution of requests by weight."""

    @given(
        st.lists(st.integers(1, 100), min_size=2, max_size=5),
        st.integers(0, 1000),
    )
    def test_weights(self, weights: list[int], seed: int) -> None:
        """Shares deviate by no more than one request for each service."""
        split = [
            {'service': name, 'weight': weight}
            for name, weight in zip('abcde', weights, strict=False)
        ]
        document = _build_document(
            {**_build_route('s'), 'service': 'a', 'split': split}
        )
        document['routes'][0].pop('service')
        route = build_configuration(document, 1, '').routes.find(
            'one.example', '/'
        )
        assert route is not None
        splitter = RouteSplitter()
        draw = random.Random(seed).random()
        chosen = Counter(splitter.choose(route, draw) for _ in range(400))
        total = sum(weights)
        for name, weight in zip('abcde', weights, strict=False):
            expected = 400 * weight / total
            self.assertLessEqual(abs(chosen[name] - expected), len(weights))
