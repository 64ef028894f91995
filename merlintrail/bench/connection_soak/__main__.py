"""Command line of the soak of connections."""

import signal
import sys
from collections.abc import Sequence
from typing import Any, Final

import orjson
from absl import app, flags

from merlintrail.bench.connection_soak import run_connection_soak

_SEED: Final = flags.DEFINE_integer('seed', 1, 'Seed of the first run.')
_SEEDS: Final = flags.DEFINE_integer(
    'seeds', 1, 'Number of consecutive seeds to run.'
)
_NODES: Final = flags.DEFINE_integer('nodes', 12, 'Nodes of the deployment.')
_DURATION: Final = flags.DEFINE_float('duration', 15.0, 'Seconds of changes.')
_CALLERS: Final = flags.DEFINE_list(
    'callers', [], 'Kinds of callers; all without.'
)
_KEEP: Final = flags.DEFINE_string(
    'keep', None, 'Folder that receives the logs of each seed with findings.'
)


def _exit_on_sigterm(*_: Any) -> None:
    """Raise ``SystemExit`` so that all processes of the run are stopped."""
    sys.exit(1)


def _run(_: Sequence[str]) -> int:
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    failed_seeds = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        result = run_connection_soak(
            seed, _NODES.value, _DURATION.value, _CALLERS.value, _KEEP.value
        )
        failed_seeds += bool(result.findings)
        sys.stdout.write(f'{orjson.dumps(result.summarise()).decode()}\n')
        sys.stdout.flush()
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    app.run(_run)
