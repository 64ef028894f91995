"""Living nodes whose path to the relays of the configuration is lost."""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from merlintrail.coordination._relay_slots import LEASE_DURATION_S
from merlintrail.coordination.tests.configuration_fleet import (
    ConfigurationFleet,
)
from merlintrail.testing import run_virtually

#: Seconds within which a confirmed change must be in force at every living
#: node that reaches the store.
_BOUND_S: Final = 2.5
#: Share of the nodes whose open connections to the store fall silent.
_SILENT_SHARE: Final = 0.7
_CALM_S: Final = 12.0


class _Draw(NamedTuple):
    """Random choice of what happens to a fleet."""

    data_centres: int
    #: Nodes in each data centre.
    size: int
    #: Share of the nodes that are killed together.
    lost_share: float
    seed: int


class _Play(NamedTuple):
    """A fleet and the random source of what happens to it."""

    fleet: ConfigurationFleet
    rng: random.Random

    def lose(self, share: float) -> None:
        """Kill a share of the nodes together."""
        nodes = self.fleet.nodes
        for node in self.rng.sample(nodes, round(len(nodes) * share)):
            self.fleet.kill(node)


async def _start(draw: _Draw) -> _Play:
    """Start a fleet and let a random time pass."""
    rng = random.Random(draw.seed)
    fleet = ConfigurationFleet(draw.data_centres, draw.size, draw.seed)
    await fleet.start()
    await asyncio.sleep(rng.uniform(0, 2))
    return _Play(fleet, rng)


async def _lose_nodes(draw: _Draw) -> float:
    """Kill nodes, change the configuration; return the longest delay."""
    play = await _start(draw)
    play.lose(draw.lost_share)
    return await _change_repeatedly(play)


async def _change_repeatedly(play: _Play) -> float:
    """Change the configuration in the seconds after a loss."""
    fleet, rng = play
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
    play = await _start(draw)
    for node in play.fleet.list_relays():
        play.fleet.kill(node)
    return await _change_repeatedly(play)


async def _silence_paths(draw: _Draw) -> float:
    """Let open connections to the store fall silent, and lose some nodes."""
    play = await _start(draw)
    play.lose(draw.lost_share)
    for node in play.fleet.nodes:
        if play.rng.random() < _SILENT_SHARE:
            node.link.silence()
    return await _change_repeatedly(play)


async def _refuse_nodes(draw: _Draw) -> float:
    """Let the store refuse the relays and some others beside a loss."""
    play = await _start(draw)
    others = play.rng.sample(play.fleet.nodes, draw.size)
    for node in (*play.fleet.list_relays(), *others):
        node.link.is_cut = True
    await asyncio.sleep(play.rng.uniform(0, 8))
    play.lose(draw.lost_share)
    return await _change_repeatedly(play)


async def _count_calm_reads(draw: _Draw) -> int:
    """Return the reads of the configuration in a calm time."""
    fleet = ConfigurationFleet(draw.data_centres, draw.size, draw.seed)
    await fleet.start()
    before = fleet.state.counts['read']
    for _ in range(3):
        await asyncio.sleep(_CALM_S / 3)
        fleet.change()
    reads = fleet.state.counts['read'] - before
    await fleet.stop()
    return reads


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

    def test_changes_are_in_force_in_time_when_connections_fall_silent(
        self,
    ) -> None:
        """Watches and pooled connections do so together."""
        self._check(
            _silence_paths,
            [
                *(_Draw(6, 4, 0.4, seed) for seed in range(10)),
                *(_Draw(6, 11, 0.4, seed) for seed in range(3)),
            ],
        )

    def test_changes_are_in_force_in_time_when_the_store_refuses_relays(
        self,
    ) -> None:
        """Nodes that it serves read in their place."""
        self._check(
            _refuse_nodes,
            [
                *(_Draw(6, 4, 0.3, seed) for seed in range(10)),
                *(_Draw(6, 11, 0.3, seed) for seed in range(3)),
            ],
        )

    def test_survivors_in_a_large_data_centre_have_changes_in_time(
        self,
    ) -> None:
        """The ring of one of 14 data centres of 1,800 nodes has 32 hops."""
        self._check(_lose_nodes, [_Draw(1, 129, 0.5, seed) for seed in (1, 2)])

    def test_nodes_wait_for_dead_relays_before_they_claim_their_slots(
        self,
    ) -> None:
        """The slots are held again 4 s after the leases have ended."""

        async def scenario(seed: int) -> None:
            fleet = ConfigurationFleet(6, 4, seed)
            await fleet.start()
            await asyncio.sleep(random.Random(seed).uniform(0, 2))
            for node in fleet.list_relays():
                fleet.kill(node)
            await asyncio.sleep(LEASE_DURATION_S + 4.0)
            self.assertEqual(len(fleet.list_relays()), 12)
            await fleet.stop()

        for seed in range(4):
            with self.subTest(seed=seed):
                run_virtually(scenario(seed))

    def test_new_node_keeps_the_old_configuration_of_its_neighbour(
        self,
    ) -> None:
        """The neighbour is cut off from the others and from the store."""

        async def scenario() -> None:
            fleet = ConfigurationFleet(1, 4, 1)
            await fleet.start()
            stale = fleet.nodes[0]
            fleet.network.partitions[stale.name] = 1
            stale.link.is_cut = True
            generation = fleet.change()
            await asyncio.sleep(1)
            node = fleet.join('new:1', stale)
            await asyncio.sleep(_BOUND_S)
            self.assertEqual(node.holder.generation, generation)
            await fleet.stop()

        run_virtually(scenario())

    def test_start_of_a_node_confirms_an_old_configuration(self) -> None:
        """Nodes that start one after the other know no more than others."""

        async def scenario() -> None:
            fleet = ConfigurationFleet(1, 4, 1)
            await fleet.start()
            stale = fleet.nodes[0]
            fleet.network.partitions[stale.name] = 1
            generation = fleet.change()
            for number in range(5):
                await asyncio.sleep(_BOUND_S / 5)
                fleet.join(f'new-{number}:1', stale).link.is_cut = True
            self.assertEqual(stale.holder.generation, generation)
            await fleet.stop()

        run_virtually(scenario())

    def test_calm_nodes_do_not_read_the_store(self) -> None:
        """Heartbeats confirm the configuration to all of them."""
        for draw in (_Draw(6, 4, 0, 1), _Draw(1, 129, 0, 1)):
            with self.subTest(draw=draw):
                self.assertEqual(run_virtually(_count_calm_reads(draw)), 0)

    def _check(
        self,
        play: Callable[[_Draw], Coroutine[Any, Any, float]],
        draws: list[_Draw],
    ) -> None:
        for draw in draws:
            with self.subTest(draw=draw):
                delay_s = run_virtually(play(draw))
                self.assertLess(delay_s, _BOUND_S)
