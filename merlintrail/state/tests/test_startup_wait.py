"""How long a node that has just started holds a request."""

import unittest

from merlintrail.state import compute_startup_wait
from merlintrail.state._startup_wait import STARTUP_PERIOD_S


class StartupWaitTest(unittest.TestCase):
    """Requests of different kinds, before and after the period of the start."""

    def test_fresh_request(self) -> None:
        """Half of its objective is left to serve it."""
        wait_s = compute_startup_wait(0.1, 5.0, 0.25, is_nested=False)
        self.assertEqual(wait_s, 0.125)

    def test_nested_call(self) -> None:
        """Its request has no other way, so its remaining time counts."""
        wait_s = compute_startup_wait(0.1, 0.8, 0.25, is_nested=True)
        self.assertEqual(wait_s, 0.4)

    def test_short_deadline(self) -> None:
        """The remaining time counts where it is shorter."""
        wait_s = compute_startup_wait(0.1, 0.1, 2.0, is_nested=False)
        self.assertEqual(wait_s, 0.05)

    def test_end_of_the_period(self) -> None:
        """Nothing is held once a node should know what there is."""
        for age_s in (STARTUP_PERIOD_S, 60.0):
            wait_s = compute_startup_wait(age_s, 5.0, None, is_nested=True)
            self.assertEqual(wait_s, 0.0)
