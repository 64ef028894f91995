"""Tests of the ledger whose store is restored from older copies."""

import unittest
import uuid
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from merlintrail.coordination._ledger import MAX_CLOCK_SKEW_S
from merlintrail.coordination.tests.test_ledger_machine import (
    _OWNERS,
    LedgerMachine,
)


class RestoredLedgerMachine(LedgerMachine):
    """The store is copied and restored while requests and writes go on.

    Besides keys without a date there are keys that callers date, by clocks
    that differ from the nodes'.
    """

    def __init__(self) -> None:
        super().__init__()
        self._copy = self._store.copy()
        self._dated_keys: list[str] = []

    @rule()
    def copy_store(self) -> None:
        """Remember what the store holds."""
        self._copy = self._store.copy()

    @rule()
    def restore_store(self) -> None:
        """Restore the copy; it may be restored again later."""
        self._store.restore(self._copy)

    @rule(
        skew_s=st.sampled_from([0.0, -30.0, MAX_CLOCK_SKEW_S]),
        owner=st.sampled_from(_OWNERS),
    )
    def send_new_key(self, skew_s: float, owner: str) -> None:
        """Send a request with a key that is dated now by the caller's clock."""
        created_at_ms = int((self._read_wall_clock() + skew_s) * 1000)
        number = len(self._dated_keys)
        key = uuid.UUID(int=created_at_ms << 80 | 7 << 76 | 2 << 62 | number)
        self._dated_keys.append(f'svc\n{key}')
        self.send(self._dated_keys[-1], owner)

    @precondition(lambda machine: machine._dated_keys)
    @rule(index=st.integers(0, 3), owner=st.sampled_from(_OWNERS))
    def resend_dated_key(self, index: int, owner: str) -> None:
        """Send a request again."""
        key = self._dated_keys[index % len(self._dated_keys)]
        self.send(key, owner)

    def list_stored_keys(self) -> list[str]:
        """Return the keys that the first segment records."""
        segment = self._store.documents['ledger/0/0'].document
        assert isinstance(segment, dict), segment
        return [record[0] for record in segment['records']]

    @rule()
    def wait_for_new_keys(self) -> None:
        """Wait until keys are dated after the last restore by any clock."""
        self.wait(MAX_CLOCK_SKEW_S * 2 + 1)


RestoredLedgerMachineTest = RestoredLedgerMachine.TestCase
RestoredLedgerMachineTest.settings = settings(
    max_examples=500,
    print_blob=False,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)


class RestoredLedgerTest(unittest.TestCase):
    """Cases of the machine that need many steps."""

    def setUp(self) -> None:
        self.machine = RestoredLedgerMachine()
        self.addCleanup(self.machine.teardown)

    def send_and_run(self, key: str, owner: str) -> None:
        """Send a request and let every write succeed."""
        self.machine.send(key, owner)
        self.machine.decide_all()

    def test_new_segment_after_a_restore(self) -> None:
        """An owner must not continue a log that the restored store lacks.

        Its next segment does not exist there, so that no version of it can
        conflict with the log of another owner.
        """
        with mock.patch(
            'merlintrail.coordination._segments.MAX_SEGMENT_KEYS', 1
        ):
            self.send_and_run('first', 'node-a')
            self.machine.restore_store()
            self.send_and_run('second', 'node-b')
            self.machine.wait_for_new_keys()
            self.machine.send_new_key(0.0, 'node-a')
            self.machine.decide_all()
            self.machine.resend_dated_key(0, 'node-b')
            self.machine.decide_all()
        self.machine.runs_at_most_once()
        self.machine.not_run_answers_are_true()

    def test_lost_records_are_written_again(self) -> None:
        """By the node that knows of them, for the next owner to find."""
        self.send_and_run('first', 'node-a')
        self.machine.restore_store()
        self.send_and_run('second', 'node-a')
        self.assertIn('first', self.machine.list_stored_keys())
        self.assertNotIn('second', self.machine.list_stored_keys())


if __name__ == '__main__':
    unittest.main()
