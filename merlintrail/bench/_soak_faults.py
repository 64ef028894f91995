"""Faults from outside the processes of a soak, by a seeded source."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple, TypeAlias

from merlintrail.bench._soak_checks import STEADY_ENTRY
from merlintrail.lab.processes import Deployment
from merlintrail.lab.relay import TcpRelay

#: Mean seconds between the beginnings of two faults.
INTERVAL_S: Final = 0.7
#: Bounds on the seconds that a fault lasts.
SHORTEST_S: Final = 0.2
LONGEST_S: Final = 3.0
#: Seconds by which a delayed relay holds bytes back.
DELAY_S: Final = 0.4
#: Faults that may last at the same time.
MAX_AT_ONCE: Final = 3
#: Seconds between two looks at a process that is to end.
_POLL_S: Final = 0.05

#: Members of the store stand-in's faults.
StoreFaults: TypeAlias = dict[str, Any]
#: Brings about a fault in a subject, by its name, for some seconds.
Fault: TypeAlias = Callable[[str, float], Awaitable[None]]

_STORE_FAULTS: Final[Sequence[StoreFaults]] = (
    {'is_down': True},
    {'is_busy': True},
    {'delay_s': 0.5},
    {'loses_write_answers': True, 'share': 0.5},
    {'loses_write_answers': True, 'late_s': 0.5},
)


class SoakTargets(NamedTuple):
    """What faults are brought about in."""

    deployment: Deployment
    #: Instances that have a backend server.
    workers: Sequence[str]
    #: Instances that callers use.
    entries: Sequence[str]
    #: In front of the workers' peer addresses.
    relays: Sequence[TcpRelay]


class SoakFaults:
    """Brings about faults that overlap, each on a process or link of its own."""

    def __init__(self, targets: SoakTargets, seed: int) -> None:
        self._targets = targets
        self._source = random.Random(seed)
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Faults brought about, by name.
        self.counts: Counter[str] = Counter()

    async def run(self, duration_s: float) -> None:
        """Bring about faults for a time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            await asyncio.sleep(self._source.expovariate(1 / INTERVAL_S))
            if len(self._tasks) < MAX_AT_ONCE:
                self._begin()
        await asyncio.gather(*self._tasks)

    def _begin(self) -> None:
        fault = self._source.choice(
            (
                self._kill_node,
                self._kill_backend,
                self._stop_node,
                self._pause_node,
                self._disturb_store,
                self._disturb_relay,
            )
        )
        lasts_s = self._source.uniform(SHORTEST_S, LONGEST_S)
        subject = self._choose_subject(fault)
        if subject in self._busy:
            return
        self._busy.add(subject)
        self.counts[fault.__name__.strip('_')] += 1
        task = asyncio.create_task(self._last(fault, subject, lasts_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_subject(self, fault: Fault) -> str:
        if fault == self._disturb_store:
            return 'store'
        if fault == self._disturb_relay:
            return f'relay {self._source.randrange(len(self._targets.relays))}'
        if fault == self._kill_backend:
            return self._source.choice(self._targets.workers)
        entries = list(self._targets.entries)
        # Each of its requests must be answered.
        entries.pop(STEADY_ENTRY)
        return self._source.choice([*self._targets.workers, *entries])

    async def _last(self, fault: Fault, subject: str, lasts_s: float) -> None:
        try:
            await fault(subject, lasts_s)
        finally:
            self._busy.discard(subject)

    async def _kill_node(self, instance: str, lasts_s: float) -> None:
        await self._kill(f'node {instance}', lasts_s)
        self._targets.deployment.start_node(instance)

    async def _kill_backend(self, instance: str, lasts_s: float) -> None:
        await self._kill(f'backend {instance}', lasts_s)
        self._targets.deployment.start_backend(instance)

    async def _kill(self, name: str, lasts_s: float) -> None:
        """Kill a process and wait before it is started again."""
        self._targets.deployment.send_signal(name, signal.SIGKILL)
        await self._wait_for_end(name)
        await asyncio.sleep(lasts_s)

    async def _stop_node(self, instance: str, _: float) -> None:
        name = f'node {instance}'
        self._targets.deployment.send_signal(name, signal.SIGTERM)
        await self._wait_for_end(name)
        self._targets.deployment.start_node(instance)

    async def _pause_node(self, instance: str, lasts_s: float) -> None:
        name = f'node {instance}'
        self._targets.deployment.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(lasts_s)
        self._targets.deployment.send_signal(name, signal.SIGCONT)

    async def _disturb_store(self, _: str, lasts_s: float) -> None:
        await self._set_store_faults(self._source.choice(_STORE_FAULTS))
        await asyncio.sleep(lasts_s)
        await self._set_store_faults({})

    async def _set_store_faults(self, faults: StoreFaults) -> None:
        await asyncio.to_thread(
            self._targets.deployment.set_store_faults, faults
        )

    async def _disturb_relay(self, subject: str, lasts_s: float) -> None:
        relay = self._targets.relays[int(subject.split()[1])]
        kind = self._source.choice(('silence', 'reset', 'delay'))
        if kind == 'silence':
            relay.drop_traffic()
        elif kind == 'reset':
            relay.reset()
        else:
            relay.delay_s = DELAY_S
            await asyncio.sleep(lasts_s)
            relay.delay_s = 0.0

    async def _wait_for_end(self, name: str) -> None:
        while not self._targets.deployment.has_exited(name):
            await asyncio.sleep(_POLL_S)
