"""Fault injection into the processes, links and store of a fault soak."""

import asyncio
import math
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeAlias

import urllib3

from merlintrail.lab.processes import Deployment
from merlintrail.lab.relay import TcpRelay

#: Index of the entry node into which no fault is injected.
FAULT_FREE_ENTRY_INDEX: Final = 0
#: Mean seconds between two attempts to inject a fault.
MEAN_FAULT_INTERVAL_S: Final = 0.7
#: Bounds of the random duration of a fault.
MIN_FAULT_DURATION_S: Final = 0.2
MAX_FAULT_DURATION_S: Final = 3.0
#: Seconds by which a relay delays each chunk of bytes.
RELAY_DELAY_S: Final = 0.4
#: Maximum number of faults in progress at the same time.
MAX_CONCURRENT_FAULTS: Final = 3
#: Mean seconds between two restores of the store from a copy.
MEAN_RESTORE_INTERVAL_S: Final = 3.0
#: Maximum age in seconds of the copy from which the store is restored.
MAX_COPY_AGE_S: Final = 10.0
#: Seconds for which the store is away before it is restored.
RESTORE_DOWN_S: Final = 0.3
#: Mean seconds between two statements of backend servers.
MEAN_STATEMENT_INTERVAL_S: Final = 1.5
#: Mean seconds between two requests to reload the settings.
MEAN_RELOAD_INTERVAL_S: Final = 0.5
#: Bounds of the time in seconds for which a statement holds.
MIN_STATEMENT_S: Final = 4.0
MAX_STATEMENT_S: Final = 9.0
#: Limits that backend servers state, in requests per second.
STATED_LIMITS: Final = ('0', '0.5', '1', '2.5', '4')
#: Seconds until a crashed backend server is started again.
RESTART_DELAY_S: Final = 0.5
#: Seconds between two polls for the exit of a process.
_POLL_INTERVAL_S: Final = 0.05

#: Faults of the fake store to switch on, by field of ``Faults``.
StoreFaults: TypeAlias = dict[str, Any]
#: Injects a fault into the named target for a number of seconds.
FaultAction: TypeAlias = Callable[[str, float], Awaitable[None]]

#: Faults of the store, one of which is chosen at random.
_STORE_FAULTS: Final[Sequence[StoreFaults]] = (
    {'is_down': True},
    {'is_busy': True},
    {'delay_s': 0.5},
    {'loses_write_answers': True, 'share': 0.5},
    {'loses_write_answers': True, 'late_s': 0.5},
)


class Disturbance(NamedTuple):
    """Time for which a fault disturbed a target."""

    #: Instance, ``store`` or ``relay`` with its number.
    target: str
    #: Event loop times; the end is infinite while the fault lasts.
    begun_at: float
    ended_at: float


class FaultTargets(NamedTuple):
    """The processes and links into which faults are injected."""

    deployment: Deployment
    #: Instances that have a backend server.
    workers: Sequence[str]
    #: Instances to which callers send requests.
    entries: Sequence[str]
    #: Relays in front of the peer addresses of the workers.
    relays: Sequence[TcpRelay]
    #: Workers whose backend servers announce an identity. Only these leave: a
    #: restarted node cannot tell which run of another one left.
    identified: Sequence[str]


class FaultIntensity(NamedTuple):
    """How often faults are injected, and which."""

    mean_interval_s: float = MEAN_FAULT_INTERVAL_S
    #: Maximum number of faults in progress at the same time.
    concurrent: int = MAX_CONCURRENT_FAULTS
    #: Whether the store is restored from copies for even seeds. It is not for
    #: odd ones, whose keys are all served, which a restored store prevents.
    has_restores: bool = True


