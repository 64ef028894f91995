"""Overload benchmarks: goodput and recovery, compared with a baseline.

A steady load below capacity runs throughout. A trigger slows down or crashes
backend servers or adds a surge of load for a time. The baseline is the same
run with plain forwarders in place of the nodes.
"""

import asyncio
import random
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import uvloop
from absl import flags

from merlintrail.bench._deployments import (
    BEDENREHBER,
    RETTELSE,
    BenchDeployment,
)
from merlintrail.bench._figures import Figure, print_figure
from merlintrail.bench._rig import Rig
from merlintrail.load import LoadGenerator, LoadKind, LoadResult

_WITH_BASELINE: Final = flags.DEFINE_bool(
    'with_baseline', True, 'Whether to measure the baseline as well.'
)
_DETAILS: Final = flags.DEFINE_bool(
    'details',
    False,
    'Whether to print the results of each request kind for each second.',
)
#: Seconds of steady load before the trigger.
PRE_TRIGGER_S: Final = 5.0
#: Seconds for which the trigger lasts.
TRIGGER_S: Final = 10.0
#: Seconds of steady load after the trigger.
POST_TRIGGER_S: Final = 10.0
#: Steady load, as a multiple of the capacity.
STEADY_LOAD_FACTOR: Final = 0.7
#: Total load during a surge, as a multiple of the capacity.
SURGE_LOAD_FACTOR: Final = 3.0
#: Number of times that clients retry failed requests of the surge.
SURGE_CLIENT_RETRIES: Final = 3
#: Factor by which the service time of slowed backend servers grows.
SLOWDOWN_FACTOR: Final = 10.0
#: Seconds of the intervals in which goodput is measured after the trigger.
GOODPUT_STEP_S: Final = 0.5
#: Share of the goodput before the trigger that counts as recovered.
RECOVERED_GOODPUT_SHARE: Final = 0.95
_TARGET_GOODPUT_RATIO: Final = 0.9
_TARGET_RECOVERY_S: Final = 2.0
_TARGET_TOP_IMPORTANCE_RATIO: Final = 0.99


class Trigger(NamedTuple):
    """An overload scenario, which affects the deepest service or the load."""

    name: str
    #: Share of the capacity that remains during the trigger.
    capacity_share: float
    #: Whether the backend servers of the deepest service slow down, by
    #: :data:`SLOWDOWN_FACTOR`.
    slows_backends: bool = False
    #: Whether load is added, up to a total of :data:`SURGE_LOAD_FACTOR`.
    adds_surge: bool = False
    #: Whether all but one backend server of the deepest service are killed.
    crashes_backends: bool = False


TRIGGERS: Final = (
    Trigger('slow_deep_service', 1 / SLOWDOWN_FACTOR, slows_backends=True),
    Trigger('surge', 1.0, adds_surge=True),
    Trigger('crash', 1 / 3, crashes_backends=True),
    Trigger(
        'two_at_once', 1 / SLOWDOWN_FACTOR, slows_backends=True, adds_surge=True
    ),
)


class Measures(NamedTuple):
    """Figures of one run, printed under the names of the fields."""

    #: Successful requests during the trigger, relative to what was possible.
    goodput_ratio: float
    #: Seconds from the end of the trigger until goodput recovered.
    recovery_s: float
    #: As the goodput ratio, for the kind of critical importance.
    top_importance_ratio: float
    #: Share of the requests started by backend servers beyond those that the
    #: successful requests needed.
    wasted_share: float
    #: Retries by nodes or forwarders, per request of a client.
    retries_per_request: float


