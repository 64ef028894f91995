"""Log lines as JSON, one object a line."""

import sys
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final, TextIO

import logbook
import orjson

from merlintrail.observability._deferred import defer
from merlintrail.observability._writer import LineWriter


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each record as one JSON object."""

    def __init__(
        self, stream: TextIO, level: str = 'INFO', node: str | None = None
    ) -> None:
        super().__init__(level=logbook.lookup_level(level), bubble=False)
        #: Members of each line that say which node wrote it.
        self._origin = {} if node is None else {'node': node}
        self._writer = LineWriter(stream, origin=self._origin)

    def emit(self, record: Any) -> None:
        """Write one record; a failure of this process is flushed at once."""
        line = orjson.dumps(
            {
                'time': record.time.isoformat(timespec='milliseconds'),
                **self._origin,
                'level': record.level_name.lower(),
                'channel': record.channel,
                'event': record.msg,
                **record.extra,
            },
            default=str,
        )
        is_failure = record.level >= logbook.ERROR
        self._writer.write(line, is_urgent=True)
        if is_failure:
            self.flush()

    def write_decision(
        self, decided_at: float, event: str, fields: Mapping[str, object]
    ) -> None:
        """Write a decision, within the bound on lines a second.

        :param decided_at: Unix time of the decision in seconds.
        """
        moment = datetime.fromtimestamp(decided_at, UTC).replace(tzinfo=None)
        line = orjson.dumps(
            {
                'time': moment.isoformat(timespec='milliseconds'),
                **self._origin,
                'level': 'info',
                'channel': 'decision',
                'event': event,
                **fields,
            },
            default=str,
        )
        self._writer.write(line)

    def flush(self) -> None:
        """Write what is gathered."""
        self._writer.flush()


class _Decisions:
    """Where decisions are written: one log of the process, or by logbook."""

    def __init__(self) -> None:
        self.log: JsonLinesHandler | None = None


_DECISIONS: Final = _Decisions()


def open_log(
    path: str | None, level: str, node: str | None = None
) -> JsonLinesHandler:
    """Open the log of this process.

    Decisions are many: they go to the log directly, without a record of
    logbook for each.

    :param path: a file to append to, or ``None`` for standard output.
    :param node: name of the instance, told in each line.
    :raises OSError: when the file cannot be opened.
    """
    stream = sys.stdout
    if path is not None:
        stream = Path(path).open('a', encoding='utf-8')
    log = JsonLinesHandler(stream, level, node)
    if logbook.lookup_level(level) <= logbook.INFO:
        _DECISIONS.log = log
    return log


def create_logger(channel: str) -> Any:
    """Create the logger of one part of the program."""
    return logbook.Logger(channel)


_LOGGER: Final = create_logger('decision')


def log_decision(event: str, **fields: object) -> None:
    """Log a routing, placement, admission or refusal decision.

    The line is written after what the current task sends next, so that it
    does not delay a call. Fields that are ``None`` are left out.
    """
    known = {
        name: member for name, member in fields.items() if member is not None
    }
    defer(_write_decision, time.time(), event, known)


def _write_decision(
    decided_at: float, event: str, fields: Mapping[str, object]
) -> None:
    if _DECISIONS.log is None:
        _LOGGER.info(event, extra=fields)
        return
    _DECISIONS.log.write_decision(decided_at, event, fields)
