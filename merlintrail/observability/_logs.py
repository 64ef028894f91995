"""Structured logs: one JSON object per line."""

import sys
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final, TextIO

import logbook

from merlintrail.observability._deferred import defer
from merlintrail.observability._line import encode_line
from merlintrail.observability._writer import LineWriter


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Logbook handler that writes each record as one JSON object."""

    def __init__(
        self, stream: TextIO, level: str = 'INFO', node: str | None = None
    ) -> None:
        super().__init__(level=logbook.lookup_level(level), bubble=False)
        #: Fields added to each line to identify the node that wrote it.
        self._origin_fields = {} if node is None else {'node': node}
        self._writer = LineWriter(stream, origin_fields=self._origin_fields)

    def emit(self, record: Any) -> None:
        """Write one record, exempt from the rate limit.

        Records of level ERROR and above are flushed at once.
        """
        line = encode_line(
            {
                'time': record.time.isoformat(timespec='milliseconds'),
                **self._origin_fields,
                'level': record.level_name.lower(),
                'channel': record.channel,
                'event': record.msg,
                **record.extra,
            }
        )
        is_error = record.level >= logbook.ERROR
        self._writer.write(line, is_rate_exempt=True)
        if is_error:
            self.flush()

    def write_decision(
        self, decided_at: float, event: str, fields: Mapping[str, object]
    ) -> None:
        """Write a decision; it is dropped beyond the rate limit.

        :param decided_at: Unix time of the decision in seconds.
        """
        timestamp = datetime.fromtimestamp(decided_at, UTC).replace(tzinfo=None)
        line = encode_line(
            {
                'time': timestamp.isoformat(timespec='milliseconds'),
                **self._origin_fields,
                'level': 'info',
                'channel': 'decision',
                'event': event,
                **fields,
            }
        )
        self._writer.write(line)

    def flush(self) -> None:
        """Write the buffered lines, as far as the stream accepts them."""
        self._writer.flush()


class _DecisionLog:
    """Holds the log of this process that decisions are written to."""

    def __init__(self) -> None:
        #: ``None`` sends decisions through logbook.
        self.log: JsonLinesHandler | None = None


_DECISION_LOG: Final = _DecisionLog()


def open_log(
    path: str | None, level: str, node: str | None = None
) -> JsonLinesHandler:
    """Open the log of this process.

    At level INFO or lower, decisions are written to the returned handler
    directly: they are so frequent that a logbook record for each is too
    expensive.

    :param path: file to append to, or ``None`` for standard output.
    :param node: name of the instance, written in each line.
    :raises OSError: when the file cannot be opened.
    """
    stream = sys.stdout
    if path is not None:
        stream = Path(path).open('a', encoding='utf-8')
    log = JsonLinesHandler(stream, level, node)
    if logbook.lookup_level(level) <= logbook.INFO:
        _DECISION_LOG.log = log
    return log


def create_logger(channel: str) -> Any:
    """Create the logger of one component, named in the ``channel`` field."""
    return logbook.Logger(channel)


_LOGGER: Final = create_logger('decision')


def log_decision(event: str, **fields: object) -> None:
    """Log a decision of the node, such as a routing or a refusal.

    The line is formatted and written later, so that logging does not delay
    the call; its time is that of this function call. Fields that are
    ``None`` are omitted.
    """
    present = {
        name: field for name, field in fields.items() if field is not None
    }
    defer(_write_decision, time.time(), event, present)


def _write_decision(
    decided_at: float, event: str, fields: Mapping[str, object]
) -> None:
    if _DECISION_LOG.log is None:
        _LOGGER.info(event, extra=fields)
        return
    _DECISION_LOG.log.write_decision(decided_at, event, fields)
