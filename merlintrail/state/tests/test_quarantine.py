"""Tests of the quarantine of requests that crash backend servers."""

import unittest

from merlintrail.state import Quarantine

_EXPIRY = 1000.0


class QuarantineTest(unittest.TestCase):
    """Crashes at two nodes that exchange their suspicions."""

    def setUp(self) -> None:
        self.here = Quarantine()
        self.there = Quarantine()

    def replicate(self, sender: Quarantine, receiver: Quarantine) -> None:
        """Merge the suspicions of one node into another."""
        for suspicion in sender.list_suspicions(0.0):
            receiver.merge(suspicion, 0.0)

    def is_quarantined(self, quarantine: Quarantine, digest: str) -> bool:
        """Return whether a request is refused."""
        suspicion = quarantine.find(digest, 0.0)
        return suspicion is not None and suspicion.is_convicted

    def test_second_crash_quarantines_the_cause_only(self) -> None:
        """The suspect that runs at the second crash is the cause."""
        self.here.record_death('one', ['bad', 'good'], _EXPIRY)
        self.replicate(self.here, self.there)
        self.there.record_death('two', ['bad', 'other'], _EXPIRY)
        self.replicate(self.there, self.here)
        for node in (self.here, self.there):
            self.assertTrue(self.is_quarantined(node, 'bad'))
            self.assertFalse(self.is_quarantined(node, 'good'))
            self.assertFalse(self.is_quarantined(node, 'other'))

    def test_completed_suspect_is_cleared(self) -> None:
        """Other nodes clear it too, but never a quarantined request."""
        self.here.record_death('one', ['good'], _EXPIRY)
        self.replicate(self.here, self.there)
        clearance = self.there.clear_suspect('good', 0.0)
        assert clearance is not None
        self.assertTrue(self.here.merge(clearance, 0.0))
        self.assertIsNone(self.here.find('good', 0.0))
        self.here.record_death('two', ['bad'], _EXPIRY)
        self.here.record_death('three', ['bad'], _EXPIRY)
        self.assertFalse(self.here.merge(clearance._replace(digest='bad'), 0.0))
        self.assertTrue(self.is_quarantined(self.here, 'bad'))

    def test_stale_suspicion_changes_nothing(self) -> None:
        """It was merged before or has expired."""
        suspicion = self.here.record_death('one', ['bad'], _EXPIRY)[0]
        self.assertTrue(self.there.merge(suspicion, 0.0))
        self.assertFalse(self.there.merge(suspicion, 0.0))
        self.assertIsNone(self.there.find('bad', _EXPIRY))
        self.assertFalse(self.there.merge(suspicion, _EXPIRY))
