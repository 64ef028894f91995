"""Short overloads of whole nodes in virtual time, against stated targets."""

import unittest
from typing import Final

from merlintrail.bench._deployments import (
    BEDENREHBER,
    RETTELSE,
    BenchDeployment,
)
from merlintrail.bench.tests.virtual_overload import (
    Overload,
    OverloadFigures,
    play_overload,
)

#: Targets of the overload benchmarks.
_TARGET_GOODPUT: Final = 0.9
_TARGET_TOP_IMPORTANCE: Final = 0.99


class VirtualOverloadTest(unittest.TestCase):
    """The load patterns of the overload benchmarks."""

    def play(
        self, deployment: BenchDeployment, overload: Overload
    ) -> OverloadFigures:
        """Play an overload; fewer of the most important are never served."""
        figures = play_overload(deployment, overload)
        top = next(
            kind.name
            for kind in deployment.kinds
            if kind.importance == 'critical'
        )
        self.assertGreaterEqual(figures.served[top], _TARGET_TOP_IMPORTANCE)
        return figures

    def test_steady_load(self) -> None:
        """At 0.7 of the capacity nothing is shed."""
        for deployment in (BEDENREHBER, RETTELSE):
            with self.subTest(deployment.name):
                figures = self.play(deployment, Overload())
                self.assertGreaterEqual(figures.goodput, _TARGET_GOODPUT)
                self.assertEqual(figures.reasons['shed-early'], 0)

    def test_lost_servers(self) -> None:
        """Two of three servers of the deepest service are lost."""
        for deployment in (BEDENREHBER, RETTELSE):
            with self.subTest(deployment.name):
                self.play(deployment, Overload(lost_servers=2))

    def test_surge(self) -> None:
        """Three times the capacity, from clients that send again at once."""
        for deployment in (BEDENREHBER, RETTELSE):
            with self.subTest(deployment.name):
                self.play(
                    deployment,
                    Overload(
                        trigger_factor=3.0,
                        client_retries=3,
                        trigger_s=4.0,
                        after_s=0.0,
                    ),
                )

    def test_goodput_with_lost_servers(self) -> None:
        """The servers that are left are kept busy with useful work."""
        figures = self.play(BEDENREHBER, Overload(lost_servers=2))
        self.assertGreaterEqual(figures.goodput, _TARGET_GOODPUT)
