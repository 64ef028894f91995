"""Descriptions of unexpected errors, for the log."""

import traceback
from typing import Final

#: Innermost calls of an error that are described.
MAX_FRAMES: Final = 4


def describe_error(error: BaseException) -> str:
    """Return an error with the innermost calls that it comes from."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    calls = ', '.join(
        f'{frame.name} ({frame.filename.rpartition("/")[2]}:{frame.lineno})'
        for frame in frames
    )
    return f'{error!r} in {calls}'
