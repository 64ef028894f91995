"""Tests of the quarantine of requests that crash backend servers."""

import unittest

from merlintrail.state import Quarantine, read_suspicion
from merlintrail.state._quarantine import MAX_SUSPICIONS

#: Seconds for which a likely cause is refused; it is remembered twice as long.
_TERM_S = 1000.0
_EXPIRY = 2 * _TERM_S


class QuarantineTest(unittest.TestCase):
    """Crashes at two nodes that exchange their suspicions."""

    def setUp(self) -> None:
        self.here = Quarantine()
        self.there = Quarantine()

    def crash(
        self, quarantine: Quarantine, crash_id: str, *digests: str
    ) -> None:
        """Record a crash while requests are running."""
        quarantine.record_crash(crash_id, digests, 0.0, _TERM_S)

    def replicate(self, sender: Quarantine, receiver: Quarantine) -> None:
        """Merge the suspicions of one node into another."""
        for suspicion in sender.list_suspicions(0.0):
            receiver.merge(suspicion, 0.0)

    def is_quarantined(self, quarantine: Quarantine, digest: str) -> bool:
        """Return whether a request is refused."""
        return quarantine.is_quarantined(digest, 0.0)

    def test_second_crash_quarantines_the_cause_only(self) -> None:
        """The suspect that runs at the second crash is the cause."""
        self.crash(self.here, 'one', 'bad', 'good')
        self.replicate(self.here, self.there)
        self.crash(self.there, 'two', 'bad', 'other')
        self.replicate(self.there, self.here)
        for node in (self.here, self.there):
            self.assertTrue(self.is_quarantined(node, 'bad'))
            self.assertFalse(self.is_quarantined(node, 'good'))
            self.assertFalse(self.is_quarantined(node, 'other'))

    def test_two_crashing_requests_always_run_together(self) -> None:
        """Neither is the only suspect, but both are refused after three."""
        for crash_id in ('one', 'two', 'three'):
            self.assertFalse(self.is_quarantined(self.here, 'bad'))
            self.crash(self.here, crash_id, 'bad', 'worse')
        self.assertTrue(self.is_quarantined(self.here, 'bad'))
        self.assertTrue(self.is_quarantined(self.here, 'worse'))

    def test_crashes_counted_at_different_nodes_add_up(self) -> None:
        """No node saw more than one, and they learn of them in any order."""
        third = Quarantine()
        self.crash(self.here, 'one', 'bad', 'good')
        self.crash(self.there, 'two', 'bad', 'other')
        self.crash(third, 'three', 'bad')
        self.replicate(third, self.here)
        self.replicate(self.there, self.here)
        self.replicate(self.here, third)
        for node in (self.here, third):
            self.assertTrue(self.is_quarantined(node, 'bad'))
            self.assertFalse(self.is_quarantined(node, 'good'))

    def test_second_crash_by_chance_among_many_crashes(self) -> None:
        """Where backend servers crash often it identifies nothing."""
        for number in range(4):
            self.crash(self.here, f'other {number}', f'good {number}')
        self.crash(self.here, 'other 4', 'good 0')
        self.assertFalse(self.is_quarantined(self.here, 'good 0'))

    def test_chance_meeting_before_other_crashes_are_known(self) -> None:
        """It is refused until they show that it proves nothing."""
        self.crash(self.here, 'one', 'good')
        self.crash(self.here, 'two', 'good', 'other 0')
        self.assertTrue(self.is_quarantined(self.here, 'good'))
        for number in range(3):
            self.crash(self.here, f'other {number}', f'other {number}')
        self.assertFalse(self.is_quarantined(self.here, 'good'))

    def test_harmless_request_beside_crashing_ones(self) -> None:
        """Its crashes have a proven cause, so they say nothing against it."""
        self.crash(self.here, 'one', 'bad', 'good')
        self.crash(self.here, 'two', 'good')
        self.crash(self.here, 'three', 'bad')
        self.crash(self.here, 'four', 'bad')
        self.assertTrue(self.is_quarantined(self.here, 'bad'))
        self.assertFalse(self.is_quarantined(self.here, 'good'))

    def test_probable_causes_do_not_explain_for_each_other(self) -> None:
        """Two chance meetings among five crashes are no pattern."""
        for number in range(2):
            self.crash(self.here, f'{number} a', f'good {number}')
            self.crash(self.here, f'{number} b', f'good {number}')
        self.crash(self.here, 'other', 'other')
        for number in range(2):
            self.assertFalse(self.is_quarantined(self.here, f'good {number}'))

    def test_one_crash_counts_once(self) -> None:
        """However often it is recorded and received."""
        for _ in range(3):
            self.crash(self.here, 'one', 'good')
            self.crash(self.there, 'one', 'good')
        self.replicate(self.there, self.here)
        self.assertFalse(self.is_quarantined(self.here, 'good'))

    def test_completed_suspect_is_cleared(self) -> None:
        """It is cleared everywhere, of the crashes known at its completion.

        A quarantined request that crashed again since is still refused.
        """
        self.crash(self.here, 'one', 'good')
        self.replicate(self.here, self.there)
        clearance = self.there.clear_suspect('good', 0.0)
        assert clearance is not None
        self.assertTrue(self.here.merge(clearance, 0.0))
        self.assertFalse(self.is_suspect(self.here, 'good'))
        self.crash(self.here, 'two', 'bad')
        self.crash(self.here, 'three', 'bad')
        self.assertTrue(self.is_quarantined(self.here, 'bad'))
        self.here.merge(clearance._replace(digest='bad'), 0.0)
        self.assertTrue(self.is_quarantined(self.here, 'bad'))

    def test_late_record_does_not_undo_a_clearance(self) -> None:
        """A node that was cut off still sends the crash without it."""
        self.crash(self.here, 'one', 'good')
        late = self.here.list_suspicions(0.0)
        self.here.clear_suspect('good', 0.0)
        for suspicion in late:
            self.assertFalse(self.here.merge(suspicion, 0.0))
        self.assertFalse(self.is_suspect(self.here, 'good'))

    def test_quarantined_request_that_completes_is_cleared(self) -> None:
        """It ran on elsewhere and was not the cause after all."""
        for crash_id in ('one', 'two'):
            self.crash(self.here, crash_id, 'good')
        self.assertTrue(self.is_quarantined(self.here, 'good'))
        self.here.clear_suspect('good', 0.0)
        self.assertFalse(self.is_quarantined(self.here, 'good'))
        self.crash(self.here, 'three', 'good')
        self.assertFalse(self.is_quarantined(self.here, 'good'))

    def test_stale_suspicion_changes_nothing(self) -> None:
        """It was merged before or has expired."""
        suspicion = self.here.record_crash('one', ['bad'], 0.0, _TERM_S)[0]
        self.assertTrue(self.there.merge(suspicion, 0.0))
        self.assertFalse(self.there.merge(suspicion, 0.0))
        self.assertIsNone(self.there.find('bad', _EXPIRY))
        self.assertFalse(self.there.merge(suspicion, _EXPIRY))

    def test_expired_suspicion_that_was_not_looked_up_counts(self) -> None:
        """A crash after it begins with a count of one."""
        self.crash(self.here, 'one', 'good')
        self.here.record_crash('two', ['good'], _EXPIRY, _TERM_S)
        self.assertFalse(self.here.is_quarantined('good', _EXPIRY))

    def test_request_that_comes_back_after_its_quarantine(self) -> None:
        """One more crash is enough, and the next refusal lasts longer."""
        for crash_id in ('one', 'two', 'three'):
            self.crash(self.here, crash_id, 'bad')
        self.assertTrue(self.here.is_quarantined('bad', _TERM_S - 1))
        self.assertFalse(self.here.is_quarantined('bad', _TERM_S))
        self.here.record_crash('four', ['bad'], _TERM_S, _TERM_S)
        self.assertTrue(self.here.is_quarantined('bad', 3 * _TERM_S - 1))
        self.assertFalse(self.here.is_quarantined('bad', 3 * _TERM_S))
        self.here.record_crash('five', ['bad'], 3 * _TERM_S, _TERM_S)
        self.assertTrue(self.here.is_quarantined('bad', 7 * _TERM_S - 1))

    def test_many_suspects_push_out_a_quarantined_request(self) -> None:
        """Requests with few crashes are forgotten first."""
        for crash_id in ('one', 'two', 'three'):
            self.crash(self.here, crash_id, 'bad')
        for number in range(0, MAX_SUSPICIONS + 10, 100):
            good = [f'good {number + step}' for step in range(100)]
            self.crash(self.here, f'other {number}', *good)
        self.assertTrue(self.is_quarantined(self.here, 'bad'))
        self.assertLessEqual(self.here.count_suspects(), MAX_SUSPICIONS)

    def test_malformed_record_is_skipped(self) -> None:
        """Only arrays of the right shape are read."""
        suspicion = self.here.record_crash('one', ['bad'], 0.0, _TERM_S)[0]
        self.assertEqual(read_suspicion([*suspicion, 'later']), suspicion)
        for record in (5, 'text', [], ['bad'], ['bad', 5, 1.0, [], []]):
            with self.subTest(record):
                self.assertIsNone(read_suspicion(record))

    def is_suspect(self, quarantine: Quarantine, digest: str) -> bool:
        """Return whether a request may be the cause of a crash."""
        held = quarantine.find(digest, 0.0)
        return held is not None and held.is_suspect
