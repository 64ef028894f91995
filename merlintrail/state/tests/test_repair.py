"""Repair of documents of which any part may be anything."""

import contextlib
import copy
import unittest
from collections.abc import Iterator, Mapping
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st

from merlintrail.state import (
    build_configuration,
    repair_document,
    validate_document,
)
from merlintrail.state.tests.test_validation import load_example

_JSON: Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda part: st.lists(part) | st.dictionaries(st.text(), part),
    max_leaves=8,
)
#: Members without which a document is refused as a whole.
_ESSENTIAL: Final = ('format', 'services', 'regions', 'customers')


def _build_document() -> dict[str, Any]:
    """Build a document with every member."""
    document = load_example()
    first, second = (service['name'] for service in document['services'][:2])
    route: Mapping[str, Any] = {
        'host': 'one.example',
        'importance': 'high',
        'idempotent': True,
        'timeout_ms': 1000,
    }
    document['routes'] = [
        {'name': 'a', 'prefix': '/a/', 'service': first, **route},
        {
            'name': 'b',
            'prefix': '/b/',
            'split': [
                {'service': first, 'weight': 1},
                {'service': second, 'weight': 3},
            ],
            **route,
        },
        {'name': 'c', 'prefix': '/c/', 'closed': True, **route},
    ]
    document['customers'] = [
        {'name': 'x', 'key_digests': ['0' * 32], 'rate_per_s': 5, 'burst': 1},
        {'name': 'y', 'key_digests': ['1' * 32]},
    ]
    document['limits'] = {'max_body_bytes': 1000, 'idle_timeout_ms': 5000}
    document['retry_budget'] = {'share': 0.1, 'base': 5}
    return document


def _list_places(document: Any, place: tuple[Any, ...] = ()) -> Iterator[Any]:
    pairs: Any = ()
    if isinstance(document, dict):
        pairs = document.items()
    elif isinstance(document, list):
        pairs = enumerate(document)
    for name, part in pairs:
        yield (*place, name)
        yield from _list_places(part, (*place, name))


def _change(document: Any, place: tuple[Any, ...], part: Any) -> None:
    for name in place[:-1]:
        document = document[name]
    document[place[-1]] = part


_DOCUMENT: Final = _build_document()
_PLACES: Final = tuple(_list_places(_DOCUMENT))


class RepairTest(unittest.TestCase):
    """What is left of a document is valid, and everything else is as it was."""

    def test_sound_document(self) -> None:
        """It stays as it is."""
        self.assertEqual(validate_document(_DOCUMENT), [])
        repaired = repair_document(_DOCUMENT)
        assert repaired is not None
        self.assertIs(repaired.document, _DOCUMENT)
        self.assertEqual(repaired.findings, ())

    def test_odd_limit_costs_the_other_limits(self) -> None:
        """Only the field with the fault has its default."""
        limits = {'max_body_bytes': 5, 'idle_timeout_ms': 'long', 'more': 1}
        repaired = repair_document({**_DOCUMENT, 'limits': limits})
        assert repaired is not None
        self.assertEqual(repaired.document['limits'], {'max_body_bytes': 5})

    @settings(max_examples=500, deadline=None)
    @given(st.sampled_from(_PLACES), _JSON)
    def test_odd_part_costs_other_parts(
        self, place: tuple[Any, ...], part: Any
    ) -> None:
        """One part is replaced by random JSON."""
        document = copy.deepcopy(_DOCUMENT)
        _change(document, place, part)
        repaired = repair_document(document)
        if repaired is None:
            self.assertIn(place[0], _ESSENTIAL)
            self.assertLess(len(place), 3, place)
            return
        self.assertEqual(validate_document(repaired.document), [])
        self.assertEqual(
            bool(repaired.findings), bool(validate_document(document))
        )
        build_configuration(repaired.document, 1, '')
        for name in ('routes', 'customers', 'services'):
            for index, entry in enumerate(_DOCUMENT[name]):
                if place[:2] == (name, index) or place == (name,):
                    continue
                self.assertIn(
                    entry['name'], _list_names(repaired.document, name)
                )

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(_PLACES), _JSON), max_size=6))
    def test_several_odd_parts(self, changes: list[Any]) -> None:
        """Whatever is left is valid, and nothing raises."""
        document = copy.deepcopy(_DOCUMENT)
        for place, part in changes:
            with contextlib.suppress(LookupError, TypeError):
                _change(document, place, part)
        repaired = repair_document(document)
        if repaired is not None:
            self.assertEqual(validate_document(repaired.document), [])
            build_configuration(repaired.document, 1, '')

    @settings(max_examples=200, deadline=None)
    @given(st.dictionaries(st.sampled_from(tuple(_DOCUMENT)), _JSON))
    def test_random_members(self, document: dict[str, Any]) -> None:
        """A document of random members is refused, or what is left is valid."""
        repaired = repair_document(document)
        if repaired is not None:
            self.assertEqual(validate_document(repaired.document), [])


def _list_names(document: Mapping[str, Any], member: str) -> list[str]:
    return [entry['name'] for entry in document.get(member, ())]
