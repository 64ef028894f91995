"""State and announcements of a backend server beside the node."""

import asyncio
import enum
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, TypeGuard

from merlintrail.node._calls import OutgoingCall, compute_request_digest
from merlintrail.protocol import BackendLoad, BackendNotice, RunNotice
from merlintrail.transport import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    TransportFailure,
    parse_address,
)

#: Seconds between attempts to connect to an unreachable backend server.
PROBE_INTERVAL_S: Final = 0.1
#: Timeout in seconds for a request to a health or load endpoint.
HINT_TIMEOUT_S: Final = 0.5
#: Seconds between polls of the health and load endpoints.
HINT_INTERVAL_S: Final = 2.0
#: Calls whose connections are lost within this many seconds of the first
#: loss count towards the same crash.
CRASH_WINDOW_S: Final = 0.1
#: Seconds by which an announcement may arrive late.
ANNOUNCEMENT_DELAY_S: Final = 3.0
#: Unanswered calls of a backend server that are remembered.
MAX_UNANSWERED_CALLS: Final = 512
#: Seconds until an announcement expires that gives no ``ttl_s``.
DEFAULT_TTL_S: Final = 10.0
#: Departed runs that are remembered, one for each identity; the oldest entry
#: is evicted first.
MAX_DEPARTED_RUNS: Final = 64
#: Largest number of slots that an announcement may give.
_MAX_SLOTS: Final = 100000
#: Longest time in seconds for which an announcement may be valid.
_MAX_TTL_S: Final = 3600.0
#: Largest start and sequence number of a run: milliseconds since the epoch in
#: the year 2100. A larger one would make each later announcement stale.
_MAX_RUN_NUMBER: Final = 4102444800000


class Announcement(NamedTuple):
    """Self-description of a backend server, sent to its node."""

    service: str
    #: ``host:port`` at which it accepts calls.
    address: str
    #: Calls that it can run concurrently.
    slots: int
    #: Whether it accepts new calls.
    is_ready: bool = True
    #: Seconds until the announcement expires unless it is renewed.
    ttl_s: float = DEFAULT_TTL_S
    #: Path of the health endpoint, if there is one.
    health_path: str | None = None
    #: Path of the load endpoint, if there is one.
    load_path: str | None = None
    #: Identity of the backend server. A dialect can send it with each call,
    #: so that another backend server at the address rejects the call.
    identity: str | None = None
    #: Start of this run in milliseconds since the epoch, 0 if unknown.
    started_at_ms: int = 0
    #: Increases with each announcement of one run; ``None`` if not used.
    sequence: int | None = None


class InvalidAnnouncement(NamedTuple):
    """Returned instead of an announcement when a document is invalid."""

    #: One message for each fault.
    findings: tuple[str, ...]


class AnnouncementOrder(enum.Enum):
    """How an announcement relates to the current one."""

    #: From another run of the backend server.
    NEW_RUN = 'new run'
    #: A newer announcement of the same run.
    RENEWAL = 'renewal'
    #: Not newer than the current announcement, or from a run that has ended.
    STALE = 'stale'


class DepartedRuns:
    """Runs of backend servers that announced their departure."""

    def __init__(self) -> None:
        #: Start of the last departed run in milliseconds since the epoch, by
        #: identity.
        self._started_at_ms: dict[str, int] = {}

    def record(self, identity: str, started_at_ms: int) -> None:
        """Record that a run is ending."""
        self._started_at_ms[identity] = started_at_ms
        if len(self._started_at_ms) > MAX_DEPARTED_RUNS:
            del self._started_at_ms[next(iter(self._started_at_ms))]

    def includes(self, announcement: Announcement) -> bool:
        """Return whether an announcement comes from a departed run.

        Runs that started before the departed run of the same identity count
        as departed too.
        """
        if announcement.identity is None:
            return False
        departed_ms = self._started_at_ms.get(announcement.identity)
        return (
            departed_ms is not None
            and announcement.started_at_ms <= departed_ms
        )


