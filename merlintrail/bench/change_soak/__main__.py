"""Command line of the soak of route changes."""

from collections.abc import Sequence
from typing import Final

from absl import app, flags

from merlintrail.bench._soak_seeds import run_seeds
from merlintrail.bench.change_soak import run_change_soak

_SEED: Final = flags.DEFINE_integer('seed', 1, 'Seed of the first run.')
_SEEDS: Final = flags.DEFINE_integer(
    'seeds', 1, 'Number of consecutive seeds to run.'
)
_NODES: Final = flags.DEFINE_integer('nodes', 24, 'Nodes of the deployment.')
_DURATION: Final = flags.DEFINE_float(
    'duration', 15.0, 'Seconds of faults and changes.'
)
_KEEP: Final = flags.DEFINE_string(
    'keep', None, 'Folder that receives the logs of each seed with findings.'
)


def _run(_: Sequence[str]) -> int:
    return run_seeds(
        _SEED.value,
        _SEEDS.value,
        lambda seed: run_change_soak(
            seed, _NODES.value, _DURATION.value, _KEEP.value
        ),
    )


if __name__ == '__main__':
    app.run(_run)
