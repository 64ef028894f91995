"""Stored configurations with a part that cannot be read as it is meant."""

import copy
import unittest
from collections.abc import Iterator, Mapping
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st

from merlintrail.platform.tests.samples import CONFIGURATION, put_in_force
from merlintrail.state import Configuration, Route

#: Fields of the route under ``/odd/`` with which it is served.
_SERVED: Final[tuple[Mapping[str, Any], ...]] = (
    {'Timeout': '1m30s'},
    {'Timeout': '1h'},
    {'Timeout': '20m'},
    {'Timeout': '1500us'},
    {'Timeout': '0s'},
    {'Timeout': '5000'},
    {'Timeout': None},
    {'TargetLatency': '0ms'},
    {'TargetLatency': 'soon'},
    {'MaxAttempts': None},
    {'MaxAttempts': 'two'},
    {'Priority': None},
    {'Priority': '1'},
    {'Priority': 'first'},
    {'Priority': 'nan'},
    {'Priority': 'inf'},
    {'Timeout': f'{"9" * 400}s'},
    {'Split': None},
    {'Split': []},
    {'Split': [{'Service': 'vault', 'Weight': '1'}]},
    {'Split': [{'Service': 'vault', 'Weight': 1}] * 2},
    {'Kind': None},
    {'Kind': ['idempotent']},
    {'Name': 'n' * 1000},
    {'Name': 'write'},
    {'Name': 7},
    {'Service': 'Gamma_2.x'},
    {'Service': '9lives'},
    {'Service': 'ş'},
    {'Service': 's' * 100},
    {'Service': 'unlisted'},
    {'Unknown': {}},
)
#: Fields with which it takes no requests, but exists.
_CLOSED: Final[tuple[Mapping[str, Any], ...]] = (
    {'Service': None},
    {'Service': 7},
    {'Service': 'two words'},
    {'Split': [{'Service': 'vault', 'Weight': 0}]},
    {'Split': [{'Service': 'vault', 'Weight': 'much'}]},
    {'Split': 'vault'},
    {'Split': [7]},
)
#: Fields with which no request matches it.
_ABSENT: Final[tuple[Mapping[str, Any], ...]] = (
    {'Prefix': '/a?b/'},
    {'Prefix': None},
    {'Host': 7},
    {'Host': 'one.example', 'Prefix': '/write/'},
)
#: Other members of a configuration.
_MEMBERS: Final[tuple[Mapping[str, Any], ...]] = (
    {'Limits': {'MaxHeaderBytes': 128}},
    {'Limits': {'MaxHeaderBytes': 2 << 20}},
    {'Limits': {'MaxBodyBytes': 1 << 40}},
    {'Limits': {'IdleTimeout': '0s'}},
    {'Limits': 'none'},
    {'Limits': None},
    {'Services': []},
    {'Services': None},
    {'Services': ['vault', {'Name': 7}, {}]},
    {'Services': [{'Name': 'vault'}, {'Name': 'vault'}, {'Name': 'noter'}]},
    {'Version': 16},
)
_JSON: Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda part: st.lists(part) | st.dictionaries(st.text(), part),
    max_leaves=8,
)


def _add_route(changes: Mapping[str, Any]) -> dict[str, Any]:
    odd = {
        **CONFIGURATION['Routes'][0],
        'Name': 'odd',
        'Host': 'odd.example',
        'Prefix': '/odd/',
        **changes,
    }
    routes = [*CONFIGURATION['Routes'], odd]
    return {**CONFIGURATION, 'Routes': routes}


def _list_parts(document: Any, path: tuple[Any, ...] = ()) -> Iterator[Any]:
    """Yield the places of all parts of a document."""
    pairs: Any = ()
    if isinstance(document, dict):
        pairs = document.items()
    elif isinstance(document, list):
        pairs = enumerate(document)
    for name, part in pairs:
        yield (*path, name)
        yield from _list_parts(part, (*path, name))


def _replace(document: Any, path: tuple[Any, ...], part: Any) -> None:
    for name in path[:-1]:
        document = document[name]
    document[path[-1]] = part


def _describe_service(route: Route | None) -> str:
    return route.shares[0].service if route and route.shares else ''


class OddConfigurationTest(unittest.TestCase):
    """A part that a node cannot serve costs that part alone."""

    def assert_others_served(self, configuration: Configuration) -> None:
        """Assert that the routes of the sample lead to their services."""
        for host, path in (('one.example', '/write/x'), ('two.example', '/x')):
            route = configuration.routes.find(host, path)
            self.assertEqual(_describe_service(route), 'vault')
            self.assertIn('vault', configuration.services)

    def test_odd_field_refuses_the_whole_version(self) -> None:
        """A route with an odd field is served, closed or left out."""
        for fields, outcome in (
            *((changes, 'served') for changes in _SERVED),
            *((changes, 'closed') for changes in _CLOSED),
            *((changes, 'absent') for changes in _ABSENT),
        ):
            with self.subTest(str(fields)[:60]):
                configuration = put_in_force(_add_route(fields))
                self.assert_others_served(configuration)
                route = configuration.routes.find('odd.example', '/odd/x')
                self.assertEqual(_describe_outcome(route), outcome)
                if route and route.shares:
                    self.assertIn(
                        _describe_service(route), configuration.services
                    )

    def test_odd_member_refuses_the_whole_version(self) -> None:
        """Odd limits and lists of services leave all routes served."""
        for changes in _MEMBERS:
            with self.subTest(str(changes)):
                self.assert_others_served(
                    put_in_force({**CONFIGURATION, **changes})
                )

    def test_version_without_routes(self) -> None:
        """Its requests match no route, whatever services there are."""
        configuration = put_in_force({**CONFIGURATION, 'Routes': []})
        self.assertTrue(configuration.is_routed)
        self.assertIsNone(configuration.routes.find('one.example', '/vault/'))

    @settings(max_examples=400, deadline=None)
    @given(st.data())
    def test_random_part(self, choices: st.DataObject) -> None:
        """Any part of one route, service, limit or tenant may be anything."""
        content: dict[str, Any] = copy.deepcopy(_add_route({}))
        content['Services'].append({'Name': 'odd'})
        content['Routes'][2]['Service'] = 'odd'
        content['Tenants'] = [
            {'Name': 'sound', 'ApiKeys': ['good']},
            {'Name': 'odd', 'ApiKeys': ['x'], 'RatePerS': 5, 'Burst': 2},
        ]
        places = [
            *_list_parts(content['Routes'][2], ('Routes', 2)),
            *_list_parts(content['Services'][2], ('Services', 2)),
            *_list_parts(content['Tenants'][1], ('Tenants', 1)),
            *_list_parts(content['Limits'], ('Limits',)),
            ('Routes', 2),
            ('Services', 2),
            ('Services',),
            ('Tenants', 1),
            ('Limits',),
        ]
        place = choices.draw(st.sampled_from(places))
        _replace(content, place, choices.draw(_JSON))
        configuration = put_in_force(content)
        self.assert_others_served(configuration)
        customer = configuration.customers.identify('good')
        self.assertEqual(customer and customer.name, 'sound')


def _describe_outcome(route: Route | None) -> str:
    if route is None:
        return 'absent'
    return 'closed' if route.is_closed else 'served'
