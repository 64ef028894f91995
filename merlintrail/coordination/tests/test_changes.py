"""Operators race, answers are lost, the store fails."""

import unittest
from collections.abc import Callable
from typing import Any

from merlintrail.coordination import (
    ChangeConflict,
    ChangeInvalid,
    ConfigurationChange,
    StoreClient,
    StoreFailure,
    StoreFault,
    StoreValue,
    apply_change,
    read_stored_document,
)
from merlintrail.coordination._sections import (
    build_difference,
    hash_sections,
    merge_difference,
)
from merlintrail.state import Envelope


class _FakeClient(StoreClient):
    """A blocking client over a dictionary, with scripted faults."""

    def __init__(self) -> None:
        super().__init__(())
        self.documents: dict[str, StoreValue] = {}
        #: Faults of the writes to come; ``None`` for none.
        self.faults: list[StoreFault | None] = []
        #: Done before the next write is looked at.
        self.before_write: Callable[[], None] | None = None

    def read(self, key: str) -> StoreValue | StoreFailure:
        """Read a key."""
        missing = StoreFailure(StoreFault.NOT_FOUND, key)
        return self.documents.get(key, missing)

    def write(
        self,
        key: str,
        document: object,
        expected_version: int,
        lease: str | None = None,
    ) -> int | StoreFailure:
        """Write a key with the next scripted fault."""
        if self.before_write is not None:
            race = self.before_write
            self.before_write = None
            race()
        fault = self.faults.pop(0) if self.faults else None
        if fault == StoreFault.UNAVAILABLE:
            return StoreFailure(fault, 'down')
        current = self.documents.get(key)
        version = 0 if current is None else current.version
        if version != expected_version:
            return StoreFailure(StoreFault.CONFLICT, key)
        self.documents[key] = StoreValue(document, version + 1)
        if fault == StoreFault.UNKNOWN:
            return StoreFailure(fault, 'answer lost')
        return version + 1


def _build_document(deadline_ms: int) -> dict[str, Any]:
    kind = {
        'name': 'x',
        'path': '/x',
        'importance': 'low',
        'idempotent': True,
        'deadline_ms': deadline_ms,
    }
    return {
        'format': 1,
        'services': [
            {'name': 'one', 'kinds': [kind]},
            {'name': 'two', 'kinds': [{**kind, 'deadline_ms': 7}]},
        ],
        'regions': [{'name': 'r', 'data_centres': ['d']}],
    }


def _build_change(
    seen: int, change_id: str, deadline_ms: int = 5
) -> ConfigurationChange:
    return ConfigurationChange(
        _build_document(deadline_ms), seen, 'operator', change_id, 1.0
    )


class ApplyChangeTest(unittest.TestCase):
    """Compare-and-swap from the generation that the operator saw."""

    def setUp(self) -> None:
        self.client = _FakeClient()

    def apply(self, change: ConfigurationChange) -> object:
        """Apply a change."""
        return apply_change(self.client, change)

    def apply_quicker(self) -> None:
        """Apply a change in the middle of another one."""
        self.apply(_build_change(1, 'quicker', 12))

    def test_generations_rise_by_one(self) -> None:
        """Two changes in a row, and their history."""
        for seen in (0, 1):
            outcome = self.apply(_build_change(seen, f'change-{seen}'))
            assert isinstance(outcome, Envelope)
            self.assertEqual(outcome.generation, seen + 1)
        self.assertIn('history/configuration/2', self.client.documents)

    def test_loser_of_a_race_sees_what_changed(self) -> None:
        """Both before and in the middle of the own write."""
        self.apply(_build_change(0, 'first', 11))
        late = self.apply(_build_change(0, 'late'))
        assert isinstance(late, ChangeConflict)
        self.assertEqual(late.current.change_id, 'first')
        self.client.before_write = self.apply_quicker
        slower = self.apply(_build_change(1, 'slower', 13))
        assert isinstance(slower, ChangeConflict)
        self.assertEqual(slower.current.change_id, 'quicker')
        stored = read_stored_document(self.client)
        assert not isinstance(stored, StoreFailure)
        self.assertEqual(stored.envelope.generation, 2)

    def test_lost_answer_is_settled(self) -> None:
        """The write took effect: the change is applied, once."""
        self.client.faults = [StoreFault.UNKNOWN]
        outcome = self.apply(_build_change(0, 'lost'))
        assert isinstance(outcome, Envelope)
        self.assertEqual(outcome.generation, 1)
        again = self.apply(_build_change(0, 'lost'))
        assert isinstance(again, Envelope)
        self.assertEqual(again.generation, 1)

    def test_store_down_changes_nothing(self) -> None:
        """The operator is told so."""
        self.client.faults = [StoreFault.UNAVAILABLE]
        outcome = self.apply(_build_change(0, 'x'))
        assert isinstance(outcome, StoreFailure)
        self.assertEqual(self.client.documents, {})

    def test_invalid_document_is_not_written(self) -> None:
        """All findings come back."""
        change = _build_change(0, 'x')._replace(document={'format': 9})
        outcome = self.apply(change)
        assert isinstance(outcome, ChangeInvalid)
        self.assertGreaterEqual(len(outcome.findings), 2)
        self.assertEqual(self.client.documents, {})


class SectionsTest(unittest.TestCase):
    """Documents travel as the sections that changed."""

    def test_only_changes_travel(self) -> None:
        """One changed service, one section; the whole is the same."""
        earlier = Envelope(1, 'a', 'op', 0.0, _build_document(5))
        later = Envelope(2, 'b', 'op', 0.0, _build_document(6))
        difference = build_difference(later, hash_sections(earlier.document))
        self.assertEqual(list(difference.sections), ['services/one'])
        self.assertEqual(merge_difference(difference, earlier), later)

    def test_missing_section_is_noticed(self) -> None:
        """A node without the earlier document does not guess."""
        later = Envelope(2, 'b', 'op', 0.0, _build_document(6))
        difference = build_difference(later, hash_sections(later.document))
        self.assertIsNone(merge_difference(difference, None))
