"""Record of connections that ended with something left undelivered."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from merlintrail.observability import log_decision
from merlintrail.protocol import Outcome
from merlintrail.transport import (
    ConnectionEnd,
    DisplacedConnections,
    EndCause,
    HttpRequest,
    RefusedRequest,
)

#: Unanswered requests of one connection that are logged.
MAX_LOGGED_REQUESTS: Final = 16
_CAUSES_HERE: Final = frozenset((EndCause.NODE, EndCause.PROCESS_END))


class ConnectionEnds:
    """Counts and logs the ends of the connections of one kind."""

    def __init__(
        self, peer: str, read_request_id: Callable[[HttpRequest], str | None]
    ) -> None:
        """Initialize the record.

        :param peer: who connects, for the log.
        """
        self._peer = peer
        self._read_request_id = read_request_id
        #: Ends so far by cause.
        self.counts: Counter[EndCause] = Counter()

    @property
    def cut(self) -> int:
        """Connections that this node ended with something undelivered."""
        return sum(self.counts[cause] for cause in _CAUSES_HERE)

    @property
    def left(self) -> int:
        """Connections that the other end closed, or that were reset."""
        displaced = self.counts[EndCause.DISPLACED]
        return self.counts.total() - self.cut - displaced

    def record(self, end: ConnectionEnd) -> None:
        """Record an end; each unanswered request gets a line."""
        self.counts[end.cause] += 1
        requests = end.unanswered[:MAX_LOGGED_REQUESTS] or (None,)
        for request in requests:
            log_decision(
                'connection-end',
                request_id=request and self._read_request_id(request),
                peer=self._peer,
                cause=end.cause.value,
                unanswered=len(end.unanswered),
                unsent_bytes=end.unsent_bytes,
                remote_host=end.remote_host,
            )

    def record_refusal(self, refused: RefusedRequest) -> None:
        """Log a request that was refused without being passed on."""
        request = refused.request
        log_decision(
            'refuse',
            request_id=request and self._read_request_id(request),
            peer=self._peer,
            reason=refused.bad_request.reason,
            outcome=Outcome.NOT_RUN.value,
            remote_host=refused.remote_host,
            connection_bytes=refused.connection_bytes,
        )

    def record_displaced(self, displaced: DisplacedConnections) -> None:
        """Log connections of a host that were closed to make room."""
        log_decision(
            'connection-end',
            peer=self._peer,
            cause=EndCause.DISPLACED.value,
            connections=displaced.connections,
            connection_bytes=displaced.connection_bytes,
            remote_host=displaced.remote_host,
        )
