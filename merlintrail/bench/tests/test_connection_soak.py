"""Tests of the rules of the soak of connections, and a short run of it."""

import unittest
from typing import Final

from merlintrail.bench.connection_soak import run_connection_soak
from merlintrail.bench.connection_soak._requests import (
    RequestEnd,
    SoakRequest,
)
from merlintrail.bench.connection_soak._rules import (
    ConnectionHistory,
    create_rules,
)

#: Nodes, seconds of changes and seed of the short run.
_NODES: Final = 6
_DURATION_S: Final = 10.0
_SEED: Final = 1
#: Name, end, number on the connection, seconds, refused, runs, finding.
_CASES: Final = (
    ('answered', RequestEnd.ANSWERED, 1, 0.1, False, 1, ''),
    ('cut', RequestEnd.CUT, 3, 0.1, False, 1, 'lost'),
    ('run, no answer', RequestEnd.UNANSWERED, 2, 0.1, False, 1, 'lost'),
    ('run, behind', RequestEnd.BEHIND, 2, 0.1, False, 1, 'lost'),
    ('run, timed out', RequestEnd.TIMED_OUT, 2, 9.0, False, 1, 'lost'),
    ('first, held', RequestEnd.UNANSWERED, 1, 0.5, False, 0, 'lost'),
    ('crossed', RequestEnd.UNANSWERED, 1, 0.1, False, 0, ''),
    ('behind, not run', RequestEnd.BEHIND, 2, 0.5, False, 0, ''),
    ('not sent', RequestEnd.UNSENT, 1, 0.5, False, 0, ''),
    ('refused', RequestEnd.ANSWERED, 1, 0.1, True, 0, ''),
    ('refused, run', RequestEnd.ANSWERED, 1, 0.1, True, 1, 'although refused'),
    ('twice', RequestEnd.ANSWERED, 1, 0.1, False, 2, 'ran 2 times'),
)


class RulesTest(unittest.TestCase):
    """What callers saw is compared with what servers ran."""

    def test_planted_faults(self) -> None:
        """Each rule finds the one that is planted for it, and nothing else."""
        for name, end, number, waited_s, refused, runs, expected in _CASES:
            request = SoakRequest('label', 'node', 'kept', number, 0.0)
            request.end = end
            request.ended_at = waited_s
            request.is_refused = refused
            history = ConnectionHistory([request], {'label': runs})
            findings = [
                finding
                for rule in create_rules()
                for finding in rule.find(history)
            ]
            with self.subTest(name):
                self.assertEqual(len(findings), 1 if expected else 0)
                self.assertIn(expected, ''.join(findings))


class ConnectionSoakTest(unittest.TestCase):
    """A short run with real processes."""

    def test_short_run(self) -> None:
        """Every request that was taken is answered whole."""
        result = run_connection_soak(_SEED, _NODES, _DURATION_S)
        self.assertEqual(result.findings, [])
        self.assertGreater(result.changes['stop'], 0)
        self.assertGreater(result.ends['answered'], 1000)