def compare_announcements(
    current: Announcement | None, received: Announcement
) -> AnnouncementOrder:
    """Return how a received announcement relates to the current one.

    Announcements may arrive late, more than once or out of order, even after
    another backend server has taken over the address.
    """
    if current is None:
        return AnnouncementOrder.NEW_RUN
    run = (current.identity, current.started_at_ms, current.address)
    if run != (received.identity, received.started_at_ms, received.address):
        is_older = received.started_at_ms < current.started_at_ms
        return (
            AnnouncementOrder.STALE if is_older else AnnouncementOrder.NEW_RUN
        )
    is_overtaken = (
        received.sequence is not None
        and current.sequence is not None
        and received.sequence <= current.sequence
    )
    return (
        AnnouncementOrder.STALE if is_overtaken else AnnouncementOrder.RENEWAL
    )


def read_announcement(
    document: Mapping[str, Any],
) -> Announcement | InvalidAnnouncement:
    """Parse and validate an announcement; report every fault at once."""
    findings = [
        f'unknown member {name!r}'
        for name in document
        if name not in Announcement._fields
    ]
    service = document.get('service')
    if not isinstance(service, str) or not service:
        findings.append('service: needs a name')
    if parse_address(document.get('address')) is None:
        findings.append('address: needs host:port')
    slots = document.get('slots')
    if not _is_whole(slots) or not 0 < slots <= _MAX_SLOTS:
        findings.append('slots: needs a positive number')
    ttl_s = document.get('ttl_s', DEFAULT_TTL_S)
    if not _is_number(ttl_s) or not 0 < ttl_s <= _MAX_TTL_S:
        findings.append('ttl_s: needs a positive number of seconds')
    if not isinstance(document.get('is_ready', True), bool):
        findings.append('is_ready: needs true or false')
    findings.extend(_check_run_fields(document))
    if findings:
        return InvalidAnnouncement(tuple(findings))
    return Announcement(**document)


def _check_run_fields(document: Mapping[str, Any]) -> list[str]:
    """Return the faults of the fields that tell runs and renewals apart."""
    findings = []
    identity = document.get('identity')
    if identity is not None and not (isinstance(identity, str) and identity):
        findings.append('identity: needs a name')
    for name in ('started_at_ms', 'sequence'):
        number = document.get(name, 0)
        if not _is_whole(number) or not 0 <= number <= _MAX_RUN_NUMBER:
            findings.append(f'{name}: needs a whole number')
    return findings


def _is_whole(number: object) -> TypeGuard[int]:
    return isinstance(number, int) and not isinstance(number, bool)


def _is_number(number: object) -> TypeGuard[float]:
    return _is_whole(number) or isinstance(number, float)


