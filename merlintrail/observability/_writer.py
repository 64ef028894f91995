"""Rate-limited log output that does not wait for a slow reader."""

import os
import stat
import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Final, TextIO

import orjson

#: Rate-limited lines written per second; further ones are dropped and counted.
MAX_LINES_PER_S: Final = 2000
#: Bytes buffered for a slow reader; further lines are dropped and counted.
MAX_PENDING_BYTES: Final = 1048576
#: Buffered bytes at which the buffer is written out.
FLUSH_THRESHOLD_BYTES: Final = 65536


class LineWriter:
    """Buffers log lines and writes them without blocking on a full pipe.

    Lines for a full pipe are buffered up to :data:`MAX_PENDING_BYTES`. Lines
    beyond that or beyond the rate limit are dropped and counted. The count is
    written in a ``lines left out`` line by the next flush that finds fewer
    than :data:`FLUSH_THRESHOLD_BYTES` buffered.
    """

    def __init__(
        self,
        stream: TextIO,
        clock: Callable[[], float] = time.monotonic,
        origin_fields: Mapping[str, str] | None = None,
    ) -> None:
        self._stream = stream
        self._clock = clock
        #: Fields that identify the node in lines that the writer adds itself.
        self._origin_fields = origin_fields or {}
        self._pending_lines: list[bytes] = []
        self._pending_bytes = 0
        self._current_second = 0
        self._lines_this_second = 0
        #: Lines dropped since the last ``lines left out`` line.
        self.dropped_lines = 0
        self._descriptor = _prepare_descriptor(stream)

    def write(self, line: bytes, *, is_rate_exempt: bool = False) -> None:
        """Buffer one line, given without its line end.

        :param is_rate_exempt: whether the rate limit does not apply; the limit
            on buffered bytes always does.
        """
        if not (is_rate_exempt or self._count_against_rate()):
            self.dropped_lines += 1
            return
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self._pending_lines.append(line)
        self._pending_bytes += len(line) + 1
        if (
            self._descriptor is None
            or self._pending_bytes >= FLUSH_THRESHOLD_BYTES
        ):
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the stream accepts now."""
        if self.dropped_lines and self._pending_bytes < FLUSH_THRESHOLD_BYTES:
            self._pending_lines.append(self._build_drop_notice())
            self.dropped_lines = 0
        if not self._pending_lines:
            return
        payload = b'\n'.join((*self._pending_lines, b''))
        if self._descriptor is None:
            self._stream.write(payload.decode())
            self._stream.flush()
            written = len(payload)
        else:
            written = _write_available(self._descriptor, payload)
        rest = payload[written:]
        self._pending_lines = [rest.removesuffix(b'\n')] if rest else []
        self._pending_bytes = len(rest)

    def _build_drop_notice(self) -> bytes:
        """Return the line that reports the number of dropped lines."""
        now = datetime.now(UTC).replace(tzinfo=None)
        return orjson.dumps(
            {
                'time': now.isoformat(timespec='milliseconds'),
                **self._origin_fields,
                'level': 'warning',
                'channel': 'log',
                'event': 'lines left out',
                'lines': self.dropped_lines,
            }
        )

    def _count_against_rate(self) -> bool:
        """Count a line; return whether it is within the rate limit."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return self._lines_this_second <= MAX_LINES_PER_S


def _prepare_descriptor(stream: TextIO) -> int | None:
    """Return the file descriptor of a stream, non-blocking if it is a pipe.

    :returns: ``None`` for an in-memory stream.
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return None
    if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        os.set_blocking(descriptor, False)
    return descriptor


def _write_available(descriptor: int, payload: bytes) -> int:
    """Write what the descriptor accepts and return the number of bytes."""
    try:
        return os.write(descriptor, payload)
    except BlockingIOError:
        return 0
    except OSError:
        # The reading end is closed or the device failed. The lines are
        # discarded, because there is nowhere else to write them.
        return len(payload)
