"""Crashing requests are convicted, innocent ones are not."""

import unittest

from merlintrail.state import Quarantine

_EXPIRY = 1000.0


class QuarantineTest(unittest.TestCase):
    """Deaths at two nodes that tell each other."""

    def setUp(self) -> None:
        self.here = Quarantine()
        self.there = Quarantine()

    def tell(self, source: Quarantine, receiver: Quarantine) -> None:
        """Tell one node what another one found."""
        for suspicion in source.list_suspicions(0.0):
            receiver.merge(suspicion, 0.0)

    def is_convicted(self, quarantine: Quarantine, digest: str) -> bool:
        """Tell whether a request is refused."""
        known = quarantine.find(digest, 0.0)
        return known is not None and known.is_convicted

    def test_two_deaths_convict_the_cause_only(self) -> None:
        """The suspect that runs at the second death is the cause."""
        self.here.record_death('one', ['bad', 'good'], _EXPIRY)
        self.tell(self.here, self.there)
        self.there.record_death('two', ['bad', 'other'], _EXPIRY)
        self.tell(self.there, self.here)
        for node in (self.here, self.there):
            self.assertTrue(self.is_convicted(node, 'bad'))
            self.assertFalse(self.is_convicted(node, 'good'))
            self.assertFalse(self.is_convicted(node, 'other'))

    def test_suspect_that_ends_well_is_acquitted(self) -> None:
        """The acquittal reaches the others, but frees no convict."""
        self.here.record_death('one', ['good'], _EXPIRY)
        self.tell(self.here, self.there)
        acquittal = self.there.clear_suspect('good', 0.0)
        assert acquittal is not None
        self.assertTrue(self.here.merge(acquittal, 0.0))
        self.assertIsNone(self.here.find('good', 0.0))
        self.here.record_death('two', ['bad'], _EXPIRY)
        self.here.record_death('three', ['bad'], _EXPIRY)
        self.assertFalse(self.here.merge(acquittal._replace(digest='bad'), 0.0))
        self.assertTrue(self.is_convicted(self.here, 'bad'))

    def test_old_news_is_no_news(self) -> None:
        """Merging twice tells nothing, and expiry forgets."""
        found = self.here.record_death('one', ['bad'], _EXPIRY)[0]
        self.assertTrue(self.there.merge(found, 0.0))
        self.assertFalse(self.there.merge(found, 0.0))
        self.assertIsNone(self.there.find('bad', _EXPIRY))
        self.assertFalse(self.there.merge(found, _EXPIRY))
