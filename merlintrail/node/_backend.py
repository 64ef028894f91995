"""A backend server beside the node, as it announced itself."""

import asyncio
import enum
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from merlintrail.node._calls import OutgoingCall, compute_call_digest
from merlintrail.protocol import BackendLoad
from merlintrail.transport import ConnectionPool, HttpRequest, TransportFailure

#: Seconds between tries to reach a backend server that is down.
PROBE_INTERVAL_S: Final = 0.1
#: Seconds to wait for the answer of a health or load endpoint.
HINT_TIMEOUT_S: Final = 0.5
#: Seconds between looks at the health and load endpoints.
HINT_INTERVAL_S: Final = 2.0
#: Seconds within which calls that fail together count as one death.
DEATH_WINDOW_S: Final = 0.1
#: Seconds for which an announcement lasts if it names no time.
DEFAULT_TTL_S: Final = 10.0
#: Backend servers that left which are remembered by identity.
MAX_DEPARTED: Final = 64
_MAX_SLOTS: Final = 100000


class Announcement(NamedTuple):
    """What a backend server says of itself."""

    service: str
    #: ``host:port`` at which it takes calls.
    address: str
    slots: int
    #: Whether it takes new calls.
    is_ready: bool = True
    #: Seconds until it must be renewed.
    ttl_s: float = DEFAULT_TTL_S
    health_path: str | None = None
    load_path: str | None = None
    #: Name of this run of the backend server, checked with each call.
    identity: str | None = None
    #: Start of this run in milliseconds since the epoch, 0 when unknown.
    started_at_ms: int = 0
    #: Raised with each announcement of one run.
    sequence: int = 0


class InvalidAnnouncement(NamedTuple):
    """Sentinel in place of an announcement, with all faults."""

    findings: tuple[str, ...]


class AnnouncementOrder(enum.Enum):
    """How an announcement stands to the one that is known."""

    #: From another run of the backend server.
    NEW_RUN = 'new run'
    RENEWAL = 'renewal'
    #: Overtaken by a later one, or from a run that has ended.
    STALE = 'stale'


class Departures:
    """Runs of backend servers that said that they leave."""

    def __init__(self) -> None:
        self._started_at_ms: dict[str, int] = {}

    def record(self, identity: str, started_at_ms: int) -> None:
        """Take note that a run is ending."""
        self._started_at_ms[identity] = started_at_ms
        if len(self._started_at_ms) > MAX_DEPARTED:
            del self._started_at_ms[next(iter(self._started_at_ms))]

    def includes(self, news: Announcement) -> bool:
        """Tell whether an announcement comes from a run that left."""
        if news.identity is None:
            return False
        known_ms = self._started_at_ms.get(news.identity)
        return known_ms is not None and news.started_at_ms <= known_ms


def compare_announcements(
    known: Announcement | None, news: Announcement
) -> AnnouncementOrder:
    """Tell whether an announcement replaces the one that is known.

    Announcements may come late, repeated and out of order, also after the
    backend server has been replaced by another at the same address.
    """
    if known is None:
        return AnnouncementOrder.NEW_RUN
    run = (known.identity, known.started_at_ms, known.address)
    if run != (news.identity, news.started_at_ms, news.address):
        is_older = news.started_at_ms < known.started_at_ms
        return (
            AnnouncementOrder.STALE if is_older else AnnouncementOrder.NEW_RUN
        )
    is_overtaken = news.sequence and news.sequence <= known.sequence
    return (
        AnnouncementOrder.STALE if is_overtaken else AnnouncementOrder.RENEWAL
    )


def read_announcement(
    document: Mapping[str, Any],
) -> Announcement | InvalidAnnouncement:
    """Read and check an announcement."""
    findings = [
        f'unknown member {name!r}'
        for name in document
        if name not in Announcement._fields
    ]
    service = document.get('service')
    if not isinstance(service, str) or not service:
        findings.append('service: needs a name')
    address = document.get('address')
    host, _, port = str(address).rpartition(':')
    if not host or not port.isdigit():
        findings.append('address: needs host:port')
    slots = document.get('slots')
    if not isinstance(slots, int) or not 0 < slots <= _MAX_SLOTS:
        findings.append('slots: needs a positive number')
    ttl_s = document.get('ttl_s', DEFAULT_TTL_S)
    if not isinstance(ttl_s, int | float) or ttl_s <= 0:
        findings.append('ttl_s: needs a positive number of seconds')
    if not isinstance(document.get('is_ready', True), bool):
        findings.append('is_ready: needs true or false')
    findings.extend(_check_run(document))
    if findings:
        return InvalidAnnouncement(tuple(findings))
    return Announcement(**document)


