"""A soak with faults: ``python -m merlintrail.bench.fault_soak``."""

import signal
import sys
from collections.abc import Sequence
from typing import Any, Final

import orjson
from absl import app, flags

from merlintrail.bench._fault_soak import run_soak

_SEED: Final = flags.DEFINE_integer('seed', 1, 'First seed.')
_SEEDS: Final = flags.DEFINE_integer('seeds', 1, 'Number of seeds.')
_DURATION: Final = flags.DEFINE_float('duration', 10.0, 'Seconds of faults.')
_KEEP: Final = flags.DEFINE_string(
    'keep', None, 'Folder to which the logs of a seed with findings go.'
)


def _end(*_: Any) -> None:
    """End at SIGTERM as at the end of a run, with every process."""
    sys.exit(1)


def _run(_: Sequence[str]) -> int:
    signal.signal(signal.SIGTERM, _end)
    failed = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        found = run_soak(seed, _DURATION.value, _KEEP.value)
        failed += bool(found.findings)
        sys.stdout.write(f'{orjson.dumps(found.summarise()).decode()}\n')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    app.run(_run)
