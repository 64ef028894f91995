"""Reads of the configuration by nodes that nobody confirms theirs to."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from merlintrail.coordination._backoff import Backoff
from merlintrail.coordination._configuration_source import ConfigurationSource
from merlintrail.coordination._confirmation import ConfirmationRecord
from merlintrail.coordination._store import StoreFailure
from merlintrail.observability import create_logger

#: Age in seconds of the latest confirmation above which a node reads the
#: store itself. With the delay and the read it stays below the time in which
#: a change has to be in force.
MAX_CONFIRMATION_AGE_S: Final = 1.9
#: Smallest upper limit in seconds of the random delay before a read.
MIN_SPREAD_S: Final = 0.2
#: Limit on the reads a second of a fleet whose nodes all read at once.
MAX_FLEET_READS_PER_S: Final = 1500
#: Shortest wait in seconds for the age to reach the limit.
MIN_WAIT_S: Final = 0.01
#: Pauses after failed reads.
_BACKOFF: Final = Backoff(first_s=0.25, limit_s=1.0)

_LOG: Final = create_logger('configuration')


class ConfigurationCheck:
    """Reads the store when the latest confirmation is too old."""

    def __init__(
        self,
        confirmations: ConfirmationRecord,
        source: ConfigurationSource,
        count_nodes: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Initialize the check.

        :param count_nodes: returns the number of nodes of the fleet.
        """
        self._confirmations = confirmations
        self._source = source
        self._count_nodes = count_nodes
        self._rng = rng
        self._pause_s = _BACKOFF.first_s

    async def run(self) -> None:
        """Read whenever the latest confirmation is too old, until cancelled.

        Begins when the node has its first configuration.
        """
        await self._confirmations.has_configuration.wait()
        pause_s = _BACKOFF.first_s
        while True:
            if await self._wait_until_due():
                pause_s = _BACKOFF.first_s
            if await self._read():
                continue
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            pause_s = min(_BACKOFF.limit_s, pause_s * 2)

    async def _wait_until_due(self) -> bool:
        """Wait until the latest confirmation is older than limit and delay.

        :returns: whether it was not yet.
        """
        spread_s = max(
            MIN_SPREAD_S, self._count_nodes() / MAX_FLEET_READS_PER_S
        )
        limit_s = MAX_CONFIRMATION_AGE_S + self._rng.uniform(0, spread_s)
        has_waited = False
        while True:
            remaining_s = limit_s - self._confirmations.read_age()
            if remaining_s <= 0:
                return has_waited
            has_waited = True
            await asyncio.sleep(max(remaining_s, MIN_WAIT_S))

    async def _read(self) -> bool:
        """Read the configuration; return whether the store answered."""
        latest = self._confirmations.latest
        age_s = self._confirmations.read_age()
        stored = await self._source.fetch(is_fresh=True)
        failure = stored if isinstance(stored, StoreFailure) else None
        _LOG.warning(
            'configuration checked',
            extra={
                'age_s': round(age_s, 3),
                'source': latest.source,
                'generation': latest.generation,
                'fault': failure and failure.fault.value,
                'reason': failure and failure.reason,
            },
        )
        return failure is None
