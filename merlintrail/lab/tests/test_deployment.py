"""End-to-end test of the example deployment."""

import subprocess
import sys
import unittest
from typing import Any

import orjson


class DeploymentTest(unittest.TestCase):
    """The deployment of ``make run``, for a limited duration."""

    def test_every_request_is_answered(self) -> None:
        """It exits with 0, and each request succeeds or is refused."""
        completed = subprocess.run(
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
        self.assertEqual(completed.returncode, 0, completed.stderr)
        summary: dict[str, Any] = orjson.loads(completed.stdout)
        self.assertGreater(summary['requests'], 50)
        self.assertEqual(
            summary['whole_answers'] + sum(summary['refusals'].values()),
            summary['requests'],
        )
        self.assertGreater(summary['whole_answers'], 0)
