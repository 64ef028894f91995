"""Overload benches: trigger, goodput and recovery, with a baseline."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import uvloop
from absl import flags

from merlintrail.bench._figures import Figure, print_figure
from merlintrail.bench._rig import Rig
from merlintrail.bench._worlds import (
    BEDENREHBER,
    RETTELSE,
    World,
)
from merlintrail.load import LoadGenerator, LoadKind, LoadResult

_WITH_BASELINE: Final = flags.DEFINE_bool(
    'with_baseline', True, 'Whether to measure the baseline too.'
)
_DETAILS: Final = flags.DEFINE_bool(
    'details', False, 'Whether to print each second of each kind.'
)
#: Seconds of calm load before the trigger.
CALM_S: Final = 5.0
TRIGGER_S: Final = 10.0
AFTER_S: Final = 10.0
#: Load in calm, as a share of capacity.
CALM_LOAD: Final = 0.7
SURGE_LOAD: Final = 3.0
#: Times that a client sends again during a surge.
HARD_RETRIES: Final = 3
SLOWDOWN: Final = 10.0
#: Seconds of one step in which goodput is looked at.
STEP_S: Final = 0.5
#: Share of the calm goodput that counts as recovered.
RECOVERED_SHARE: Final = 0.95
_TARGET_GOODPUT: Final = 0.9
_TARGET_RECOVERY_S: Final = 2.0
_TARGET_TOP: Final = 0.99


class Trigger(NamedTuple):
    """What goes wrong, and what that leaves of the capacity."""

    name: str
    #: Capacity during the trigger as a share.
    capacity_share: float
    slows: bool = False
    surges: bool = False
    crashes: bool = False


TRIGGERS: Final = (
    Trigger('slow_deep_service', 1 / SLOWDOWN, slows=True),
    Trigger('surge', 1.0, surges=True),
    Trigger('crash', 1 / 3, crashes=True),
    Trigger('two_at_once', 1 / SLOWDOWN, slows=True, surges=True),
)


class Measures(NamedTuple):
    """What one run showed."""

    goodput_ratio: float
    recovery_s: float
    top_importance_ratio: float
    wasted_share: float
    retries_per_request: float


async def _drive(
    rig: Rig, world: World, trigger: Trigger, seed: int
) -> LoadResult:
    """Send the calm load, the surge on top, and pull the trigger."""
    entries = [
        worker.call_address for worker in rig.deployment.workers.values()
    ]
    calm_rate = world.compute_capacity() * CALM_LOAD
    calm = LoadGenerator(entries, random.Random(seed))
    loads = [
        calm.run(world.build_load(calm_rate), CALM_S + TRIGGER_S + AFTER_S),
        _pull_trigger(rig, trigger),
    ]
    surge: list[LoadKind] = []
    if trigger.surges:
        rate = world.compute_capacity() * SURGE_LOAD - calm_rate
        surge = world.build_load(rate, HARD_RETRIES)
    loads.append(_send_surge(entries, surge, seed))
    finished = await asyncio.gather(*loads)
    samples = [
        sample
        for result in finished
        if isinstance(result, LoadResult)
        for sample in result.samples
    ]
    return LoadResult(samples)


async def _send_surge(
    entries: Sequence[str], kinds: Sequence[LoadKind], seed: int
) -> LoadResult:
    await asyncio.sleep(CALM_S)
    generator = LoadGenerator(entries, random.Random(seed + 1))
    result = await generator.run(kinds, TRIGGER_S)
    return LoadResult(
        [
            sample._replace(sent_at=sample.sent_at + CALM_S)
            for sample in result.samples
        ]
    )


async def _pull_trigger(rig: Rig, trigger: Trigger) -> None:
    await asyncio.sleep(CALM_S)
    loop = asyncio.get_running_loop()
    deepest = rig.list_deepest()
    if trigger.slows:
        await loop.run_in_executor(None, _slow, rig, deepest, SLOWDOWN)
    if trigger.crashes:
        for instance in deepest[1:]:
            rig.deployment.send_signal(f'backend {instance}', signal.SIGKILL)
    await asyncio.sleep(TRIGGER_S)
    if trigger.slows:
        await loop.run_in_executor(None, _slow, rig, deepest, 1.0)
    if trigger.crashes:
        for instance in deepest[1:]:
            rig.deployment.start_backend(instance)


def _slow(rig: Rig, instances: Sequence[str], factor: float) -> None:
    for instance in instances:
        rig.deployment.control_backend(instance, {'slowdown': factor})


def _print_details(world: World, result: LoadResult) -> None:
    """Print what became of each kind in each second, for a person."""
    for kind in world.kinds:
        chosen = result.select(kind.name)
        for second in range(int(CALM_S) - 1, int(CALM_S + TRIGGER_S) + 3):
            part = chosen.between(second, second + 1)
            sys.stderr.write(
                f'{kind.name} {second} sent {len(part.samples)} '
                f'whole {part.success_count} {dict(part.count_reasons())}\n'
            )


def _find_recovery(result: LoadResult) -> float:
    """Return the seconds after the trigger until goodput is back."""
    calm = result.between(1.0, CALM_S).success_count / (CALM_S - 1.0)
    end = CALM_S + TRIGGER_S
    steps = int(AFTER_S / STEP_S)
    goodputs = [
        result.between(
            end + step * STEP_S, end + (step + 1) * STEP_S
        ).success_count
        / STEP_S
        for step in range(steps)
    ]
    for step in range(steps - 1):
        pair = (goodputs[step] + goodputs[step + 1]) / 2
        if pair >= calm * RECOVERED_SHARE:
            return step * STEP_S
    return AFTER_S


def _measure(rig: Rig, world: World, trigger: Trigger, seed: int) -> Measures:
    begun_before = rig.count_begun()
    retries_before = rig.count_retries()
    result = uvloop.run(_drive(rig, world, trigger, seed))
    if _DETAILS.value:
        _print_details(world, result)
    capacity = world.compute_capacity() * trigger.capacity_share
    begun = rig.count_begun() - begun_before
    retries = rig.count_retries() - retries_before
    return Measures(
        _compute_goodput_ratio(result, capacity),
        _find_recovery(result),
        _compute_top_ratio(world, result, capacity),
        max(0.0, 1 - _count_useful(world, result) / max(1, begun)),
        retries / max(1, len(result.samples)),
    )


def _compute_goodput_ratio(result: LoadResult, capacity: float) -> float:
    """Compare whole answers during the trigger with what was possible."""
    start_s = CALM_S + 1.0
    end_s = CALM_S + TRIGGER_S - 0.5
    during = result.between(start_s, end_s)
    possible = min(capacity * (end_s - start_s), len(during.samples))
    return during.success_count / possible


def _compute_top_ratio(
    world: World, result: LoadResult, capacity: float
) -> float:
    """Compare whole answers of the most important kind with what it sent."""
    top = next(
        kind.name for kind in world.kinds if kind.importance == 'critical'
    )
    during = result.between(CALM_S, CALM_S + TRIGGER_S).select(top)
    return during.success_count / min(len(during.samples), capacity * TRIGGER_S)


def _count_useful(world: World, result: LoadResult) -> int:
    """Count the calls that belong to whole answers."""
    children = {service.name: service.children for service in world.services}

    def count_calls(service: str) -> int:
        return 1 + sum(
            count_calls(child.split('/')[1]) for child in children[service]
        )

    return sum(
        result.select(kind.name).success_count * count_calls(kind.service)
        for kind in world.kinds
    )


def _run_once(
    world: World, trigger: Trigger, seed: int, *, is_baseline: bool
) -> Measures:
    rig = Rig(world, is_baseline=is_baseline)
    try:
        rig.start()
        return _measure(rig, world, trigger, seed)
    finally:
        rig.deployment.stop()


def run_overload(
    world: World, trigger: Trigger, seed: int, *, with_baseline: bool = True
) -> None:
    """Measure one trigger and print its figures."""
    ours = _run_once(world, trigger, seed, is_baseline=False)
    baseline = None
    if with_baseline:
        baseline = _run_once(world, trigger, seed, is_baseline=True)
    prefix = f'{trigger.name}.{world.name}'
    if world is BEDENREHBER:
        prefix = trigger.name
    targets = {
        'goodput_ratio': _TARGET_GOODPUT,
        'recovery_s': _TARGET_RECOVERY_S,
        'top_importance_ratio': _TARGET_TOP,
    }
    for name, value in ours._asdict().items():
        print_figure(
            Figure(
                f'{prefix}.{name}',
                value,
                's' if name == 'recovery_s' else 'ratio',
                targets.get(name),
                None if baseline is None else getattr(baseline, name),
            )
        )


def list_benches() -> dict[str, Callable[[int], None]]:
    """Return the overload benches by name."""
    benches: dict[str, Callable[[int], None]] = {}
    for trigger in TRIGGERS:
        benches[trigger.name] = _bind(BEDENREHBER, trigger)
        benches[f'{trigger.name}_{RETTELSE.name}'] = _bind(RETTELSE, trigger)
    return benches


def _bind(world: World, trigger: Trigger) -> Callable[[int], None]:
    return lambda seed: run_overload(
        world, trigger, seed, with_baseline=_WITH_BASELINE.value
    )