async def _run_load(
    rig: Rig, bench_deployment: BenchDeployment, trigger: Trigger, seed: int
) -> LoadResult:
    """Send the steady load and, during the trigger, the surge."""
    entries = [
        worker.call_address for worker in rig.deployment.workers.values()
    ]
    steady_rate = bench_deployment.compute_capacity() * STEADY_LOAD_FACTOR
    steady = LoadGenerator(entries, random.Random(seed))
    coroutines = [
        steady.run(
            bench_deployment.build_load(steady_rate),
            PRE_TRIGGER_S + TRIGGER_S + POST_TRIGGER_S,
        ),
        _apply_trigger(rig, trigger),
    ]
    surge: list[LoadKind] = []
    if trigger.adds_surge:
        rate = (
            bench_deployment.compute_capacity() * SURGE_LOAD_FACTOR
            - steady_rate
        )
        surge = bench_deployment.build_load(rate, SURGE_CLIENT_RETRIES)
    coroutines.append(_send_surge(entries, surge, seed))
    load_results = await asyncio.gather(*coroutines)
    samples = [
        sample
        for result in load_results
        if isinstance(result, LoadResult)
        for sample in result.samples
    ]
    return LoadResult(samples)


async def _send_surge(
    entries: Sequence[str], kinds: Sequence[LoadKind], seed: int
) -> LoadResult:
    await asyncio.sleep(PRE_TRIGGER_S)
    generator = LoadGenerator(entries, random.Random(seed + 1))
    result = await generator.run(kinds, TRIGGER_S)
    return LoadResult(
        [
            sample._replace(sent_at=sample.sent_at + PRE_TRIGGER_S)
            for sample in result.samples
        ]
    )


async def _apply_trigger(rig: Rig, trigger: Trigger) -> None:
    await asyncio.sleep(PRE_TRIGGER_S)
    loop = asyncio.get_running_loop()
    deepest = rig.list_deepest_instances()
    if trigger.slows_backends:
        await loop.run_in_executor(
            None, _set_slowdown, rig, deepest, SLOWDOWN_FACTOR
        )
    if trigger.crashes_backends:
        for instance in deepest[1:]:
            rig.deployment.send_signal(f'backend {instance}', signal.SIGKILL)
    await asyncio.sleep(TRIGGER_S)
    if trigger.slows_backends:
        await loop.run_in_executor(None, _set_slowdown, rig, deepest, 1.0)
    if trigger.crashes_backends:
        for instance in deepest[1:]:
            rig.deployment.start_backend(instance)


def _set_slowdown(rig: Rig, instances: Sequence[str], factor: float) -> None:
    for instance in instances:
        rig.deployment.control_backend(instance, {'slowdown': factor})


def _print_details(
    bench_deployment: BenchDeployment, result: LoadResult
) -> None:
    """Print the results of each kind for each second around the trigger."""
    for kind in bench_deployment.kinds:
        kind_result = result.select(kind.name)
        for second in range(
            int(PRE_TRIGGER_S) - 1, int(PRE_TRIGGER_S + TRIGGER_S) + 3
        ):
            second_result = kind_result.between(second, second + 1)
            sys.stderr.write(
                f'{kind.name} {second} sent {len(second_result.samples)} '
                f'whole {second_result.success_count} '
                f'{dict(second_result.count_reasons())}\n'
            )


def _find_recovery(result: LoadResult) -> float:
    """Return the seconds from the end of the trigger until goodput recovered.

    That is the start of the first two consecutive steps whose mean goodput
    reaches the required share of the goodput before the trigger. The first
    second of the run does not count.

    :returns: :data:`POST_TRIGGER_S` if goodput did not recover.
    """
    reference = result.between(1.0, PRE_TRIGGER_S).success_count / (
        PRE_TRIGGER_S - 1.0
    )
    end = PRE_TRIGGER_S + TRIGGER_S
    steps = int(POST_TRIGGER_S / GOODPUT_STEP_S)
    goodputs = [
        result.between(
            end + step * GOODPUT_STEP_S, end + (step + 1) * GOODPUT_STEP_S
        ).success_count
        / GOODPUT_STEP_S
        for step in range(steps)
    ]
    for step in range(steps - 1):
        mean_goodput = (goodputs[step] + goodputs[step + 1]) / 2
        if mean_goodput >= reference * RECOVERED_GOODPUT_SHARE:
            return step * GOODPUT_STEP_S
    return POST_TRIGGER_S


