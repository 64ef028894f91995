"""Reading of the settings file at the start of the process."""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import orjson

#: Seconds to wait for a settings file that is missing or incomplete, as it is
#: while it is being replaced.
SETTINGS_WAIT_S: Final = 5.0
#: Seconds between two reads of such a file.
_POLL_INTERVAL_S: Final = 0.05


def read_settings_file(
    path: str, wait_s: float, is_stopping: Callable[[], bool]
) -> str | None:
    """Read the settings file as soon as it is complete.

    What is wrong with the file is written to the standard error stream.

    :param wait_s: seconds to wait for that.
    :param is_stopping: returns whether to wait no longer.
    :returns: the last content, or ``None`` if the file cannot be read.
    """
    deadline = time.monotonic() + wait_s
    reported = ''
    while True:
        text, fault = _read_file(path)
        if fault and fault != reported:
            sys.stderr.write(f'{path}: {fault}\n')
            sys.stderr.flush()
            reported = fault
        is_over = time.monotonic() >= deadline or is_stopping()
        if not fault or is_over:
            return text
        time.sleep(_POLL_INTERVAL_S)


def _read_file(path: str) -> tuple[str | None, str]:
    """Return the content of a file, and why it is no JSON text."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return None, str(error)
    try:
        orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return text, f'not JSON: {error}'
    return text, ''
