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
from merlintrail.lab.statement_rule import compute_allowed

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

    def play_limited(self, limited: int) -> None:
        """Play servers of the deepest service that state a low limit."""
        figures = self.play(
            BEDENREHBER,
            Overload(limited_servers=limited, rate_limit=60.0, trigger_s=10.0),
        )
        self.assertLessEqual(figures.busiest_window, compute_allowed(60.0))
        self.assertGreaterEqual(figures.goodput, _TARGET_GOODPUT)

    def test_limited_server(self) -> None:
        """One of three states a limit; the others have room."""
        self.play_limited(1)

    def test_some_limited_servers(self) -> None:
        """Two of three state a limit, below what is asked for."""
        self.play_limited(2)

    def test_all_servers_limited(self) -> None:
        """All state a limit, far below what is asked for."""
        self.play_limited(3)

    def test_leaving_server(self) -> None:
        """One of three servers of the deepest service leaves."""
        for deployment in (BEDENREHBER, RETTELSE):
            with self.subTest(deployment.name):
                figures = self.play(deployment, Overload(leaving_servers=1))
                self.assertEqual(figures.late_requests, 0)

    def test_goodput_with_lost_servers(self) -> None:
        """The servers that are left are kept busy with useful work."""
        figures = self.play(BEDENREHBER, Overload(lost_servers=2))
        self.assertGreaterEqual(figures.goodput, _TARGET_GOODPUT)
