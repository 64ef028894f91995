"""Changes of routes during a soak, and what they allow a request."""

import asyncio
import itertools
import math
import random
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.coordination import (
    ConfigurationChange,
    StoreClient,
    StoreFailure,
    apply_change,
    read_stored_document,
)
from merlintrail.state import Envelope

#: Seconds within which a confirmed change must be in force.
CONFIGURATION_BOUND_S: Final = 2.5
#: Longest time in seconds from the sending of a request until it is routed.
MAX_HANDLING_S: Final = 4.0
#: Host of all routes.
ROUTE_HOST: Final = 'soak.example'
#: Prefixes of the routes; the value tells whether requests are idempotent.
ROUTE_PREFIXES: Final[Mapping[str, bool]] = {
    '/move/': True,
    '/once/': False,
    '/added/': True,
}
#: Route that changes drop and add again.
ADDED_PREFIX: Final = '/added/'
SERVICES: Final = ('alpha', 'beta', 'gamma')
#: Pauses in seconds between two changes.
PAUSES_S: Final = (0.05, 0.3, 1.0, 3.0)
#: Timeouts in milliseconds that changes give a route.
TIMEOUTS_MS: Final = (4000, 5000, 5500)
#: Services that a change gives a route, by chance; 0 leaves it as it is.
_SERVICE_COUNTS: Final = (0, 0, 1, 1, 1, 2)
_SPLIT_WEIGHTS: Final = (90, 10)

#: Services of the routes that there are, by prefix.
RouteServices = Mapping[str, tuple[str, ...]]


class RouteVersion(NamedTuple):
    """A version that was written, or may have been."""

    services: RouteServices
    #: Event loop times at which it was sent and confirmed. The latter is
    #: infinite if the store did not answer.
    asked_at: float
    confirmed_at: float


class RouteChanges:
    """Writes versions that move, split, drop and add routes."""

    def __init__(
        self, client: StoreClient, data_centres: Sequence[str], seed: int
    ) -> None:
        self._client = client
        self._data_centres = data_centres
        self._rng = random.Random(f'changes {seed}')
        self._numbers = itertools.count(1)
        self._services: dict[str, tuple[str, ...]] = {
            prefix: SERVICES[:1] for prefix in ROUTE_PREFIXES
        }
        self.versions: list[RouteVersion] = []

    async def run(self, duration_s: float) -> None:
        """Make changes in series for a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            await asyncio.sleep(self._rng.choice(PAUSES_S))
            self._move_routes()
            await asyncio.to_thread(self.write)

    def write(self) -> int | None:
        """Write the routes as they are now.

        :returns: the generation, ``None`` if it is not known to be in force.
        """
        asked_at = time.monotonic()
        number = len(self.versions)
        services = dict(self._services)
        self.versions.append(RouteVersion(services, asked_at, math.inf))
        stored = read_stored_document(self._client)
        if isinstance(stored, StoreFailure):
            return None
        change = ConfigurationChange(
            self._build_document(),
            stored.envelope.generation,
            'soak',
            f'change {next(self._numbers)}',
            time.time(),
        )
        outcome = apply_change(self._client, change)
        if not isinstance(outcome, Envelope):
            return None
        self.versions[number] = RouteVersion(
            services, asked_at, time.monotonic()
        )
        return outcome.generation

    def list_allowed(self, prefix: str, sent_at: float) -> set[str]:
        """Return the services that may run a request, '' for no route.

        The request may be handled by the version that bound all nodes when it
        was sent, and by any later one.
        """
        bound_at = sent_at - CONFIGURATION_BOUND_S
        binding = [
            number
            for number, version in enumerate(self.versions)
            if version.confirmed_at <= bound_at
        ]
        first = binding[-1] if binding else 0
        return {
            service
            for later in self.versions[first:]
            if later.asked_at <= sent_at + MAX_HANDLING_S
            for service in later.services.get(prefix, ('',))
        }

    def _move_routes(self) -> None:
        for prefix in ROUTE_PREFIXES:
            count = self._rng.choice(_SERVICE_COUNTS)
            if count:
                services = self._rng.sample(SERVICES, count)
                self._services[prefix] = tuple(services)
        if self._rng.getrandbits(1):
            self._services.pop(ADDED_PREFIX, None)

    def _build_document(self) -> Mapping[str, Any]:
        return {
            'format': 1,
            'services': [{'name': name, 'warmup_s': 0} for name in SERVICES],
            'regions': [{'name': 'one', 'data_centres': self._data_centres}],
            'routes': [
                {
                    'name': prefix.strip('/'),
                    'host': ROUTE_HOST,
                    'prefix': prefix,
                    'importance': 'normal',
                    'idempotent': ROUTE_PREFIXES[prefix],
                    'timeout_ms': self._rng.choice(TIMEOUTS_MS),
                    'attempts': 2,
                    'split': [
                        {'service': name, 'weight': weight}
                        for name, weight in zip(
                            services, _SPLIT_WEIGHTS, strict=False
                        )
                    ],
                }
                for prefix, services in self._services.items()
            ],
        }
