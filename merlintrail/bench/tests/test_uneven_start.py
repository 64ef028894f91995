"""A fleet that starts under load, with servers of different speed."""

import unittest
from collections.abc import Callable, Mapping
from typing import Final

from merlintrail.bench.tests.uneven_start import (
    ServedRequest,
    play_uneven_start,
)

_UNEVEN: Final[Mapping[str, float]] = {'fast': 1.4, 'usual': 1.0, 'slow': 0.6}
_EVEN: Final[Mapping[str, float]] = {'fast': 1.0, 'usual': 1.0, 'slow': 1.0}
#: Share of requests that callers get answered, of those that room is for.
_TARGET_SERVED: Final = 0.9


def _share(
    requests: list[ServedRequest], is_counted: Callable[[ServedRequest], bool]
) -> float:
    counted = [is_counted(request) for request in requests]
    return sum(counted) / len(counted)


class UnevenStartTest(unittest.TestCase):
    """All servers work at half of their speed for three seconds."""

    def test_uneven_servers(self) -> None:
        """The slow region fails most requests; the others have room."""
        requests = play_uneven_start(_UNEVEN, duration_s=3.0)
        served = _share(requests, lambda request: request.is_success)
        self.assertGreaterEqual(served, _TARGET_SERVED)

    def test_even_servers(self) -> None:
        """Nothing is to be gained elsewhere, and nothing is lost."""
        requests = play_uneven_start(_EVEN, duration_s=3.0)
        in_time = _share(requests, lambda request: request.is_in_time)
        self.assertGreaterEqual(in_time, _TARGET_SERVED)