def _check_run(document: Mapping[str, Any]) -> list[str]:
    """Check what tells one run of a backend server from another."""
    findings = []
    identity = document.get('identity')
    if identity is not None and not (isinstance(identity, str) and identity):
        findings.append('identity: needs a name')
    for name in ('started_at_ms', 'sequence'):
        number = document.get(name, 0)
        is_whole = isinstance(number, int) and not isinstance(number, bool)
        if not is_whole or number < 0:
            findings.append(f'{name}: needs a whole number')
    return findings


class BackendServer:
    """State of one backend server.

    Health and load endpoints are hints: they are shown to operators and
    logged, while readiness follows from connections and answers.
    """

    def __init__(self, announcement: Announcement, now: float) -> None:
        self.announcement = announcement
        self.renewed_at = now
        #: Whether connections succeed.
        self.is_reachable = True
        #: Whether it said that it drains.
        self.is_draining = not announcement.is_ready
        #: Whether another backend server answered at its address.
        self.is_displaced = False
        #: What the health endpoint said last.
        self.health_hint = 'unknown'
        #: What the load endpoint said last.
        self.load_hint: object = None
        #: Load that its last answer told.
        self.load: BackendLoad | None = None
        #: Calls running in it, by call identifier.
        self.running: dict[str, OutgoingCall] = {}
        #: Calls lost together, within a short time.
        self._lost: Counter[str] = Counter()
        self._lost_since = 0.0

    def is_ready(self, now: float) -> bool:
        """Tell whether it takes new calls."""
        is_current = now - self.renewed_at < self.announcement.ttl_s
        is_there = self.is_reachable and not self.is_displaced
        return is_current and is_there and not self.is_draining

    def renew(self, announcement: Announcement, now: float) -> None:
        """Take a renewed announcement."""
        self.announcement = announcement
        self.renewed_at = now
        self.is_draining = not announcement.is_ready
        self.is_displaced = False

    def record_lost_call(self, call_id: str, now: float) -> list[str]:
        """Take note that a call's connection was lost.

        A lone loss is no death where the backend server tells its identity:
        a new run of it would say so.

        :returns: digests of the calls that ran, once all of them are lost.
        """
        if now - self._lost_since > DEATH_WINDOW_S:
            self._lost.clear()
            self._lost_since = now
        lost = self.running.pop(call_id, None)
        if lost is not None:
            self._lost[compute_call_digest(lost)] += 1
        least = 1 if self.announcement.identity is None else 2
        if self.running or self._lost.total() < least:
            return []
        digests = list(self._lost)
        self._lost.clear()
        return digests

    def list_running_digests(self) -> list[str]:
        """Return the digests of the calls running or just lost."""
        running = [compute_call_digest(call) for call in self.running.values()]
        return [*self._lost, *running]


class BackendProber:
    """Finds out when a backend server is back, and reads its hints."""

    def __init__(
        self, pool: ConnectionPool, on_change: Callable[[], None]
    ) -> None:
        self._pool = pool
        self._on_change = on_change

    async def is_listening(self, backend: BackendServer) -> bool:
        """Tell whether a new connection succeeds."""
        return await self._pool.can_connect(backend.announcement.address)

    async def wait_until_reachable(self, backend: BackendServer) -> None:
        """Return once connections succeed again."""
        while not await self.is_listening(backend):
            await asyncio.sleep(PROBE_INTERVAL_S)
        backend.is_reachable = True
        self._on_change()

    async def read_hints(self, backend: BackendServer) -> None:
        """Look at the health and load endpoints."""
        announcement = backend.announcement
        if announcement.health_path is not None:
            answer = await self._fetch(announcement, announcement.health_path)
            backend.health_hint = answer
        if announcement.load_path is not None:
            backend.load_hint = await self._fetch(
                announcement, announcement.load_path
            )

    async def _fetch(self, announcement: Announcement, path: str) -> str:
        answer = await self._pool.exchange(
            announcement.address,
            'GET',
            path,
            (('host', announcement.address),),
            b'',
            timeout_s=HINT_TIMEOUT_S,
        )
        if isinstance(answer, TransportFailure):
            return answer.reason
        return f'{answer.status} {answer.body[:80].decode("latin-1")}'


def is_local_sender(request: HttpRequest, own_host: str) -> bool:
    """Tell whether a request comes from the node's own instance."""
    return request.remote_host in {'127.0.0.1', '::1', own_host}
