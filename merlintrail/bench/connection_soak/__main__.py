"""Command line of the soak of connections."""

from collections.abc import Sequence
from typing import Final

from absl import app, flags

from merlintrail.bench._soak_seeds import run_seeds
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


def _run(_: Sequence[str]) -> int:
    return run_seeds(
        _SEED.value,
        _SEEDS.value,
        lambda seed: run_connection_soak(
            seed, _NODES.value, _DURATION.value, _CALLERS.value, _KEEP.value
        ),
    )


if __name__ == '__main__':
    app.run(_run)
