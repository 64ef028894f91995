"""Requests that crash backend servers, and harmless ones beside them."""

import unittest

from merlintrail.node.tests.crash_load import (
    MAX_LATE_DELIVERIES,
    CrashFigures,
    CrashLoad,
    CrashRun,
    Disturbance,
)
from merlintrail.testing import run_virtually

_SEEDS = (1, 2, 3)


def _run(
    load: CrashLoad, disturb: Disturbance | None = None
) -> list[CrashFigures]:
    """Run a load with several seeds."""

    async def run_seed(seed: int) -> CrashFigures:
        return await CrashRun(load._replace(seed=seed)).run(disturb)

    return [run_virtually(run_seed(seed)) for seed in _SEEDS]


class CrashingRequestsTest(unittest.TestCase):
    """Deliveries later than three seconds after a request's third crash."""

    def assert_stopped(self, runs: list[CrashFigures]) -> None:
        """Check that each crashing request was stopped in every run."""
        for figures in runs:
            self.assertTrue(figures.crashes)
            self.assertLessEqual(
                figures.max_late_deliveries, MAX_LATE_DELIVERIES, figures
            )

    def test_several_crashing_requests_keep_each_other_from_quarantine(
        self,
    ) -> None:
        """Five of them run beside each other and beside harmless ones."""
        self.assert_stopped(
            _run(CrashLoad(crashing=5, crashing_interval_s=0.5))
        )

    def test_crash_that_closes_no_connection_is_not_noticed(self) -> None:
        """The backend server goes silent and comes back as a new run."""
        self.assert_stopped(_run(CrashLoad(is_silent=True)))


class HarmlessRequestsTest(unittest.TestCase):
    """Backend servers crash for other reasons than the requests."""

    def test_harmless_requests_are_quarantined_for_crashes_of_others(
        self,
    ) -> None:
        """At most 5 and one in 500 may be refused without a reason."""
        runs = _run(
            CrashLoad(
                crashing=0, other_crash_interval_s=0.4, harmless_bodies=40
            )
        )
        sent = sum(figures.harmless_sent for figures in runs)
        refused = sum(figures.harmless_quarantined for figures in runs)
        self.assertLessEqual(refused, 5 + sent / 500)