class FaultInjector:
    """Injects overlapping random faults, at most one per target at a time.

    A node and its backend server count as one target.
    """

    def __init__(
        self,
        targets: FaultTargets,
        seed: int,
        intensity: FaultIntensity | None = None,
    ) -> None:
        self._targets = targets
        self._intensity = intensity or FaultIntensity()
        self._rng = random.Random(seed)
        #: Separate, so that the other faults of a seed stay the same.
        self._restore_rng = random.Random(f'restores {seed}')
        self._statement_rng = random.Random(f'statements {seed}')
        self._reload_rng = random.Random(f'reloads {seed}')
        self._restores = self._intensity.has_restores and seed % 2 == 0
        #: Targets of the faults in progress.
        self.faulted_targets: set[str] = set()
        #: Instances whose backend server is being started again.
        self._restarting: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Faults so far, the ones in progress included.
        self.disturbances: list[Disturbance] = []
        #: Number of injected faults by name. The summary of a run prints these
        #: names, which are those of the methods without the leading ``_``.
        self.counts: Counter[str] = Counter()

    async def replace_backend(
        self, instance: str, change: Mapping[str, Any], down_s: float
    ) -> None:
        """Start another backend server at the address of one that is killed.

        :param change: fields of its plan that differ.
        :param down_s: seconds for which the address is not used.
        """
        if instance in self._restarting:
            return
        name = f'backend {instance}'
        self._restarting.add(instance)
        self.counts['replace_backend'] += 1
        self._targets.deployment.send_signal(name, signal.SIGKILL)
        self._targets.deployment.change_plan(instance, change)
        await self._restart_backend(instance, down_s)

    async def restart_crashed_backends(self) -> None:
        """Start backend servers again that crashed, until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            for instance in self._targets.workers:
                name = f'backend {instance}'
                is_down = self._targets.deployment.has_exited(name)
                if is_down and instance not in self._restarting:
                    self.counts['crashed_backend'] += 1
                    await self._restart_backend(instance, RESTART_DELAY_S)

    async def run(self, duration_s: float) -> None:
        """Inject faults for a time, then wait until the last one has ended."""
        work = [
            self._inject_repeatedly(duration_s),
            self._make_statements(duration_s),
            self._reload_repeatedly(duration_s),
        ]
        if self._restores:
            work.append(self._restore_repeatedly(duration_s))
        await asyncio.gather(*work)

    async def _inject_repeatedly(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            await asyncio.sleep(
                self._rng.expovariate(1 / self._intensity.mean_interval_s)
            )
            if len(self._tasks) < self._intensity.concurrent:
                self._inject()
        await asyncio.gather(*self._tasks)

    async def _make_statements(self, duration_s: float) -> None:
        """Let backend servers state limits and leave, until a time is over.

        One that leaves goes on serving for a time and then restarts.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        statements = []
        while loop.time() < end:
            statements.append(
                asyncio.create_task(self._make_statement(end - loop.time()))
            )
            await asyncio.sleep(
                self._statement_rng.expovariate(1 / MEAN_STATEMENT_INTERVAL_S)
            )
        await asyncio.gather(*statements)

    async def _make_statement(self, remaining_s: float) -> None:
        rng = self._statement_rng
        is_leaving = rng.random() < 1 / 4
        targets = self._targets
        instance = rng.choice(
            targets.identified if is_leaving else targets.workers
        )
        held_s = min(remaining_s, rng.uniform(MIN_STATEMENT_S, MAX_STATEMENT_S))
        change: dict[str, Any] = {'rate_limit': rng.choice(STATED_LIMITS)}
        if is_leaving:
            change = {'is_leaving': True}
        name = 'state_leaving' if is_leaving else 'state_limit'
        self.counts[name] += await self._control(instance, change)
        await asyncio.sleep(held_s)
        if is_leaving:
            await self._kill_backend(instance, RESTART_DELAY_S)
        else:
            await self._control(instance, {'rate_limit': None})

    async def _control(self, instance: str, change: Mapping[str, Any]) -> bool:
        """Change what a backend server does, unless it is down."""
        try:
            await asyncio.to_thread(
                self._targets.deployment.control_backend, instance, change
            )
        except urllib3.exceptions.HTTPError:
            return False
        return True

    async def _reload_repeatedly(self, duration_s: float) -> None:
        """Ask nodes to reload their settings, those that just started too."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        workers = self._targets.deployment.workers
        while loop.time() < end:
            await asyncio.sleep(
                self._reload_rng.expovariate(1 / MEAN_RELOAD_INTERVAL_S)
            )
            instance = self._reload_rng.choice(sorted(workers))
            name = f'node {instance}'
            process_id = self._targets.deployment.read_process_id(name)
            if not await is_listening(workers[instance].call_address):
                continue
            # Another process may have replaced it meanwhile.
            if process_id == self._targets.deployment.read_process_id(name):
                self.counts['reload_node'] += 1
                self._targets.deployment.send_signal(name, signal.SIGHUP)

    async def _restore_repeatedly(self, duration_s: float) -> None:
        """Restore the store from copies, whatever other faults there are."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            await asyncio.sleep(
                self._restore_rng.expovariate(1 / MEAN_RESTORE_INTERVAL_S)
            )
            await asyncio.to_thread(self._targets.deployment.copy_store)
            remaining_s = max(0.0, end - loop.time())
            age_s = self._restore_rng.uniform(0, MAX_COPY_AGE_S)
            await asyncio.sleep(min(age_s, remaining_s))
            await self._restore_store()

    async def _restore_store(self) -> None:
        """Let the store come back from its copy, at times after an outage."""
        self.counts['restore_store'] += 1
        if self._restore_rng.random() < 1 / 2:
            await self._set_store_faults({'is_down': True})
            await asyncio.sleep(RESTORE_DOWN_S)
        await asyncio.to_thread(self._targets.deployment.restore_store)
        await self._set_store_faults({})

    def _inject(self) -> None:
        fault = self._rng.choice(
            (
                self._kill_node,
                self._kill_backend,
                self._stop_node,
                self._pause_node,
                self._disturb_store,
                self._disturb_relay,
            )
        )
        fault_duration_s = self._rng.uniform(
            MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S
        )
        target = self._choose_target(fault)
        if target in self.faulted_targets:
            return
        self.faulted_targets.add(target)
        self.counts[fault.__name__.strip('_')] += 1
        task = asyncio.create_task(
            self._run_fault(fault, target, fault_duration_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_target(self, fault: FaultAction) -> str:
        if fault == self._disturb_store:
            return 'store'
        if fault == self._disturb_relay:
            return f'relay {self._rng.randrange(len(self._targets.relays))}'
        if fault == self._kill_backend:
            return self._rng.choice(self._targets.workers)
        entries = list(self._targets.entries)
        # The checks require an answer to each request to this node.
        entries.pop(FAULT_FREE_ENTRY_INDEX)
        return self._rng.choice([*self._targets.workers, *entries])

    async def _run_fault(
        self, fault: FaultAction, target: str, fault_duration_s: float
    ) -> None:
        begun_at = asyncio.get_running_loop().time()
        number = len(self.disturbances)
        self.disturbances.append(Disturbance(target, begun_at, math.inf))
        try:
            await fault(target, fault_duration_s)
        finally:
            self.faulted_targets.discard(target)
            self.disturbances[number] = Disturbance(
                target, begun_at, asyncio.get_running_loop().time()
            )

    async def _kill_node(self, instance: str, fault_duration_s: float) -> None:
        await self._kill(f'node {instance}', fault_duration_s)
        self._targets.deployment.start_node(instance)

    async def _kill_backend(
        self, instance: str, fault_duration_s: float
    ) -> None:
        name = f'backend {instance}'
        if instance in self._restarting:
            return
        self._targets.deployment.send_signal(name, signal.SIGKILL)
        await self._restart_backend(instance, fault_duration_s)

    async def _restart_backend(self, instance: str, down_s: float) -> None:
        self._restarting.add(instance)
        await self._wait_for_exit(f'backend {instance}')
        await asyncio.sleep(down_s)
        self._targets.deployment.start_backend(instance)
        self._restarting.discard(instance)

    async def _kill(self, name: str, fault_duration_s: float) -> None:
        """Kill a process and keep it down for the duration of the fault."""
        self._targets.deployment.send_signal(name, signal.SIGKILL)
        await self._wait_for_exit(name)
        await asyncio.sleep(fault_duration_s)

    async def _stop_node(self, instance: str, _: float) -> None:
        name = f'node {instance}'
        self._targets.deployment.send_signal(name, signal.SIGTERM)
        await self._wait_for_exit(name)
        self._targets.deployment.start_node(instance)

    async def _pause_node(self, instance: str, fault_duration_s: float) -> None:
        name = f'node {instance}'
        self._targets.deployment.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(fault_duration_s)
        self._targets.deployment.send_signal(name, signal.SIGCONT)

    async def _disturb_store(self, _: str, fault_duration_s: float) -> None:
        await self._set_store_faults(self._rng.choice(_STORE_FAULTS))
        await asyncio.sleep(fault_duration_s)
        await self._set_store_faults({})

    async def _set_store_faults(self, faults: StoreFaults) -> None:
        await asyncio.to_thread(
            self._targets.deployment.set_store_faults, faults
        )

    async def _disturb_relay(
        self, target: str, fault_duration_s: float
    ) -> None:
        relay = self._targets.relays[int(target.split()[1])]
        kind = self._rng.choice(('silence', 'reset', 'delay'))
        if kind == 'silence':
            relay.drop_traffic()
        elif kind == 'reset':
            relay.reset()
        else:
            relay.delay_s = RELAY_DELAY_S
            await asyncio.sleep(fault_duration_s)
            relay.delay_s = 0.0

    async def _wait_for_exit(self, name: str) -> None:
        while not self._targets.deployment.has_exited(name):
            await asyncio.sleep(_POLL_INTERVAL_S)


async def is_listening(address: str) -> bool:
    """Return whether a process accepts connections on an address.

    The interpreter of a node that does not yet is still starting.
    """
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True
