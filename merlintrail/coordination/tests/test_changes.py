"""Configuration changes: concurrent operators, lost answers, store faults."""

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
        #: Faults of the next writes in order; ``None`` for no fault.
        self.faults: list[StoreFault | None] = []
        #: Called once, before the next write is handled.
        self.before_write: Callable[[], None] | None = None

    def read(
        self, key: str, *, is_fresh: bool = False
    ) -> StoreValue | StoreFailure:
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
            concurrent_write = self.before_write
            self.before_write = None
            concurrent_write()
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
    """Changes are applied to the generation that they are based on."""

    def setUp(self) -> None:
        self.client = _FakeClient()

    def apply(self, change: ConfigurationChange) -> object:
        """Apply a change."""
        return apply_change(self.client, change)

    def apply_concurrent(self) -> None:
        """Apply a change while another one is being written."""
        self.apply(_build_change(1, 'quicker', 12))

    def test_generations_rise_by_one(self) -> None:
        """Two consecutive changes get the next generations and a history."""
        for seen in (0, 1):
            outcome = self.apply(_build_change(seen, f'change-{seen}'))
            assert isinstance(outcome, Envelope)
            self.assertEqual(outcome.generation, seen + 1)
        self.assertIn('history/configuration/2', self.client.documents)

    def test_losing_change_returns_the_document_in_force(self) -> None:
        """A change that lost to another one does not overwrite it.

        The other change is applied before this one starts, or between its
        read and its write.
        """
        self.apply(_build_change(0, 'first', 11))
        early_conflict = self.apply(_build_change(0, 'late'))
        assert isinstance(early_conflict, ChangeConflict)
        self.assertEqual(early_conflict.current.change_id, 'first')
        self.client.before_write = self.apply_concurrent
        late_conflict = self.apply(_build_change(1, 'slower', 13))
        assert isinstance(late_conflict, ChangeConflict)
        self.assertEqual(late_conflict.current.change_id, 'quicker')
        stored = read_stored_document(self.client)
        assert not isinstance(stored, StoreFailure)
        self.assertEqual(stored.envelope.generation, 2)

    def test_lost_answer_is_resolved(self) -> None:
        """A change whose write took effect is applied once.

        The answer to the write is lost, and later the operator repeats the
        whole change.
        """
        self.client.faults = [StoreFault.UNKNOWN]
        outcome = self.apply(_build_change(0, 'lost'))
        assert isinstance(outcome, Envelope)
        self.assertEqual(outcome.generation, 1)
        again = self.apply(_build_change(0, 'lost'))
        assert isinstance(again, Envelope)
        self.assertEqual(again.generation, 1)

    def test_change_after_a_restore_of_the_store(self) -> None:
        """It is newer than the lost document that the nodes still apply."""
        self.apply(_build_change(0, 'kept'))
        change = _build_change(1, 'later')._replace(current_generation=4)
        outcome = self.apply(change)
        assert isinstance(outcome, Envelope)
        self.assertEqual(outcome.generation, 5)

    def test_unavailable_store_changes_nothing(self) -> None:
        """The operator gets a failure and the store is unchanged."""
        self.client.faults = [StoreFault.UNAVAILABLE]
        outcome = self.apply(_build_change(0, 'x'))
        assert isinstance(outcome, StoreFailure)
        self.assertEqual(self.client.documents, {})

    def test_invalid_document_is_not_written(self) -> None:
        """A document with several faults is refused with all findings."""
        change = _build_change(0, 'x')._replace(document={'format': 9})
        outcome = self.apply(change)
        assert isinstance(outcome, ChangeInvalid)
        self.assertGreaterEqual(len(outcome.findings), 2)
        self.assertEqual(self.client.documents, {})


class SectionsTest(unittest.TestCase):
    """Documents are sent as the sections that changed."""

    def test_only_changed_sections_are_sent(self) -> None:
        """A changed service is one section, which restores the document."""
        earlier = Envelope(1, 'a', 'op', 0.0, _build_document(5))
        later = Envelope(2, 'b', 'op', 0.0, _build_document(6))
        difference = build_difference(later, hash_sections(earlier.document))
        self.assertEqual(list(difference.sections), ['services/one'])
        self.assertEqual(merge_difference(difference, earlier), later)

    def test_missing_section_is_detected(self) -> None:
        """A difference cannot be merged without the earlier document."""
        later = Envelope(2, 'b', 'op', 0.0, _build_document(6))
        difference = build_difference(later, hash_sections(later.document))
        self.assertIsNone(merge_difference(difference, None))
