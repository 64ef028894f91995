"""The operators' configuration as typed values."""

from collections.abc import Mapping, Sequence
from datetime import datetime
from typing import Any, Final, NamedTuple

from merlintrail.protocol import Importance, read_importance
from merlintrail.state._kinds import RequestKind
from merlintrail.state._routes import Route, RouteTable, ServiceShare

#: Retries over the whole tree of a request for each further attempt that its
#: route permits, unless the route states them.
TREE_RETRIES: Final = 4
_BYTES_PER_MEGABYTE: Final = 1000000
_DEFAULT_RETRIES: Final = 2
_DEFAULT_QUEUE_LIMIT_MS: Final = 100.0
_DEFAULT_WARMUP_S: Final = 5.0
_DEFAULT_EXPIRY_S: Final = 600.0


class Service(NamedTuple):
    """A service and its request kinds, longest path first."""

    name: str
    kinds: tuple[RequestKind, ...]
    #: Milliseconds that a call may wait for a slot.
    queue_limit_ms: float
    #: Seconds over which a cold backend server gets its full share.
    warmup_s: float

    def find_kind(self, method: str, path: str) -> RequestKind:
        """Return the kind of a request.

        A request that matches none is ``other``: normal, not idempotent
        and without retries.
        """
        for kind in self.kinds:
            if kind.matches(method, path):
                return kind
        return RequestKind(
            self.name,
            'other',
            frozenset(),
            '/',
            Importance.NORMAL,
            is_idempotent=False,
            deadline_ms=1000,
            retries=0,
        )


class PlannedStop(NamedTuple):
    """A maintenance window set by the landlord."""

    stop_id: str
    data_centre: str | None
    instances: frozenset[str]
    #: Seconds since the epoch.
    starts_at: float
    ends_at: float

    def covers(self, instance: str, data_centre: str) -> bool:
        """Tell whether the window stops that instance."""
        return data_centre == self.data_centre or instance in self.instances


class LedgerSettings(NamedTuple):
    """Settings of the at-most-once record."""

    slots: int = 32
    #: Seconds for which a key is remembered.
    retention_s: float = 600.0
    #: Writes a second to the store, over all slots.
    writes_per_s: float = 256.0
    #: Region whose nodes own the slots; that of the store is the fastest.
    region: str | None = None


class RetryBudgetSettings(NamedTuple):
    """Bound on the retries of all nodes together."""

    #: Retries as a share of first attempts.
    share: float = 0.1
    #: Retries to each service that are allowed besides in a window, over
    #: all nodes; ``None`` for a few at each node.
    base: float | None = None
    window_s: float = 10.0


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send, and how slowly."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    receive_timeout_ms: float = 10000.0
    idle_timeout_ms: float = 75000.0


class Configuration(NamedTuple):
    """One generation of the operators' document."""

    generation: int
    change_id: str
    services: Mapping[str, Service]
    #: Region of each data centre.
    regions: Mapping[str, str]
    #: Bytes a second for each pair of regions.
    links: Mapping[frozenset[str], float]
    planned_stops: tuple[PlannedStop, ...]
    retry_budget: RetryBudgetSettings
    ledger: LedgerSettings
    #: Seconds for which a digest stays in quarantine.
    quarantine_expiry_s: float
    #: The document itself.
    document: Mapping[str, Any]
    #: Routes by host and path; without any the path names the service.
    routes: RouteTable
    caller_limits: CallerLimits


def _build_kind(service: str, document: Mapping[str, Any]) -> RequestKind:
    return RequestKind(
        service,
        document['name'],
        frozenset(document.get('methods', ())),
        document['path'],
        read_importance(document['importance']),
        document['idempotent'],
        document['deadline_ms'],
        document.get('retries', _DEFAULT_RETRIES),
    )


def _build_service(document: Mapping[str, Any]) -> Service:
    kinds = [
        _build_kind(document['name'], entry)
        for entry in document.get('kinds', ())
    ]
    kinds.sort(key=lambda kind: len(kind.path), reverse=True)
    return Service(
        document['name'],
        tuple(kinds),
        document.get('queue_limit_ms', _DEFAULT_QUEUE_LIMIT_MS),
        document.get('warmup_s', _DEFAULT_WARMUP_S),
    )


def _build_route(document: Mapping[str, Any]) -> Route:
    split = document.get('split')
    if split is None:
        split = [{'service': document['service'], 'weight': 1}]
    shares = tuple(
        ServiceShare(entry['service'], entry['weight']) for entry in split
    )
    attempts = document.get('attempts', 1)
    kind = RequestKind(
        shares[0].service,
        document['name'],
        frozenset(),
        document['prefix'],
        read_importance(document['importance']),
        document['idempotent'],
        document['timeout_ms'],
        document.get('retries', (attempts - 1) * TREE_RETRIES),
        document.get('objective_ms'),
        attempts,
    )
    return Route(document['host'], document['prefix'], shares, kind)


def _build_stop(document: Mapping[str, Any]) -> PlannedStop:
    return PlannedStop(
        document['id'],
        document.get('data_centre'),
        frozenset(document.get('instances', ())),
        datetime.fromisoformat(document['starts_at']).timestamp(),
        datetime.fromisoformat(document['ends_at']).timestamp(),
    )


def _build_links(
    entries: Sequence[Mapping[str, Any]],
) -> Mapping[frozenset[str], float]:
    return {
        frozenset(entry['regions']): (
            entry['megabytes_per_s'] * _BYTES_PER_MEGABYTE
        )
        for entry in entries
    }


def build_configuration(
    document: Mapping[str, Any], generation: int, change_id: str
) -> Configuration:
    """Build the typed configuration from a document that was validated."""
    services = [_build_service(entry) for entry in document['services']]
    return Configuration(
        generation,
        change_id,
        {service.name: service for service in services},
        {
            data_centre: region['name']
            for region in document['regions']
            for data_centre in region['data_centres']
        },
        _build_links(document.get('links', ())),
        tuple(
            _build_stop(entry) for entry in document.get('planned_stops', ())
        ),
        RetryBudgetSettings(**document.get('retry_budget', {})),
        LedgerSettings(**document.get('ledger', {})),
        document.get('quarantine', {}).get('expiry_s', _DEFAULT_EXPIRY_S),
        document,
        RouteTable(_build_route(entry) for entry in document.get('routes', ())),
        CallerLimits(**document.get('limits', {})),
    )
