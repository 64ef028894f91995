"""A whole request through real processes."""

import subprocess
import sys
import unittest
from typing import Any

import orjson


class DeploymentTest(unittest.TestCase):
    """``make run`` answers every request and ends by itself."""

    def test_every_request_is_answered(self) -> None:
        """Callers, nodes, two chained services and the store."""
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'merlintrail.lab.deployment',
                '--duration=2',
            ],
            capture_output=True,
            check=False,
            timeout=90,
        )
        self.assertEqual(finished.returncode, 0, finished.stderr)
        summary: dict[str, Any] = orjson.loads(finished.stdout)
        self.assertGreater(summary['requests'], 50)
        self.assertEqual(
            summary['whole_answers'] + sum(summary['refusals'].values()),
            summary['requests'],
        )
        self.assertGreater(summary['whole_answers'], 0)
