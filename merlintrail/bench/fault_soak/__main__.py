"""Command line of the soak with fault injection."""

from collections.abc import Sequence
from typing import Final

from absl import app, flags

from merlintrail.bench._soak_seeds import run_seeds
from merlintrail.bench.fault_soak import run_soak

_SEED: Final = flags.DEFINE_integer('seed', 1, 'Seed of the first run.')
_SEEDS: Final = flags.DEFINE_integer(
    'seeds', 1, 'Number of consecutive seeds to run.'
)
_DURATION: Final = flags.DEFINE_float(
    'duration', 10.0, 'Seconds during which faults are injected.'
)
_KEEP: Final = flags.DEFINE_string(
    'keep', None, 'Folder that receives the logs of each seed with findings.'
)


def _run(_: Sequence[str]) -> int:
    return run_seeds(
        _SEED.value,
        _SEEDS.value,
        lambda seed: run_soak(seed, _DURATION.value, _KEEP.value),
    )


if __name__ == '__main__':
    app.run(_run)
