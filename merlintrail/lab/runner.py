"""Runs every test and tells the result in one closing line.

Tests listed in KNOWN-RED.txt may fail; they are printed and do not count.
Run it with ``python -m merlintrail.lab.runner [NAME ...]``.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Final

#: Repository root, which holds the list of known failures.
ROOT: Final = Path(__file__).resolve().parents[2]
KNOWN_RED: Final = ROOT / 'KNOWN-RED.txt'
_TEST_MARK: Final = 'test: '


def read_known_red() -> frozenset[str]:
    """Return the identifiers of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_MARK).strip()
        for line in lines
        if line.startswith(_TEST_MARK)
    )


def find_tests(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all of them."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'merlintrail'), top_level_dir=str(ROOT))


def _list_failed(result: unittest.TestResult) -> Iterator[str]:
    for test, _ in (*result.failures, *result.errors):
        yield getattr(test, 'test_case', test).id()
    for test in result.unexpectedSuccesses:
        yield test.id()


def run_tests(names: list[str]) -> int:
    """Run the tests and return the exit status."""
    runner = unittest.TextTestRunner(verbosity=1, stream=sys.stdout)
    result = runner.run(find_tests(names))
    failed = set(_list_failed(result))
    known = read_known_red() & failed
    for name in sorted(known):
        sys.stdout.write(f'known red: {name}\n')
    failures = len(failed - known)
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stdout.write(
        f'{passed} passed, {failures} failed, '
        f'{len(result.skipped) + len(known)} skipped\n'
    )
    return 1 if failures or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(run_tests(sys.argv[1:]))
