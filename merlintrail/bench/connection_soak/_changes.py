"""Planned stops and changes of a deployment, in series and overlapping."""

import asyncio
import random
import signal
from collections import Counter
from typing import Final

from merlintrail.bench._soak_faults import is_listening
from merlintrail.bench.change_soak._changes import RouteChanges
from merlintrail.lab.processes import Deployment

#: Bounds of the pause in seconds between two changes.
MIN_PAUSE_S: Final = 0.3
MAX_PAUSE_S: Final = 1.5
#: Bounds of the time in seconds for which a node stays away.
MIN_AWAY_S: Final = 0.2
MAX_AWAY_S: Final = 1.5
#: Nodes for each that may be stopping at a time.
NODES_PER_STOP: Final = 4
#: Longest time in seconds that a stop may take.
STOP_LIMIT_S: Final = 20.0
_POLL_S: Final = 0.05


class PlannedChanges:
    """Stops nodes, reloads their settings and moves routes, at random."""

    def __init__(
        self, deployment: Deployment, routes: RouteChanges, seed: int
    ) -> None:
        self._deployment = deployment
        self._routes = routes
        self._rng = random.Random(f'planned {seed}')
        self._stops: dict[str, asyncio.Task[None]] = {}
        #: Changes so far by kind.
        self.counts: Counter[str] = Counter()
        #: Descriptions of stops that did not end as they should.
        self.findings: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Make changes for a time, and wait until the last stop has ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        routes = asyncio.create_task(self._routes.run(duration_s))
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if self._rng.random() < 1 / 2:
                self._stop_some()
            else:
                await self._reload()
        await routes
        await asyncio.gather(*self._stops.values())

    def _stop_some(self) -> None:
        """Begin to stop nodes, unless enough of them are stopping."""
        workers = sorted(self._deployment.workers)
        room = max(1, len(workers) // NODES_PER_STOP) - len(self._stops)
        others = [name for name in workers if name not in self._stops]
        count = self._rng.randint(0, max(0, room))
        for name in self._rng.sample(others, count):
            self.counts['stop'] += 1
            self._stops[name] = asyncio.create_task(self._stop(name))

    async def _reload(self) -> None:
        """Ask a node to reload its settings, one that is stopping too."""
        name = self._rng.choice(sorted(self._deployment.workers))
        if await self._has_started(name):
            self.counts['reload'] += 1
            self._deployment.send_signal(f'node {name}', signal.SIGHUP)

    async def _has_started(self, name: str) -> bool:
        """Return whether a node, rather than its interpreter, has started."""
        process = f'node {name}'
        process_id = self._deployment.read_process_id(process)
        address = self._deployment.workers[name].call_address
        return (
            await is_listening(address)
            # Another process may have replaced it meanwhile.
            and process_id == self._deployment.read_process_id(process)
            and not self._deployment.has_exited(process)
        )

    async def _end_process(self, name: str) -> None:
        while not await self._has_started(name):
            await asyncio.sleep(_POLL_S)
        process = f'node {name}'
        self._deployment.send_signal(process, signal.SIGTERM)
        while not self._deployment.has_exited(process):
            await asyncio.sleep(_POLL_S)

    async def _stop(self, name: str) -> None:
        process = f'node {name}'
        try:
            async with asyncio.timeout(STOP_LIMIT_S):
                await self._end_process(name)
        except TimeoutError:
            self.findings.append(f'{name} did not stop in {STOP_LIMIT_S} s')
            self._deployment.send_signal(process, signal.SIGKILL)
        status = await asyncio.to_thread(
            self._deployment.wait_for_exit, process
        )
        if status:
            self.findings.append(f'{name} ended with status {status}')
        await asyncio.sleep(self._rng.uniform(MIN_AWAY_S, MAX_AWAY_S))
        self._deployment.start_node(name)
        del self._stops[name]
