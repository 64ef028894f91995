"""Figures as JSON lines."""

import json
import sys
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

#: Benches by name; each takes a seed.
Benches: TypeAlias = dict[str, Callable[[int], None]]


class Figure(NamedTuple):
    """One measured figure."""

    #: ``BENCH.NAME``.
    figure: str
    value: float | None
    unit: str
    #: The stated target, where there is one.
    target: float | None = None
    #: The same figure of what the product is compared with.
    baseline: float | None = None


def print_figure(figure: Figure) -> None:
    """Print a figure as one line."""
    rounded = figure._replace(
        value=_round(figure.value), baseline=_round(figure.baseline)
    )
    sys.stdout.write(f'{json.dumps(rounded._asdict())}\n')
    sys.stdout.flush()


def _round(number: float | None) -> float | None:
    return None if number is None else round(number, 4)
