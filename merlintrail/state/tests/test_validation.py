"""Findings of a document come together, each with its place."""

import copy
import json
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from merlintrail.state import (
    ConfigurationHolder,
    Envelope,
    build_configuration,
    find_differences,
    parse_document,
    validate_document,
)

_EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'


def load_example() -> dict[str, Any]:
    """Load a complete document."""
    text = (_EXAMPLES / 'bedenrehber.json').read_text(encoding='utf-8')
    document: dict[str, Any] = json.loads(text)
    return document


def _set(path: str, entry: object) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        *parents, last = path.strip('/').split('/')
        place: Any = document
        for part in parents:
            place = place[int(part)] if part.isdigit() else place[part]
        place[int(last) if last.isdigit() else last] = entry

    return change


_STOP = {
    'id': 'x',
    'data_centre': 'marmara-1',
    'starts_at': '2027-01-02T00:00:00+03:00',
    'ends_at': '2027-01-02T04:00:00+03:00',
}
_FAULTS: tuple[tuple[str, object], ...] = (
    ('/services/0/kinds/0/importance', 'urgent'),
    ('/services/0/kinds/0/deadline_ms', 0),
    ('/services/0/kinds/0/idempotent', 'yes'),
    ('/services/0/kinds/0/retries', 1.5),
    ('/services/0/name', 'Upper Case'),
    ('/services/0/unknown', 1),
    ('/regions', []),
    ('/links/0/regions', ['marmara', 'nowhere']),
    ('/links/0/regions', ['marmara', 'marmara']),
    ('/planned_stops', [{**_STOP, 'data_centre': 'nowhere'}]),
    ('/planned_stops', [{**_STOP, 'ends_at': _STOP['starts_at']}]),
    ('/planned_stops', [{**_STOP, 'starts_at': '2027-01-02T00:00:00'}]),
    ('/planned_stops', [{**_STOP, 'instances': ['a']}]),
    ('/planned_stops', [_STOP, _STOP]),
    ('/ledger/region', 'nowhere'),
    ('/format', 2),
)


class ValidationTest(unittest.TestCase):
    """Tables of faults."""

    def test_examples_are_valid(self) -> None:
        """Every example document has no finding and builds."""
        paths = list(_EXAMPLES.glob('*.json'))
        self.assertGreaterEqual(len(paths), 2)
        for path in paths:
            with self.subTest(path.name):
                parsed = parse_document(path.read_text(encoding='utf-8'))
                self.assertEqual(parsed.findings, ())
                build_configuration(parsed.document, 1, 'change')

    def test_each_fault_is_found_at_its_place(self) -> None:
        """One fault, at least one finding, at or below the place."""
        for place, entry in _FAULTS:
            with self.subTest(place, entry=entry):
                document = load_example()
                _set(place, entry)(document)
                findings = validate_document(document)
                self.assertTrue(findings)
                parent = place.rpartition('/')[0]
                self.assertTrue(
                    any(found.place.startswith(parent) for found in findings)
                )

    def test_findings_come_together(self) -> None:
        """Two faults, two findings."""
        document = load_example()
        _set('/services/0/kinds/0/deadline_ms', -1)(document)
        _set('/services/1/kinds/0/importance', 'none')(document)
        self.assertEqual(len(validate_document(document)), 2)

    def test_text_that_is_no_document(self) -> None:
        """No JSON, no object, a name twice."""
        for text in ('', '[', '[]', '7', '{"format": 1, "format": 1}'):
            with self.subTest(text):
                self.assertTrue(parse_document(text).findings)

    def test_repeated_names(self) -> None:
        """Services, kinds and data centres are unique."""
        document = load_example()
        document['services'].append(copy.deepcopy(document['services'][0]))
        document['regions'].append(copy.deepcopy(document['regions'][0]))
        places = {found.place for found in validate_document(document)}
        self.assertIn(f'/services/{len(document["services"]) - 1}', places)

    def test_differences_name_their_place(self) -> None:
        """A changed deadline stands under its service and kind."""
        changed = load_example()
        name = changed['services'][0]['name']
        kind = changed['services'][0]['kinds'][0]['name']
        changed['services'][0]['kinds'][0]['deadline_ms'] = 12345
        found = list(find_differences(load_example(), changed))
        self.assertEqual(len(found), 1)
        self.assertEqual(
            found[0].place, f'/services/{name}/kinds/{kind}/deadline_ms'
        )


class ConfigurationHolderTest(unittest.TestCase):
    """A generation never goes back."""

    def test_lower_generation_is_never_accepted(self) -> None:
        """Whoever offers it, and equal ones neither."""
        holder = ConfigurationHolder()
        document = load_example()
        for generation, accepted in ((3, True), (2, False), (3, False)):
            envelope = Envelope(generation, 'x', 'op', 0.0, document)
            self.assertEqual(holder.apply_if_newer(envelope), accepted)
        self.assertEqual(holder.generation, 3)

    def test_invalid_document_is_not_put_in_force(self) -> None:
        """What the store holds is checked like any other text."""
        holder = ConfigurationHolder()
        self.assertFalse(holder.apply_if_newer(Envelope(9, 'x', 'op', 0.0, {})))
        self.assertIsNone(holder.current)
