"""Changes of the configuration during a fault soak, and what nodes make of them."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import orjson
import urllib3

from merlintrail.coordination import PEER_PATH
from merlintrail.lab.processes import FLEET_KEY, Deployment
from merlintrail.protocol import FLEET_KEY_HEADER

#: Mean seconds between two changes.
MEAN_CHANGE_INTERVAL_S: Final = 0.8
#: Seconds between two looks at the nodes.
LOOK_INTERVAL_S: Final = 0.2
#: Shares of retries that take turns, so that changes are taken back too.
_SHARES: Final = (0.1, 0.2, 0.1, 0.3)
#: Section of the document that is changed.
_CHANGED_SECTION: Final = 'retry_budget'
#: Seconds to wait for the answer of a node.
_TIMEOUT_S: Final = 2.0
_UNREACHABLE: Final = (
    urllib3.exceptions.HTTPError,
    orjson.JSONDecodeError,
    KeyError,
)


class _Sighting(NamedTuple):
    """The generation that one run of a node said to have in force."""

    instance: str
    incarnation: int
    generation: int


class ConfigurationChanges:
    """Changes the configuration at random, and looks at all nodes."""

    def __init__(
        self, deployment: Deployment, document: Mapping[str, Any], seed: int
    ) -> None:
        self._deployment = deployment
        self._document = document
        self._rng = random.Random(seed)
        #: Generation that was acknowledged last, and the share in it.
        self._generation = 0
        self._share = _SHARES[0]
        self._sightings: list[_Sighting] = []

    async def change(self) -> None:
        """Change the configuration at random times until cancelled."""
        number = 0
        while True:
            pause_s = self._rng.expovariate(1 / MEAN_CHANGE_INTERVAL_S)
            await asyncio.sleep(pause_s)
            number += 1
            share = _SHARES[number % len(_SHARES)]
            await asyncio.to_thread(self._apply, share)

    async def look(self) -> None:
        """Look at all nodes periodically until cancelled."""
        while True:
            await asyncio.to_thread(self._look)
            await asyncio.sleep(LOOK_INTERVAL_S)

    def check(self) -> Sequence[str]:
        """Return what was wrong, once all faults are over."""
        findings = [
            f'{later.instance} went from generation {earlier.generation} back '
            f'to {later.generation}'
            for earlier, later in self._pair_sightings()
            if later.generation < earlier.generation
        ]
        for instance in self._deployment.workers:
            finding = self._check_node(instance)
            if finding:
                findings.append(finding)
        return findings

    def _apply(self, share: float) -> None:
        document = {**self._document, _CHANGED_SECTION: {'share': share}}
        try:
            generation = self._deployment.apply_configuration(document)
        except _UNREACHABLE:
            return
        self._generation = generation
        self._share = share

    def _look(self) -> None:
        for instance in self._deployment.workers:
            try:
                status = self._deployment.request_admin_api(
                    'GET', '/v1/status', instance=instance
                )
                sighting = _Sighting(
                    instance, status['incarnation'], status['generation']
                )
            except _UNREACHABLE:
                continue
            self._sightings.append(sighting)

    def _check_node(self, instance: str) -> str:
        """Return what is wrong with the configuration in force at a node."""
        try:
            current = self._read_configuration(instance)
        except _UNREACHABLE as error:
            return f'{instance} names no configuration: {error!r}'
        generation = current['generation']
        if generation < self._generation:
            return f'{instance} has {generation}, not {self._generation}'
        share = current['sections'][_CHANGED_SECTION]['share']
        if generation == self._generation and share != self._share:
            return f'{instance} has another document in {generation}'
        return ''

    def _read_configuration(self, instance: str) -> Any:
        """Read the configuration that a node has in force, from the node."""
        address = self._deployment.workers[instance].peer_address
        answer = urllib3.request(
            'POST',
            f'http://{address}{PEER_PATH}configuration',
            body=b'{}',
            headers={FLEET_KEY_HEADER: FLEET_KEY},
            retries=False,
            timeout=_TIMEOUT_S,
        )
        return orjson.loads(answer.data)

    def _pair_sightings(self) -> list[tuple[_Sighting, _Sighting]]:
        """Return each sighting with the one before it of the same run."""
        earlier: dict[tuple[str, int], _Sighting] = {}
        pairs = []
        for sighting in self._sightings:
            key = (sighting.instance, sighting.incarnation)
            if key in earlier:
                pairs.append((earlier[key], sighting))
            earlier[key] = sighting
        return pairs
