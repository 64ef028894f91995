"""Log lines as JSON, one object a line."""

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, TextIO

import logbook
import orjson

from merlintrail.observability._deferred import defer

#: Bytes that are gathered before a log file is written.
BUFFER_BYTES: Final = 65536


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each record as one JSON object."""

    def __init__(self, stream: TextIO, level: str = 'INFO') -> None:
        super().__init__(level=logbook.lookup_level(level), bubble=False)
        self._stream = stream

    def emit(self, record: Any) -> None:
        """Write one record; a failure of this process is flushed at once."""
        line = orjson.dumps(
            {
                'time': record.time.isoformat(timespec='milliseconds'),
                'level': record.level_name.lower(),
                'channel': record.channel,
                'event': record.msg,
                **record.extra,
            },
            default=str,
        )
        self._stream.write(f'{line.decode()}\n')
        if record.level >= logbook.ERROR:
            self._stream.flush()

    def flush(self) -> None:
        """Write what is gathered."""
        self._stream.flush()


def open_log(path: str | None, level: str) -> JsonLinesHandler:
    """Open the log.

    :param path: a file to append to, or ``None`` for standard output.
    :raises OSError: when the file cannot be opened.
    """
    if path is None:
        return JsonLinesHandler(sys.stdout, level)
    stream = Path(path).open('a', encoding='utf-8', buffering=BUFFER_BYTES)
    return JsonLinesHandler(stream, level)


def create_logger(channel: str) -> Any:
    """Create the logger of one part of the program."""
    return logbook.Logger(channel)


_DECISIONS: Final = create_logger('decision')


def log_decision(event: str, **fields: object) -> None:
    """Log a routing, placement, admission or refusal decision.

    The line is written after what the current task sends next, so that it
    does not delay a call.
    """
    defer(_write_decision, event, fields)


def _write_decision(event: str, fields: Mapping[str, object]) -> None:
    _DECISIONS.info(event, extra=fields)
