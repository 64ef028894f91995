"""Parsing of durations in settings and documents: a number and its unit."""

import re
from typing import Final

_DURATION_PATTERN: Final = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s)')
_SECONDS_PER_UNIT: Final = {'ms': 0.001, 's': 1.0}


def parse_duration(text: str) -> float | None:
    """Convert a duration such as ``1500ms`` or ``2.5s`` to seconds.

    :returns: ``None`` for text of another form.
    """
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        return None
    return float(match.group(1)) * _SECONDS_PER_UNIT[match.group(2)]
