"""Runs of a soak for consecutive seeds, as its command line makes them."""

import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import orjson


class SoakResult(Protocol):
    """Findings of one seed."""

    @property
    def findings(self) -> Sequence[str]:
        """Descriptions of what is wrong."""

    def summarise(self) -> Mapping[str, Any]:
        """Build a summary that can be serialised as JSON."""


def run_seeds(first: int, count: int, run: Callable[[int], SoakResult]) -> int:
    """Run some seeds, and print a line for each.

    :param run: runs one seed.
    :returns: the exit status, 1 if a seed has findings.
    """
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    failed_seeds = 0
    for seed in range(first, first + count):
        result = run(seed)
        failed_seeds += bool(result.findings)
        sys.stdout.write(f'{orjson.dumps(result.summarise()).decode()}\n')
        sys.stdout.flush()
    return 1 if failed_seeds else 0


def _exit_on_sigterm(*_: Any) -> None:
    """Raise ``SystemExit`` so that all processes of the run are stopped."""
    sys.exit(1)
