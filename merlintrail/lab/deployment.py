"""A small deployment to look at: ``make run``.

It starts the store stand-in, backend servers of two chained services and
their nodes, sends requests, and prints a summary.
"""

import json
import random
import sys
from collections.abc import Sequence
from typing import Final

import uvloop
from absl import app, flags

from merlintrail.load import LoadGenerator, LoadKind, LoadResult
from merlintrail.lab.example import build_document, build_plans
from merlintrail.lab.processes import (
    OPERATOR_KEY,
    Deployment,
)

_DURATION: Final = flags.DEFINE_float(
    'duration', 0.0, 'Seconds to run; 0 runs until interrupted.'
)
#: Seconds between lines of the live summary.
SUMMARY_INTERVAL_S: Final = 2.0
_FOREVER_S: Final = 86400.0

_KINDS: Final = (
    LoadKind('advice', '/fitadvisor/advice', 60, 800),
    LoadKind('sync', '/chartdesk/sync', 20, 2000),
    LoadKind('credit', '/fitadvisor/credits', 5, 2000, is_keyed=True),
)


def _has_only_honest_answers(result: LoadResult) -> bool:
    """Tell whether every request was answered or honestly refused."""
    honest = {'completed', 'not-run', 'may-have-run'}
    return all(
        sample.is_success or (sample.outcome in honest and sample.reason)
        for sample in result.samples
    )


async def _send_load(entries: Sequence[str], duration_s: float) -> LoadResult:
    generator = LoadGenerator(entries, random.Random(1))
    if duration_s > 0:
        return await generator.run(_KINDS, duration_s)
    rounds: list[LoadResult] = []
    while True:
        generator = LoadGenerator(entries, random.Random(len(rounds)))
        rounds.append(await generator.run(_KINDS, SUMMARY_INTERVAL_S))
        sys.stderr.write(f'{json.dumps(rounds[-1].summarise())}\n')


def _start(deployment: Deployment) -> None:
    deployment.start_store()
    deployment.start_workers(build_plans())
    deployment.wait_until_listening()
    generation = deployment.apply_configuration(build_document())
    deployment.wait_until_ready(generation)


def _run(_: Sequence[str]) -> int:
    deployment = Deployment()
    try:
        _start(deployment)
        workers = list(deployment.workers.values())
        sys.stderr.write(
            f'console: http://{workers[0].admin_address}/ '
            f'(operator key: {OPERATOR_KEY})\n'
            f'call address: http://{workers[0].call_address}/\n'
            f'logs: {deployment.folder}\n'
        )
        entries = [worker.call_address for worker in workers]
        result = uvloop.run(_send_load(entries, _DURATION.value))
    except KeyboardInterrupt:
        return 0
    finally:
        deployment.stop()
    sys.stdout.write(f'{json.dumps(result.summarise())}\n')
    return 0 if _has_only_honest_answers(result) else 1


if __name__ == '__main__':
    app.run(_run)
