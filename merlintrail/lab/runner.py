"""Test runner that prints its result in one closing line.

Failures of the tests listed in KNOWN-RED.txt are printed and counted as
skipped. Run it with ``python -m merlintrail.lab.runner [NAME ...]``.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Final

#: Repository root.
ROOT: Final = Path(__file__).resolve().parents[2]
#: File that lists the tests that are known to fail.
KNOWN_FAILURES_PATH: Final = ROOT / 'KNOWN-RED.txt'
#: Start of the lines that hold the identifier of a test.
_TEST_PREFIX: Final = 'test: '


def read_known_failures() -> frozenset[str]:
    """Return the identifiers of tests that are known to fail."""
    if not KNOWN_FAILURES_PATH.exists():
        return frozenset()
    lines = KNOWN_FAILURES_PATH.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_PREFIX)
    )


def find_tests(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all tests of the project."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'merlintrail'), top_level_dir=str(ROOT))


def _list_failed_ids(result: unittest.TestResult) -> Iterator[str]:
    for test, _ in (*result.failures, *result.errors):
        # A failed subtest counts as a failure of its test case.
        yield getattr(test, 'test_case', test).id()
    for test in result.unexpectedSuccesses:
        yield test.id()


def run_tests(names: list[str]) -> int:
    """Run the tests and return the exit status of the process.

    The status is 1 when a test failed that is not known to fail, or when no
    test was run. A test that succeeds unexpectedly counts as failed.
    """
    runner = unittest.TextTestRunner(verbosity=1, stream=sys.stdout)
    result = runner.run(find_tests(names))
    failed = set(_list_failed_ids(result))
    known_failures = read_known_failures() & failed
    for name in sorted(known_failures):
        sys.stdout.write(f'known red: {name}\n')
    failures = len(failed - known_failures)
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stdout.write(
        f'{passed} passed, {failures} failed, '
        f'{len(result.skipped) + len(known_failures)} skipped\n'
    )
    return 1 if failures or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(run_tests(sys.argv[1:]))
