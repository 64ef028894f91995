"""Benchmarks of many nodes: membership, configuration and store load."""

import signal
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from merlintrail.bench._figures import Benches, Figure, print_figure
from merlintrail.bench._latency import (
    build_document,
    build_fleet_plans,
    start_deployment,
)
from merlintrail.lab.processes import Deployment

#: Number of nodes in the smaller and the larger deployment.
SMALL_FLEET_SIZE: Final = 24
LARGE_FLEET_SIZE: Final = 200
DATA_CENTRE_COUNT: Final = 6
#: Number of nodes at full size, to which figures are extrapolated.
FULL_FLEET_SIZE: Final = 1800
#: Number of data centres at full size.
FULL_DATA_CENTRE_COUNT: Final = 14
#: Seconds over which store load is measured while the store is up.
STEADY_MEASUREMENT_S: Final = 10.0
#: Seconds between two polls of the nodes.
POLL_INTERVAL_S: Final = 0.05
#: Number of configuration changes to apply.
CHANGE_COUNT: Final = 10
_WAIT_TIMEOUT_S: Final = 30.0


def _start_fleet(size: int) -> Deployment:
    deployment = start_deployment(
        build_fleet_plans(size, DATA_CENTRE_COUNT), DATA_CENTRE_COUNT
    )
    time.sleep(5)
    return deployment


def _wait_until(condition: Callable[[], bool]) -> float:
    """Return the seconds until a condition holds, at most the timeout."""
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > _WAIT_TIMEOUT_S:
            return _WAIT_TIMEOUT_S
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


def _sample_instances(
    deployment: Deployment, *, without: str = ''
) -> list[str]:
    """Return evenly spaced instances: all of up to 23, at most 18 of more."""
    names = [name for name in deployment.workers if name != without]
    return names[:: max(1, len(names) // 12)]


def _all_report_status(deployment: Deployment, name: str, status: str) -> bool:
    for instance in _sample_instances(deployment, without=name):
        members = deployment.request_admin_api(
            'GET', '/v1/members', instance=instance
        )
        reported = [
            member['status'] for member in members if member['node_id'] == name
        ]
        if reported != [status]:
            return False
    return True


def bench_membership(_: int) -> None:
    """Measure how fast the failure and the start of a node are detected."""
    deployment = _start_fleet(SMALL_FLEET_SIZE)
    try:
        victim = 'node-9'
        deployment.send_signal(f'node {victim}', signal.SIGKILL)
        detection_s = _wait_until(
            lambda: not _any_reports_alive(deployment, victim)
        )
        deployment.wait_for_exit(f'node {victim}')
        time.sleep(3)
        deployment.start_node(victim)
        process_start_s = _wait_until(
            lambda: _is_admin_api_up(deployment, victim)
        )
        propagation_s = _wait_until(
            lambda: _all_report_status(deployment, victim, 'alive')
        )
    finally:
        deployment.stop()
    print_figure(Figure('membership.left_s', detection_s, 's', 5))
    print_figure(Figure('membership.known_s', propagation_s, 's', 2))
    print_figure(Figure('membership.process_start_s', process_start_s, 's'))


def _any_reports_alive(deployment: Deployment, name: str) -> bool:
    for instance in _sample_instances(deployment, without=name):
        members = deployment.request_admin_api(
            'GET', '/v1/members', instance=instance
        )
        for member in members:
            if member['node_id'] == name and member['status'] == 'alive':
                return True
    return False


def _is_admin_api_up(deployment: Deployment, name: str) -> bool:
    try:
        deployment.request_admin_api('GET', '/v1/status', instance=name)
    except Exception:
        return False
    return True


def _is_in_force_everywhere(deployment: Deployment, generation: int) -> bool:
    fleet = deployment.request_admin_api('GET', '/v1/fleet')
    return all(status.get('generation', 0) >= generation for status in fleet)


def _apply_changes(deployment: Deployment) -> list[float]:
    """Apply changes one by one.

    :returns: seconds until each was in force on every node.
    """
    durations_s = []
    for number in range(CHANGE_COUNT):
        document = build_document(DATA_CENTRE_COUNT)
        document['retry_budget'] = {'share': 0.01 * (number + 1)}
        durations_s.append(_time_change(deployment, document))
    return durations_s


def _time_change(deployment: Deployment, document: Mapping[str, Any]) -> float:
    started_at = time.monotonic()
    generation = deployment.apply_configuration(document)
    _wait_until(lambda: _is_in_force_everywhere(deployment, generation))
    return time.monotonic() - started_at


def bench_configuration(_: int) -> None:
    """Measure the time until changes are in force everywhere, at two sizes."""
    for size in (SMALL_FLEET_SIZE, LARGE_FLEET_SIZE):
        deployment = _start_fleet(size)
        try:
            durations_s = _apply_changes(deployment)
            burst_s = _apply_burst(deployment)
        finally:
            deployment.stop()
        name = f'configuration.in_force_{size}'
        print_figure(Figure(f'{name}_max_s', max(durations_s), 's', 4))
        print_figure(Figure(f'{name}_burst_s', burst_s, 's', 4))


def _apply_burst(deployment: Deployment) -> float:
    """Apply changes without a pause.

    :returns: seconds from the answer to the last one until it was in force on
        every node.
    """
    generation = 0
    for number in range(CHANGE_COUNT):
        document = build_document(DATA_CENTRE_COUNT)
        document['retry_budget'] = {'share': 0.02 * (number + 1)}
        generation = deployment.apply_configuration(document)
    return _wait_until(lambda: _is_in_force_everywhere(deployment, generation))


def _measure_store_rates(
    deployment: Deployment, duration_s: float
) -> Mapping[str, float]:
    """Return the rate of calls to the store by kind, in calls per second."""
    before = deployment.read_store_counts()
    time.sleep(duration_s)
    after = deployment.read_store_counts()
    return {
        kind: (count - before.get(kind, 0)) / duration_s
        for kind, count in after.items()
    }


def bench_store_load(_: int) -> None:
    """Measure the load of the store at three sizes.

    It is measured while the store is up and in the 5 s after an outage.
    """
    for size in (SMALL_FLEET_SIZE, 60, LARGE_FLEET_SIZE):
        deployment = _start_fleet(size)
        try:
            time.sleep(20)
            steady = _measure_store_rates(deployment, STEADY_MEASUREMENT_S)
            deployment.set_store_faults({'is_down': True})
            time.sleep(10)
            deployment.set_store_faults({})
            recovering = _measure_store_rates(deployment, 5)
        finally:
            deployment.stop()
        _print_store_load(size, steady, recovering)


def _print_store_load(
    size: int, steady: Mapping[str, float], recovering: Mapping[str, float]
) -> None:
    for name, rates in (('calm', steady), ('back', recovering)):
        writes = rates.get('write', 0) + rates.get('leases', 0)
        reads = rates.get('read', 0) + rates.get('watch', 0)
        prefix = f'store_load.{name}_{size}'
        print_figure(Figure(f'{prefix}_writes_per_s', writes, '1/s', 100))
        print_figure(Figure(f'{prefix}_reads_per_s', reads, '1/s', 500))


def list_benches() -> Benches:
    """Return the benchmarks of many nodes by name."""
    return {
        'membership': bench_membership,
        'configuration': bench_configuration,
        'store_load': bench_store_load,
    }
