"""Living nodes whose path to the relays of the configuration is lost."""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from merlintrail.coordination.tests.configuration_fleet import (
    ConfigurationFleet,
)
from merlintrail.testing import run_virtually

#: Seconds within which a confirmed change must be in force at every living
#: node that reaches the store.
_BOUND_S: Final = 2.5


class _Draw(NamedTuple):
    """Random choice of what happens to a fleet."""

    data_centres: int
    #: Nodes in each data centre.
    size: int
    #: Share of the nodes that are killed together.
    lost_share: float
    seed: int


async def _lose_nodes(draw: _Draw) -> float:
    """Kill nodes, change the configuration; return the longest delay."""
    rng = random.Random(draw.seed)
    fleet = ConfigurationFleet(draw.data_centres, draw.size, draw.seed)
    await fleet.start()
    await asyncio.sleep(rng.uniform(0, 2))
    nodes = fleet.nodes
    for node in rng.sample(nodes, round(len(nodes) * draw.lost_share)):
        fleet.kill(node)
    return await _change_repeatedly(fleet, rng)


async def _change_repeatedly(
    fleet: ConfigurationFleet, rng: random.Random
) -> float:
    """Change the configuration in the seconds after a loss."""
    generations = []
    for _ in range(4):
        await asyncio.sleep(rng.uniform(0.02, 1.2))
        generations.append(fleet.change())
    await asyncio.sleep(2 * _BOUND_S)
    delays = [max(fleet.list_delays(number)) for number in generations]
    await fleet.stop()
    return max(delays)[0]


async def _lose_relays(draw: _Draw) -> float:
    """Kill all relays at once."""
    rng = random.Random(draw.seed)
    fleet = ConfigurationFleet(draw.data_centres, draw.size, draw.seed)
    await fleet.start()
    await asyncio.sleep(rng.uniform(0, 2))
    for node in fleet.list_relays():
        fleet.kill(node)
    return await _change_repeatedly(fleet, rng)


class LostPathsTest(unittest.TestCase):
    """A change is in force in time at every node that reaches the store."""

    def test_survivors_whose_neighbours_all_died_have_changes_in_time(
        self,
    ) -> None:
        """Their neighbours are silent, and nobody has noticed yet."""
        self._check(
            _lose_nodes,
            [_Draw(6, 4, 0.6, seed) for seed in range(40)]
            + [_Draw(6, 11, 0.6, seed) for seed in range(8)],
        )

    def test_changes_are_in_force_in_time_when_all_relays_are_lost(
        self,
    ) -> None:
        """Their leases hold the slots for seconds."""
        self._check(
            _lose_relays,
            [
                *(_Draw(6, 4, 0.0, seed) for seed in range(4)),
                _Draw(6, 11, 0.0, 0),
            ],
        )

    def _check(
        self,
        play: Callable[[_Draw], Coroutine[Any, Any, float]],
        draws: list[_Draw],
    ) -> None:
        for draw in draws:
            with self.subTest(draw=draw):
                delay_s = run_virtually(play(draw))
                self.assertLess(delay_s, _BOUND_S)
