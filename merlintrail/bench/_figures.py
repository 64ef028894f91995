"""Measured figures and their output as JSON lines."""

import json
import sys
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

#: Benchmarks by name; each takes the seed of its load.
Benches: TypeAlias = dict[str, Callable[[int], None]]


class Figure(NamedTuple):
    """A measured figure, printed under the names of its fields."""

    #: Name of the figure, ``BENCH.NAME``.
    figure: str
    #: ``None`` if the measurement did not end in time.
    value: float | None
    unit: str
    #: Target of the project, if there is one.
    target: float | None = None
    #: Value to compare the figure with, such as that of direct calls, if
    #: there is one.
    baseline: float | None = None


def print_figure(figure: Figure) -> None:
    """Print a figure as one line of JSON, rounded to four decimals."""
    rounded = figure._replace(
        value=_round(figure.value), baseline=_round(figure.baseline)
    )
    sys.stdout.write(f'{json.dumps(rounded._asdict())}\n')
    sys.stdout.flush()


def _round(number: float | None) -> float | None:
    return None if number is None else round(number, 4)
