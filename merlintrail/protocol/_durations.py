"""Durations as settings and documents write them: a number and its unit."""

import re
from typing import Final

_DURATION: Final = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s)')
_SECONDS: Final = {'ms': 0.001, 's': 1.0}


def parse_duration(text: str) -> float | None:
    """Return the seconds that ``1500ms`` or ``2.5s`` stands for.

    :returns: ``None`` for another form.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        return None
    return float(match.group(1)) * _SECONDS[match.group(2)]