class BackendServer:
    """State of one backend server.

    What the health and load endpoints return is only shown to operators.
    Readiness depends on announcements, connections and responses instead.
    """

    def __init__(self, announcement: Announcement, now: float) -> None:
        self.announcement = announcement
        #: Clock time of the last announcement.
        self.renewed_at = now
        #: Whether connections succeed.
        self.is_reachable = True
        #: Whether it announced that it is draining or departing.
        self.is_draining = not announcement.is_ready
        #: Whether this run has stated that it is about to end. No announcement
        #: of it makes it accept calls again.
        self.is_leaving = False
        #: Whether another backend server answered at its address; cleared when
        #: the announcement is renewed.
        self.is_displaced = False
        #: Last response of the health endpoint, or why there was none.
        self.health_hint = 'unknown'
        #: Last response of the load endpoint, or why there was none.
        self.load_hint: object = None
        #: What its last response stated of it, ``None`` before the first.
        self.notice: BackendNotice | None = None
        #: Load that it reported with its last response.
        self.load: BackendLoad | None = None
        #: Calls that run in it, by call identifier.
        self.running: dict[str, OutgoingCall] = {}
        #: Identifier of the crash of this run, ``None`` before it.
        self.crash_id: str | None = None
        #: Clock times at which calls ended without an answer, by the digest
        #: of their request.
        self._unanswered: dict[str, float] = {}
        #: Calls lost within :data:`CRASH_WINDOW_S`, counted by request digest.
        self._lost_digests: Counter[str] = Counter()
        #: Clock time of the first of these losses.
        self._lost_since = 0.0

    def is_ready(self, now: float) -> bool:
        """Return whether it accepts new calls."""
        is_current = now - self.renewed_at < self.announcement.ttl_s
        is_available = self.is_reachable and not self.is_displaced
        return is_current and is_available and not self.is_draining

    def renew(self, announcement: Announcement, now: float) -> None:
        """Apply a renewed announcement."""
        if now - self.renewed_at >= self.announcement.ttl_s:
            # It was taken for crashed while its announcements were missing.
            self.crash_id = None
        self.announcement = announcement
        self.renewed_at = now
        self.is_draining = self.is_leaving or not announcement.is_ready
        self.is_displaced = False

    def record_leaving(self) -> None:
        """Record that this run is about to end."""
        self.is_leaving = True
        self.is_draining = True

    def forget_run(self) -> None:
        """Forget what only holds for a run that may have ended."""
        self.crash_id = None
        self.notice = None
        self.is_leaving = False
        self.is_draining = not self.announcement.is_ready

    def is_run(self, notice: RunNotice) -> bool:
        """Return whether a notice is that of this run."""
        return (notice.identity, notice.started_at_ms) == (
            self.announcement.identity,
            self.announcement.started_at_ms,
        )

    def record_lost_call(self, call_id: str, now: float) -> list[str]:
        """Record that the connection of a call was lost.

        The backend server has presumably crashed once all its running calls
        are lost. If it announces an identity, a single lost call is not
        enough evidence: after a crash, the new run would announce itself.

        :returns: digests of the lost calls in case of a crash, else nothing.
        """
        if now - self._lost_since > CRASH_WINDOW_S:
            self._lost_digests.clear()
            self._lost_since = now
        lost = self.running.pop(call_id, None)
        if lost is not None:
            self._lost_digests[compute_request_digest(lost)] += 1
        min_losses = 1 if self.announcement.identity is None else 2
        if self.running or self._lost_digests.total() < min_losses:
            return []
        digests = list(self._lost_digests)
        self._lost_digests.clear()
        return digests

    def record_unanswered_call(self, call: OutgoingCall, now: float) -> None:
        """Record that a call was sent and ended without an answer."""
        self._unanswered[compute_request_digest(call)] = now
        if len(self._unanswered) > MAX_UNANSWERED_CALLS:
            del self._unanswered[next(iter(self._unanswered))]

    def list_unanswered_digests(self) -> list[str]:
        """Return the digests of calls that it may have crashed on.

        These are the calls that are running and those that ended without an
        answer since it was last known to be alive.
        """
        since = self.renewed_at - ANNOUNCEMENT_DELAY_S
        ended = [
            digest
            for digest, ended_at in self._unanswered.items()
            if ended_at >= since
        ]
        return [*ended, *map(compute_request_digest, self.running.values())]

    def list_running_digests(self) -> list[str]:
        """Return the digests of calls that are running or were just lost."""
        running = [
            compute_request_digest(call) for call in self.running.values()
        ]
        return [*self._lost_digests, *running]


class BackendProber:
    """Probes the connections and the health and load endpoints.

    :param on_change: called when a backend server is reachable again.
    """

    def __init__(
        self, pool: ConnectionPool, on_change: Callable[[], None]
    ) -> None:
        self._pool = pool
        self._on_change = on_change

    async def is_listening(self, backend: BackendServer) -> bool:
        """Return whether a new connection succeeds."""
        return await self._pool.can_connect(backend.announcement.address)

    async def wait_until_reachable(self, backend: BackendServer) -> None:
        """Wait for a connection to succeed, then mark it reachable."""
        while not await self.is_listening(backend):
            await asyncio.sleep(PROBE_INTERVAL_S)
        backend.is_reachable = True
        if backend.announcement.identity is None:
            # Nothing else tells its next run apart from this one.
            backend.forget_run()
        self._on_change()

    async def poll(
        self, backend: BackendServer, path: str
    ) -> HttpResponse | TransportFailure:
        """Poll the health or the load endpoint."""
        address = backend.announcement.address
        return await self._pool.exchange(
            address,
            'GET',
            path,
            (('host', address),),
            b'',
            timeout_s=HINT_TIMEOUT_S,
        )


def describe_hint(answer: HttpResponse | TransportFailure) -> str:
    """Describe the answer of a health or load endpoint to operators."""
    if isinstance(answer, TransportFailure):
        return answer.reason
    return f'{answer.status} {answer.body[:80].decode("latin-1")}'


def is_local_sender(request: HttpRequest, own_host: str) -> bool:
    """Return whether a request comes from the node's own instance."""
    return request.remote_host in {'127.0.0.1', '::1', own_host}
