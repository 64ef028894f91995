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
#: Longest pause in seconds while the store holds a version that cannot be put
#: in force. The relays' watches bring the next version.
REFUSED_PAUSE_S: Final = 5.0

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
            pause_s = min(self._limit_pause(), pause_s * 2)

    def _limit_pause(self) -> float:
        """Return the longest pause in seconds between failed reads."""
        if self._source.is_refused:
            return REFUSED_PAUSE_S
        return max(_BACKOFF.limit_s, self._compute_spread())

    def _compute_spread(self) -> float:
        """Return the seconds over which the reads of the fleet are spread."""
        return max(MIN_SPREAD_S, self._count_nodes() / MAX_FLEET_READS_PER_S)

    async def _wait_until_due(self) -> bool:
        """Wait until the latest confirmation is older than limit and delay.

        :returns: whether it was not yet.
        """
        limit_s = MAX_CONFIRMATION_AGE_S + self._rng.uniform(
            0, self._compute_spread()
        )
        has_waited = False
        while True:
            remaining_s = limit_s - self._confirmations.read_age()
            if remaining_s <= 0:
                return has_waited
            has_waited = True
            await asyncio.sleep(max(remaining_s, MIN_WAIT_S))

    async def _read(self) -> bool:
        """Read the configuration.

        :returns: whether that confirmed the generation in force.
        """
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
                'is_refused': self._source.is_refused,
                'fault': failure and failure.fault.value,
                'reason': failure and failure.reason,
            },
        )
        return failure is None and not self._source.is_refused
