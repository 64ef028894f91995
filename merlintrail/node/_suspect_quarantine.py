"""Quarantine of requests that crash backend servers."""

from collections.abc import Callable, Sequence
from typing import Any, Final

from merlintrail.node._calls import OutgoingCall, compute_request_digest
from merlintrail.observability import log_decision
from merlintrail.protocol import Outcome, Reason, Refusal
from merlintrail.state import Quarantine, Suspicion, read_suspicion

_MS_PER_S: Final = 1000
#: Seconds until a suspicion expires if there is no configuration yet.
DEFAULT_EXPIRY_S: Final = 600.0


class SuspectQuarantine:
    """Applies a node's quarantine to calls and notifies the other nodes."""

    def __init__(
        self,
        quarantine: Quarantine,
        wall_clock: Callable[[], float],
        notify: Callable[[list[Suspicion]], None],
        node_id: str,
    ) -> None:
        """Wrap the quarantine of a node.

        :param notify: sends suspicions to the other nodes.
        """
        self._quarantine = quarantine
        self._wall_clock = wall_clock
        self._notify = notify
        self._node_id = node_id
        #: Seconds until a suspicion expires.
        self.expiry_s = DEFAULT_EXPIRY_S

    def merge_record(self, record: Sequence[Any] | None) -> None:
        """Merge a suspicion that was received with a call or a response."""
        received = None if record is None else read_suspicion(record)
        if received is not None and self._quarantine.merge(
            received, self._wall_clock()
        ):
            log_quarantine(received, 'learned with a call')

    def find(self, call: OutgoingCall) -> Suspicion | None:
        """Return the suspicion against the request of a call, if any."""
        if self._quarantine.is_empty:
            return None
        held = self._quarantine.find(
            compute_request_digest(call), self._wall_clock()
        )
        return held if held is not None and held.is_suspect else None

    def is_quarantined(self, call: OutgoingCall) -> bool:
        """Return whether the request of a call is refused at every node."""
        return self.check(call) is not None

    def check(self, call: OutgoingCall) -> Refusal | None:
        """Return the refusal of a call whose request is quarantined."""
        suspicion = self.find(call)
        now = self._wall_clock()
        if suspicion is None or not self._quarantine.refuses(suspicion, now):
            return None
        return Refusal(
            Outcome.NOT_RUN,
            Reason.QUARANTINED,
            f'request {suspicion.digest} crashed backend servers: '
            f'{", ".join(suspicion.open_crashes)}',
            retry_after_s=suspicion.refused_until - now,
        )

    def clear_suspect(self, call: OutgoingCall) -> None:
        """Clear a request that completed without a crash, if suspected."""
        if self._quarantine.is_empty:
            return
        cleared = self._quarantine.clear_suspect(
            compute_request_digest(call), self._wall_clock()
        )
        if cleared is not None:
            log_quarantine(cleared, 'completed here')
            self._notify([cleared])

    def create_crash_id(self) -> str:
        """Create an identifier for the crash of a local backend server.

        Identifiers sort by the time of the crash.
        """
        now_ms = int(self._wall_clock() * _MS_PER_S)
        return f'{now_ms:x}/{self._node_id}'

    def record_crash(
        self, crash_id: str, digests: Sequence[str]
    ) -> list[Suspicion]:
        """Record that a backend server crashed while requests ran in it.

        :param crash_id: the same for all requests that one crash ended, also
            when they are recorded one after the other.
        """
        suspicions = self._quarantine.record_crash(
            crash_id, digests, self._wall_clock(), self.expiry_s
        )
        for suspicion in suspicions:
            if suspicion.is_likely_cause:
                log_quarantine(suspicion, 'decided here')
        self._notify(suspicions)
        return suspicions


def log_quarantine(suspicion: Suspicion, source: str) -> None:
    """Log what a node believes about a request from now on.

    :param source: how the node came to believe it.
    """
    outcome = 'suspected'
    if suspicion.is_proven:
        outcome = 'proven cause'
    elif suspicion.is_probable:
        outcome = 'probable cause'
    elif not suspicion.is_suspect:
        outcome = 'cleared'
    log_decision(
        'quarantine',
        digest=suspicion.digest,
        outcome=outcome,
        source=source,
        crashes=suspicion.open_crashes,
        refused_until=round(suspicion.refused_until, 1),
    )
