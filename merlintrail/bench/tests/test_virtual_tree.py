"""Trees of calls whose servers differ in speed, are cold, or are lost."""

import unittest
from collections.abc import Callable, Mapping
from typing import Final

from merlintrail.bench.tests.virtual_tree import (
    ServedRequest,
    TreeLoad,
    play_tree,
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


class VirtualTreeTest(unittest.TestCase):
    """In a start all servers work at half of their speed for three seconds."""

    def test_uneven_servers(self) -> None:
        """The slow region fails most requests; the others have room."""
        requests = play_tree(TreeLoad(_UNEVEN, cold_factor=2.0, duration_s=3.0))
        served = _share(requests, lambda request: request.is_success)
        self.assertGreaterEqual(served, _TARGET_SERVED)

    def test_even_servers(self) -> None:
        """Nothing is to be gained elsewhere, and nothing is lost."""
        requests = play_tree(TreeLoad(_EVEN, cold_factor=2.0, duration_s=3.0))
        in_time = _share(requests, lambda request: request.is_in_time)
        self.assertGreaterEqual(in_time, _TARGET_SERVED)

    def test_lost_servers_in_a_surge(self) -> None:
        """Two of six servers of the deepest service are lost in a surge.

        What is left has room for 0.88 of the requests.
        """
        load = TreeLoad(
            _EVEN,
            rate_factor=1.85,
            lost_servers=('deep.fast-a', 'deep.fast-b'),
            duration_s=5.0,
        )
        requests = play_tree(load, seed=2)
        served = _share(requests, lambda request: request.is_success)
        self.assertGreaterEqual(served, _TARGET_SERVED * 0.88)
