"""Benchmarks for docs/CAPACITY.md.

They measure how the cost of a node grows with the number of nodes, its tables
at full size and the loss of a data centre.
"""

import random
import signal
import time
import tracemalloc
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.bench._figures import Benches, Figure, print_figure
from merlintrail.bench._latency import (
    build_fleet_plans,
    measure_idle_cost,
    print_idle_cost,
    start_deployment,
)
from merlintrail.coordination import choose_neighbours
from merlintrail.lab.processes import Deployment
from merlintrail.protocol import encode_json
from merlintrail.state import (
    Choice,
    Member,
    MemberStatus,
    MemberTable,
    NodeLocation,
    RoutingRequest,
    RoutingTable,
    ServiceOffer,
)

#: Numbers of nodes at which the growth of the idle cost is measured.
FLEET_SIZES: Final = (24, 60, 120)
#: Number of nodes expected within two years.
FULL_FLEET_SIZE: Final = 1800
DATA_CENTRE_COUNT: Final = 14
SERVICE_COUNT: Final = 49
REGION_COUNT: Final = 6
#: Minimum seconds over which traffic is measured after a data centre is lost.
LOSS_WINDOW_S: Final = 6.0
_CHOICE_COUNT: Final = 2000
_MS_PER_S: Final = 1000
_BYTES_PER_MB: Final = 1e6
_BYTES_PER_KB: Final = 1e3


def bench_slopes(_: int) -> None:
    """Measure the idle cost of a node at each number of nodes."""
    for size in FLEET_SIZES:
        print_idle_cost(f'slopes.nodes_{size}', measure_idle_cost(size))


def build_members(count: int) -> list[Member]:
    """Build members like those of a deployment at full size."""
    return [
        Member(
            f'instance-{number:04d}',
            1800000000000 + number,
            7,
            MemberStatus.ALIVE,
            f'data-centre-{number % DATA_CENTRE_COUNT}',
            f'10.{number % 14}.{number // 256}.{number % 256}:7300',
            f'10.{number % 14}.{number // 256}.{number % 256}:7301',
            (
                ServiceOffer(
                    f'service-{number // DATA_CENTRE_COUNT % SERVICE_COUNT}',
                    140,
                ),
            ),
        )
        for number in range(count)
    ]


def bench_tables(_: int) -> None:
    """Measure memory and processor time of a node's tables at full size."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    members = build_members(FULL_FLEET_SIZE)
    table = MemberTable(time.monotonic)
    routing = _create_routing(table)
    table.merge(members)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print_figure(
        Figure('tables.memory_mb', (after - before) / _BYTES_PER_MB, 'MB')
    )
    join_kb = len(encode_json(members)) / _BYTES_PER_KB
    print_figure(Figure('tables.join_kb', join_kb, 'kB'))
    _measure_tables(members, routing)


def _measure_tables(members: list[Member], routing: RoutingTable) -> None:
    other = MemberTable(time.monotonic)
    merge_s = _measure_cpu_s(lambda: other.merge(members))
    print_figure(
        Figure('tables.merge_us', merge_s / FULL_FLEET_SIZE * 1e6, 'us')
    )
    neighbours_s = _measure_cpu_s(
        lambda: choose_neighbours(members[0], members)
    )
    print_figure(Figure('tables.neighbours_ms', neighbours_s * _MS_PER_S, 'ms'))
    choice_s = (
        _measure_cpu_s(lambda: _choose_repeatedly(routing)) / _CHOICE_COUNT
    )
    print_figure(Figure('tables.choice_us', choice_s * 1e6, 'us'))


def _measure_cpu_s(work: Callable[[], object]) -> float:
    """Return the processor time that a function takes, in seconds."""
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def _choose_repeatedly(routing: RoutingTable) -> None:
    for number in range(_CHOICE_COUNT):
        choice = routing.choose(
            RoutingRequest(f'service-{number % SERVICE_COUNT}', 64, 5), ()
        )
        assert isinstance(choice, Choice)


def _create_routing(table: MemberTable) -> RoutingTable:
    location = NodeLocation('instance-0000', 'data-centre-0')
    routing = RoutingTable(location, time.monotonic, random.Random(1))
    routing.update_regions(
        {
            f'data-centre-{number}': f'region-{number % REGION_COUNT}'
            for number in range(DATA_CENTRE_COUNT)
        }
    )
    table.add_listener(routing.update_member)
    return routing


class DataCentreLoss(NamedTuple):
    """Time to detect the loss of a data centre, and the traffic meanwhile."""

    detection_s: float
    #: Control traffic of each remaining node.
    control_bytes_per_s: list[float]


def bench_data_centre_loss(_: int) -> None:
    """Kill all nodes of a data centre at once, in a deployment of 120 nodes."""
    deployment = start_deployment(build_fleet_plans(FLEET_SIZES[-1], 6), 6)
    try:
        time.sleep(10)
        loss = _kill_data_centre(deployment)
    finally:
        deployment.stop()
    prefix = 'data_centre_loss'
    mean = sum(loss.control_bytes_per_s) / len(loss.control_bytes_per_s)
    highest = max(loss.control_bytes_per_s)
    print_figure(Figure(f'{prefix}.left_s', loss.detection_s, 's', 5))
    print_figure(Figure(f'{prefix}.bytes_per_s', mean, 'B/s', 10000))
    print_figure(Figure(f'{prefix}.highest_bytes_per_s', highest, 'B/s', 10000))


def _kill_data_centre(deployment: Deployment) -> DataCentreLoss:
    killed = {
        name
        for name, worker in deployment.workers.items()
        if worker.data_centre == 'dc-5'
    }
    before = _read_control_bytes(deployment)
    started_at = time.monotonic()
    for victim in killed:
        deployment.send_signal(f'node {victim}', signal.SIGKILL)
    detection_s = _wait_until_detected(deployment, killed)
    time.sleep(max(0.0, LOSS_WINDOW_S - (time.monotonic() - started_at)))
    after = _read_control_bytes(deployment)
    elapsed_s = time.monotonic() - started_at
    return DataCentreLoss(
        detection_s,
        [
            (total - before[instance]) / elapsed_s
            for instance, total in after.items()
            if instance in before
        ],
    )


def _read_control_bytes(deployment: Deployment) -> dict[str, int]:
    fleet = deployment.request_admin_api('GET', '/v1/fleet')
    return {
        status['instance']: sum(status['control_bytes'].values())
        for status in fleet
        if 'control_bytes' in status
    }


def _wait_until_detected(deployment: Deployment, killed: set[str]) -> float:
    """Return the seconds until no sampled node reports a killed one as alive.

    It gives up after 20 s.
    """
    started_at = time.monotonic()
    sampled = [name for name in deployment.workers if name not in killed][::9]
    while time.monotonic() - started_at < 20:
        if not any(
            _reports_any_alive(deployment, name, killed) for name in sampled
        ):
            break
        time.sleep(0.05)
    return time.monotonic() - started_at


def _reports_any_alive(
    deployment: Deployment, name: str, killed: set[str]
) -> bool:
    members = deployment.request_admin_api('GET', '/v1/members', instance=name)
    return any(
        member['node_id'] in killed and member['status'] == 'alive'
        for member in members
    )


def list_benches() -> Benches:
    """Return the capacity benchmarks by name."""
    return {
        'slopes': bench_slopes,
        'tables': bench_tables,
        'data_centre_loss': bench_data_centre_loss,
    }
