"""Example deployment on one machine, started by ``make run``.

It starts a fake store, fake backend servers of two services, one of which
makes nested calls to the other, and their nodes; then it sends requests and
prints a summary.
"""

import json
import random
import sys
from collections.abc import Sequence
from typing import Final

import uvloop
from absl import app, flags

from merlintrail.lab.example import build_document, build_plans
from merlintrail.lab.processes import (
    OPERATOR_KEY,
    Deployment,
)
from merlintrail.load import LoadGenerator, LoadKind, LoadResult

_DURATION: Final = flags.DEFINE_float(
    'duration', 0.0, 'Seconds to run; 0 runs until interrupted.'
)
#: Seconds covered by each line of the live summary.
SUMMARY_INTERVAL_S: Final = 2.0
_FOREVER_S: Final = 86400.0

_LOAD_KINDS: Final = (
    LoadKind('advice', '/fitadvisor/advice', 60, 800),
    LoadKind('sync', '/chartdesk/sync', 20, 2000),
    LoadKind('credit', '/fitadvisor/credits', 5, 2000, is_keyed=True),
)


def _has_only_explained_failures(result: LoadResult) -> bool:
    """Return whether every request succeeded or has an explained failure.

    A failure is explained by an outcome of the protocol together with a
    reason.
    """
    explained_outcomes = {'completed', 'not-run', 'may-have-run'}
    return all(
        sample.is_success
        or (sample.outcome in explained_outcomes and sample.reason)
        for sample in result.samples
    )


async def _send_load(
    call_addresses: Sequence[str], duration_s: float
) -> LoadResult:
    generator = LoadGenerator(call_addresses, random.Random(1))
    if duration_s > 0:
        return await generator.run(_LOAD_KINDS, duration_s)
    intervals: list[LoadResult] = []
    while True:
        generator = LoadGenerator(call_addresses, random.Random(len(intervals)))
        intervals.append(await generator.run(_LOAD_KINDS, SUMMARY_INTERVAL_S))
        sys.stderr.write(f'{json.dumps(intervals[-1].summarise())}\n')


def _start_deployment(deployment: Deployment) -> None:
    deployment.start_store()
    deployment.start_workers(build_plans())
    deployment.wait_until_listening()
    generation = deployment.apply_configuration(build_document())
    deployment.wait_until_ready(generation)


def _run(_: Sequence[str]) -> int:
    deployment = Deployment()
    try:
        _start_deployment(deployment)
        workers = list(deployment.workers.values())
        sys.stderr.write(
            f'console: http://{workers[0].admin_address}/ '
            f'(operator key: {OPERATOR_KEY})\n'
            f'call address: http://{workers[0].call_address}/\n'
            f'logs: {deployment.folder}\n'
        )
        call_addresses = [worker.call_address for worker in workers]
        result = uvloop.run(_send_load(call_addresses, _DURATION.value))
    except KeyboardInterrupt:
        return 0
    finally:
        deployment.stop()
    sys.stdout.write(f'{json.dumps(result.summarise())}\n')
    return 0 if _has_only_explained_failures(result) else 1


if __name__ == '__main__':
    app.run(_run)
