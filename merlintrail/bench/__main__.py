"""Runs benchmarks: ``python -m merlintrail.bench --name=NAME``."""

import sys
from collections.abc import Sequence
from typing import Final

from absl import app, flags

from merlintrail.bench import (
    _capacity,
    _change_latency,
    _fleet,
    _latency,
    _libraries,
    _outcomes,
    _overload,
)
from merlintrail.bench._figures import Benches

_NAME: Final = flags.DEFINE_string('name', 'all', 'Benchmark to run, or all.')
_SEED: Final = flags.DEFINE_integer(
    'seed', 1, 'Seed of the load; only overload benchmarks use it.'
)

_BENCHES: Final[Benches] = {
    **_latency.list_benches(),
    **_libraries.list_benches(),
    **_fleet.list_benches(),
    **_capacity.list_benches(),
    **_change_latency.list_benches(),
    **_outcomes.list_benches(),
    **_overload.list_benches(),
}


def _run(_: Sequence[str]) -> int:
    names = list(_BENCHES) if _NAME.value == 'all' else [_NAME.value]
    for name in names:
        if name not in _BENCHES:
            available = ', '.join(sorted(_BENCHES))
            sys.stderr.write(f'no benchmark {name!r}; available: {available}\n')
            return 2
        _BENCHES[name](_SEED.value)
    return 0


if __name__ == '__main__':
    app.run(_run)
