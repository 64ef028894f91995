"""A stored version that some nodes, or all, cannot put in force."""

import asyncio
import unittest
from collections.abc import Mapping
from typing import Any, Final
from unittest import mock

from merlintrail.coordination.tests.configuration_fleet import (
    ConfigurationFleet,
    FleetNode,
)
from merlintrail.coordination.tests.peer_network import DOCUMENT
from merlintrail.state import Envelope
from merlintrail.testing import run_virtually

#: Seconds within which a confirmed change must be in force.
_BOUND_S: Final = 2.5
_REFUSED_S: Final = 20.0
_SOUND: Final = Envelope(2, 'c2', 'op', 0.0, DOCUMENT)._asdict()
#: Entries in the store that no node can put in force.
_UNUSABLE: Final[Mapping[str, Any]] = {
    'refused by the schema': Envelope(
        2, 'c2', 'op', 0.0, {**DOCUMENT, 'format': 2}
    )._asdict(),
    'unreadable': {'generation': 2},
    'no object': {**_SOUND, 'document': [7]},
    'no number': {**_SOUND, 'generation': 'two'},
}


async def _start() -> ConfigurationFleet:
    fleet = ConfigurationFleet(3, 4, seed=1)
    await fleet.start()
    return fleet


def _read_ages(fleet: ConfigurationFleet) -> list[float]:
    return [node.membership.confirmations.read_age() for node in fleet.nodes]


def _refuse(node: FleetNode) -> None:
    """Let a node refuse every version, as one of an earlier release may."""
    refusal = mock.patch.object(
        node.holder, 'apply_if_newer', return_value=False
    )
    refusal.start()


class RefusedConfigurationTest(unittest.TestCase):
    """Only the generation that was seen is confirmed by the store."""

    def test_refused_version_confirms_the_older_one(self) -> None:
        """The age of the older one grows at all nodes; the next is taken."""

        async def scenario(stored: Mapping[str, Any]) -> None:
            fleet = await _start()
            fleet.store(stored)
            reads = fleet.state.counts['read']
            await asyncio.sleep(_REFUSED_S)
            self.assertGreater(min(_read_ages(fleet)), _REFUSED_S - _BOUND_S)
            reads = fleet.state.counts['read'] - reads
            self.assertLess(reads, len(fleet.nodes) * _REFUSED_S / 2)
            self.assertTrue(any(node.source.is_refused for node in fleet.nodes))
            generation = fleet.change()
            await asyncio.sleep(_BOUND_S)
            self.assertLess(max(fleet.list_delays(generation))[0], _BOUND_S)
            self.assertLess(max(_read_ages(fleet)), _BOUND_S)
            self.assertFalse(
                any(node.source.is_refused for node in fleet.nodes)
            )
            await fleet.stop()

        for name, stored in _UNUSABLE.items():
            with self.subTest(name):
                run_virtually(scenario(stored))

    def test_refusal_by_relays_hides_a_version_from_others(self) -> None:
        """Nodes that can read it have it in time beside relays that cannot."""

        async def scenario() -> None:
            fleet = await _start()
            refusing = {node.name for node in fleet.list_relays()}
            for node in fleet.list_relays():
                _refuse(node)
            generation = fleet.change()
            await asyncio.sleep(_BOUND_S)
            delays = [
                delay
                for delay, name in fleet.list_delays(generation)
                if name not in refusing
            ]
            self.assertTrue(delays)
            self.assertLess(max(delays), _BOUND_S)
            await fleet.stop()

        run_virtually(scenario())