def _measure(
    rig: Rig, bench_deployment: BenchDeployment, trigger: Trigger, seed: int
) -> Measures:
    started_before = rig.count_started_requests()
    retries_before = rig.count_retries()
    result = uvloop.run(_run_load(rig, bench_deployment, trigger, seed))
    if _DETAILS.value:
        _print_details(bench_deployment, result)
    capacity = bench_deployment.compute_capacity() * trigger.capacity_share
    started = rig.count_started_requests() - started_before
    retries = rig.count_retries() - retries_before
    return Measures(
        _compute_goodput_ratio(result, capacity),
        _find_recovery(result),
        _compute_top_importance_ratio(bench_deployment, result, capacity),
        max(
            0.0,
            1 - _count_useful_calls(bench_deployment, result) / max(1, started),
        ),
        retries / max(1, len(result.samples)),
    )


def _compute_goodput_ratio(result: LoadResult, capacity: float) -> float:
    """Return the ratio of successful to attainable requests.

    The first second and the last half second of the trigger are left out.
    Attainable are the requests sent, up to the capacity.
    """
    start_s = PRE_TRIGGER_S + 1.0
    end_s = PRE_TRIGGER_S + TRIGGER_S - 0.5
    during = result.between(start_s, end_s)
    attainable = min(capacity * (end_s - start_s), len(during.samples))
    return during.success_count / attainable


def _compute_top_importance_ratio(
    bench_deployment: BenchDeployment, result: LoadResult, capacity: float
) -> float:
    """Return the goodput ratio of the critical kind over the whole trigger."""
    top = next(
        kind.name
        for kind in bench_deployment.kinds
        if kind.importance == 'critical'
    )
    during = result.between(PRE_TRIGGER_S, PRE_TRIGGER_S + TRIGGER_S).select(
        top
    )
    return during.success_count / min(len(during.samples), capacity * TRIGGER_S)


def _count_useful_calls(
    bench_deployment: BenchDeployment, result: LoadResult
) -> int:
    """Count the calls that successful requests need, with nested calls."""
    children = {
        service.name: service.children for service in bench_deployment.services
    }

    def count_calls(service: str) -> int:
        return 1 + sum(
            count_calls(child.split('/')[1]) for child in children[service]
        )

    return sum(
        result.select(kind.name).success_count * count_calls(kind.service)
        for kind in bench_deployment.kinds
    )


def _run_once(
    bench_deployment: BenchDeployment,
    trigger: Trigger,
    seed: int,
    *,
    is_baseline: bool,
) -> Measures:
    rig = Rig(bench_deployment, is_baseline=is_baseline)
    try:
        rig.start()
        return _measure(rig, bench_deployment, trigger, seed)
    finally:
        rig.deployment.stop()


def run_overload(
    bench_deployment: BenchDeployment,
    trigger: Trigger,
    seed: int,
    *,
    with_baseline: bool = True,
) -> None:
    """Run one trigger on a deployment and print its figures."""
    measures = _run_once(bench_deployment, trigger, seed, is_baseline=False)
    baseline = None
    if with_baseline:
        baseline = _run_once(bench_deployment, trigger, seed, is_baseline=True)
    prefix = f'{trigger.name}.{bench_deployment.name}'
    if bench_deployment is BEDENREHBER:
        prefix = trigger.name
    targets = {
        'goodput_ratio': _TARGET_GOODPUT_RATIO,
        'recovery_s': _TARGET_RECOVERY_S,
        'top_importance_ratio': _TARGET_TOP_IMPORTANCE_RATIO,
    }
    for name, value in measures._asdict().items():
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
    """Return the overload benchmarks by name."""
    benches: dict[str, Callable[[int], None]] = {}
    for trigger in TRIGGERS:
        benches[trigger.name] = _create_bench(BEDENREHBER, trigger)
        benches[f'{trigger.name}_{RETTELSE.name}'] = _create_bench(
            RETTELSE, trigger
        )
    return benches


def _create_bench(
    bench_deployment: BenchDeployment, trigger: Trigger
) -> Callable[[int], None]:
    return lambda seed: run_overload(
        bench_deployment, trigger, seed, with_baseline=_WITH_BASELINE.value
    )
