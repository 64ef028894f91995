"""Writing log lines in bounded number, never waiting for the reader."""

import os
import stat
import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Final, TextIO

import orjson

#: Lines a second that are written; what is beyond is counted.
MAX_LINES_PER_S: Final = 2000
#: Bytes that wait for a slow reader; what is beyond is counted.
MAX_WAITING_BYTES: Final = 1048576
#: Bytes that are gathered before they are written.
BUFFER_BYTES: Final = 65536


class LineWriter:
    """Writes lines to a stream without ever blocking on it.

    A full pipe keeps lines waiting up to a bound. Lines that are left out,
    there or beyond the rate, are counted and told once the reader is back.
    """

    def __init__(
        self,
        stream: TextIO,
        clock: Callable[[], float] = time.monotonic,
        origin: Mapping[str, str] | None = None,
    ) -> None:
        self._stream = stream
        self._clock = clock
        #: Members that say who writes, for lines of the writer's own.
        self._origin = origin or {}
        self._lines: list[bytes] = []
        self._waiting_bytes = 0
        self._second = 0
        self._lines_in_second = 0
        #: Lines that were left out and not told yet.
        self.left_out = 0
        self._descriptor = _open_for_writing(stream)

    def write(self, line: bytes, *, is_urgent: bool = False) -> None:
        """Take one line, without its end.

        :param is_urgent: whether the line counts beyond the rate too.
        """
        if not (is_urgent or self._is_within_rate()):
            self.left_out += 1
            return
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.left_out += 1
            return
        self._lines.append(line)
        self._waiting_bytes += len(line) + 1
        if self._descriptor is None or self._waiting_bytes >= BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self.left_out and self._waiting_bytes < BUFFER_BYTES:
            self._lines.append(self._build_notice())
            self.left_out = 0
        if not self._lines:
            return
        payload = b'\n'.join((*self._lines, b''))
        if self._descriptor is None:
            self._stream.write(payload.decode())
            self._stream.flush()
            written = len(payload)
        else:
            written = _write_some(self._descriptor, payload)
        rest = payload[written:]
        self._lines = [rest.removesuffix(b'\n')] if rest else []
        self._waiting_bytes = len(rest)

    def _build_notice(self) -> bytes:
        now = datetime.now(UTC).replace(tzinfo=None)
        return orjson.dumps(
            {
                'time': now.isoformat(timespec='milliseconds'),
                **self._origin,
                'level': 'warning',
                'channel': 'log',
                'event': 'lines left out',
                'lines': self.left_out,
            }
        )

    def _is_within_rate(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LINES_PER_S


def _open_for_writing(stream: TextIO) -> int | None:
    """Return the descriptor of a stream, made not to block if it is a pipe.

    :returns: ``None`` for a stream in memory.
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return None
    if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        os.set_blocking(descriptor, False)
    return descriptor


def _write_some(descriptor: int, payload: bytes) -> int:
    """Write as much as the reader takes; return the bytes."""
    try:
        return os.write(descriptor, payload)
    except BlockingIOError:
        return 0
    except OSError:
        # Nobody reads any more: the lines have no other place to go.
        return len(payload)
