"""Life of an accepted connection, without sockets.

``docs/design/connections.md`` has the table of phases and events.
"""

import enum
from typing import Final, NamedTuple


class ConnectionPhase(enum.Enum):
    """Phase in the life of an accepted connection."""

    #: No request waits for an answer.
    RECEIVING = 'receiving'
    #: Requests wait for their answers, and further ones are taken.
    SERVING = 'serving'
    #: The request that ends the connection is known; answers are due.
    ANSWERING = 'answering'
    #: The last answer is written, and the caller has not taken it whole.
    HANDING_OVER = 'handing-over'
    #: The caller has taken everything, and is expected to close.
    AWAITING_CLOSE = 'awaiting-close'
    #: Nothing is left to do.
    CLOSED = 'closed'


#: Phases in which requests are taken.
_OPEN_PHASES: Final = frozenset(
    (ConnectionPhase.RECEIVING, ConnectionPhase.SERVING)
)
#: Phases in which nothing is left to be answered or taken.
_IDLE_PHASES: Final = frozenset(
    (ConnectionPhase.RECEIVING, ConnectionPhase.CLOSED)
)
#: Phases behind the last answer.
_ENDING_PHASES: Final = frozenset(
    (ConnectionPhase.HANDING_OVER, ConnectionPhase.AWAITING_CLOSE)
)


class EndLimits(NamedTuple):
    """Limits on what a connection waits for."""

    #: Seconds in which a caller has to take some bytes of an answer.
    stall_s: float = 30.0
    #: The same while callers hold too many bytes together.
    short_stall_s: float = 3.0
    #: Seconds without input to wait for the caller's close.
    linger_s: float = 2.0
    #: Seconds to wait for the caller's close altogether.
    max_linger_s: float = 10.0
    #: Bytes of input behind the last request that are read and ignored.
    max_ignored_bytes: int = 67108864


class ConnectionState:
    """Phase of a connection, and what it waits for.

    All times are those of one clock, in seconds.
    """

    __slots__ = (
        '_awaiting_since',
        '_has_caller_ended',
        '_input_at',
        '_limits',
        '_progress_at',
        '_untaken_bytes',
        '_untaken_since',
        'ending_since',
        'has_received',
        'idle_since',
        'ignored_bytes',
        'is_between_requests',
        'phase',
        'unanswered',
    )

    def __init__(self, now: float, limits: EndLimits | None = None) -> None:
        self._limits = limits or EndLimits()
        self.phase = ConnectionPhase.RECEIVING
        #: Requests that were taken and have no answer yet.
        self.unanswered = 0
        #: Time since which the connection has been idle.
        self.idle_since = now
        #: Bytes of input that were ignored.
        self.ignored_bytes = 0
        #: Bytes that the caller had not taken when it was asked last.
        self._untaken_bytes = 0
        #: Time at which those bytes changed.
        self._progress_at = now
        #: Time since which there have been some.
        self._untaken_since = now
        #: Time from which the caller's close is awaited.
        self._awaiting_since = now
        self._input_at = now
        self._has_caller_ended = False
        #: Whether all requests that wait for their turn can be given up, since
        #: none of them has been passed on.
        self.is_between_requests = False
        #: Whether a request has been taken.
        self.has_received = False
        #: Time at which the last answer was written, ``None`` before.
        self.ending_since: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether requests are taken."""
        return self.phase in _OPEN_PHASES

    @property
    def is_ending(self) -> bool:
        """Whether the last answer is written."""
        return self.phase in _ENDING_PHASES

    @property
    def is_busy(self) -> bool:
        """Whether something is left to be answered or taken."""
        return self.phase not in _IDLE_PHASES

    def take_request(self, *, keeps_alive: bool) -> bool:
        """Take a request, or a refusal to be answered.

        :param keeps_alive: whether further requests may follow it.
        :returns: ``False`` behind the request that ends the connection.
        """
        if not self.is_open:
            return False
        self.unanswered += 1
        self.has_received = True
        self.phase = ConnectionPhase.ANSWERING
        if keeps_alive:
            self.phase = ConnectionPhase.SERVING
        return True

    def record_answer(self, now: float, *, is_stopping: bool) -> bool:
        """Record that an answer is being written.

        :param is_stopping: whether the server closes connections.
        :returns: whether it is the last one.
        """
        self.unanswered -= 1
        self._progress_at = now
        if not self._untaken_bytes:
            self._untaken_since = now
        if self.unanswered:
            return False
        self.idle_since = now
        if self.is_open and not is_stopping:
            self.phase = ConnectionPhase.RECEIVING
            return False
        self.begin_end(now)
        return True

    def begin_end(self, now: float) -> None:
        """End the connection once the caller has taken what is written."""
        self.phase = ConnectionPhase.HANDING_OVER
        self.ending_since = now
        self._progress_at = now

    def record_caller_end(self) -> None:
        """Record that the caller has closed its end.

        Its requests are dropped; what is written is still handed over.
        """
        self._has_caller_ended = True
        self.unanswered = 0

    def ignore_input(self, count: int, now: float) -> bool:
        """Record input that is ignored.

        :returns: whether more may be read.
        """
        self.ignored_bytes += count
        self._input_at = now
        return self.ignored_bytes <= self._limits.max_ignored_bytes

    def record_untaken(
        self, untaken_bytes: int, now: float, *, is_pressed: bool = False
    ) -> None:
        """Record the bytes that the caller has not taken.

        It ends the connection when a wait is over.

        :param is_pressed: whether callers hold too many bytes together.
        """
        if not untaken_bytes:
            self._untaken_since = now
        if untaken_bytes != self._untaken_bytes:
            self._untaken_bytes = untaken_bytes
            self._progress_at = now
        if self.phase == ConnectionPhase.AWAITING_CLOSE:
            self._check_linger(now)
        elif untaken_bytes:
            self._check_stall(now, is_pressed=is_pressed)
        elif self.phase == ConnectionPhase.HANDING_OVER:
            self._await_close(now)

    def find_stall(self, now: float) -> float | None:
        """Return since when the caller has taken nothing of an answer.

        :returns: ``None`` unless that is longer than the short time.
        """
        waited_s = now - self._progress_at
        if self._untaken_bytes and waited_s >= self._limits.short_stall_s:
            return self._progress_at
        return None

    def record_shortage(self, now: float) -> None:
        """Record that other answers wait for memory that this one takes.

        It ends the connection if its caller has not taken everything in the
        short time.
        """
        waited_s = now - self._untaken_since
        if self._untaken_bytes and waited_s >= self._limits.short_stall_s:
            self.close()

    def close(self) -> None:
        """Record that the connection has ended."""
        self.phase = ConnectionPhase.CLOSED

    def _await_close(self, now: float) -> None:
        self.phase = ConnectionPhase.AWAITING_CLOSE
        self._awaiting_since = now
        if self._has_caller_ended:
            self.close()

    def _check_linger(self, now: float) -> None:
        limits = self._limits
        quiet_s = now - max(self._awaiting_since, self._input_at)
        is_over = (
            quiet_s >= limits.linger_s
            or now - self._awaiting_since >= limits.max_linger_s
            or self.ignored_bytes > limits.max_ignored_bytes
        )
        if is_over:
            self.close()

    def _check_stall(self, now: float, *, is_pressed: bool) -> None:
        if self.phase == ConnectionPhase.RECEIVING:
            self.idle_since = now
        limits = self._limits
        limit_s = limits.short_stall_s if is_pressed else limits.stall_s
        if now - self._progress_at >= limit_s:
            self.close()
