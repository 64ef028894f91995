"""Tests of the checks of the soak of route changes, and a short run of it."""

import math
import random
import unittest
from typing import Final

from merlintrail.bench._soak_faults import Disturbance
from merlintrail.bench.change_soak._callers import RouteRecord
from merlintrail.bench.change_soak._changes import RouteChanges, RouteVersion
from merlintrail.bench.change_soak._checks import (
    RouteRun,
    SoakHistory,
    check_history,
)
from merlintrail.bench.change_soak._run import run_change_soak
from merlintrail.coordination import create_store_client

#: Nodes, seconds of faults and seed of the short run.
_NODES: Final = 8
_DURATION_S: Final = 10.0
_SEED: Final = 1
#: Versions that are confirmed after a second; the second moves a route, the
#: third drops another, the fourth has no answer.
_VERSIONS: Final = (
    RouteVersion({'/once/': ('alpha',), '/added/': ('alpha',)}, -9, -8),
    RouteVersion({'/once/': ('beta',), '/added/': ('alpha',)}, 0, 1),
    RouteVersion({'/once/': ('beta',)}, 10, 11),
    RouteVersion({'/once/': ('gamma',)}, 20, math.inf),
)
#: Name, prefix, time and status of a request, its runs, expected finding.
_CASES: Final = (
    ('new service', '/once/', 5, 200, ('beta',), ''),
    ('old service in time', '/once/', 3.4, 200, ('alpha',), ''),
    ('old service later', '/once/', 3.6, 200, ('alpha',), 'was run by alpha'),
    ('dropped in time', '/added/', 13, 200, ('alpha',), ''),
    ('dropped, run later', '/added/', 14, 200, ('alpha',), 'was run by'),
    ('dropped', '/added/', 14, 404, (), ''),
    ('refused', '/once/', 14, 404, (), 'although its route is there'),
    ('unconfirmed version', '/once/', 25, 200, ('gamma',), ''),
    ('twice', '/once/', 5, 200, ('beta', 'beta'), 'ran 2 times'),
)


def _build_history(
    *requests: tuple[str, float, int, tuple[str, ...]],
    disturbances: tuple[Disturbance, ...] = (),
) -> SoakHistory:
    """Build a history from prefix, time, status and runs of requests."""
    changes = RouteChanges(create_store_client(['127.0.0.1:1']), ('dc',), 1)
    changes.versions = list(_VERSIONS)
    records = []
    runs = {}
    for number, (prefix, sent_at, status, services) in enumerate(requests):
        label = f'{number}'
        records.append(RouteRecord(label, prefix, 'n', sent_at, status))
        runs[label] = [RouteRun(service, sent_at) for service in services]
    return SoakHistory(records, runs, changes, disturbances)


class RouteChecksTest(unittest.TestCase):
    """What servers ran is compared with the versions that were confirmed."""

    def test_requests(self) -> None:
        """Each violated guarantee is reported, and nothing else."""
        for name, prefix, sent_at, status, services, expected in _CASES:
            with self.subTest(name):
                findings = check_history(
                    _build_history((prefix, sent_at, status, services))
                )
                self.assertEqual(len(findings), 1 if expected else 0)
                self.assertIn(expected, ''.join(findings))

    def test_node_that_goes_back(self) -> None:
        """Within the bound of a version, but after it was used."""
        findings = check_history(
            _build_history(
                ('/once/', 2, 200, ('beta',)), ('/once/', 3, 200, ('alpha',))
            )
        )
        self.assertEqual(findings, ['n went back from 1 to 0'])

    def test_disturbed_node(self) -> None:
        """It is excused for some time after the fault."""
        request = ('/once/', 5.0, 200, ('alpha',))
        for target, ended_at, is_excused in (
            ('n', 2.5, True),
            ('n', 1.5, False),
            ('store', 2.5, True),
            ('other', 9.0, False),
        ):
            history = _build_history(
                request, disturbances=(Disturbance(target, 0.0, ended_at),)
            )
            self.assertEqual(not check_history(history), is_excused)

    def test_added_route_that_is_hardly_served(self) -> None:
        """It is compared with the first route."""
        rng = random.Random(1)
        requests = [
            (prefix, rng.uniform(-5, 5), status, ())
            for prefix, status in (('/move/', 200), ('/added/', 503))
            for _ in range(50)
        ]
        changes = [
            version._replace(services={**version.services, '/move/': ('x',)})
            for version in _VERSIONS
        ]
        history = _build_history(*requests)
        history.changes.versions = changes
        self.assertEqual(
            check_history(history),
            ['0.00 of the requests on an added route were served'],
        )


class ChangeSoakTest(unittest.TestCase):
    """A short run with real processes."""

    def test_short_run(self) -> None:
        """Every request runs where a version in force sends it."""
        result = run_change_soak(_SEED, _NODES, _DURATION_S)
        self.assertEqual(result.findings, [])
        self.assertGreater(result.versions, 3)
        self.assertGreater(sum(result.faults.values()), 5)
        statuses = [record.status for record in result.records]
        self.assertGreater(statuses.count(200), len(statuses) / 3)
