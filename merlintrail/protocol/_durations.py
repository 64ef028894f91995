"""Durations as text."""

import functools
import re
from typing import Final

#: Texts whose duration is remembered; the same few come again and again.
_MAX_REMEMBERED: Final = 256
_PART: Final = re.compile(
    '([0-9]+(?:[.][0-9]*)?|[.][0-9]+)(ns|us|µs|μs|ms|s|m|h)'
)
_DURATION: Final = re.compile(f'(?:{_PART.pattern})+')
_SECONDS_PER_UNIT: Final = {
    'ns': 1e-9,
    'us': 1e-6,
    # Both signs of micro.
    'µs': 1e-6,
    'μs': 1e-6,
    'ms': 0.001,
    's': 1.0,
    'm': 60.0,
    'h': 3600.0,
}


@functools.lru_cache(maxsize=_MAX_REMEMBERED)
def parse_duration(text: str) -> float | None:
    """Convert a duration such as ``1500ms``, ``2.5s`` or ``1m30s`` to seconds.

    :returns: ``None`` for text of another form.
    """
    if _DURATION.fullmatch(text) is None:
        return None
    return sum(
        float(number) * _SECONDS_PER_UNIT[unit]
        for number, unit in _PART.findall(text)
    )
