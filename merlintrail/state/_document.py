"""The configuration document as typed values."""

from collections.abc import Iterator, Mapping, Sequence
from datetime import datetime
from typing import Any, Final, NamedTuple

from merlintrail.protocol import Importance, read_importance
from merlintrail.state._kinds import RequestKind
from merlintrail.state._routes import Route, RouteTable, ServiceShare
from merlintrail.state.customers import Customer, CustomerTable

#: Number of retries over the whole call tree of a request for each attempt
#: after the first that its route permits, unless the route states the retries.
RETRIES_PER_ATTEMPT: Final = 4
_BYTES_PER_MEGABYTE: Final = 1000000
_DEFAULT_RETRIES: Final = 2
_DEFAULT_QUEUE_LIMIT_MS: Final = 100.0
_DEFAULT_WARMUP_S: Final = 5.0
_DEFAULT_EXPIRY_S: Final = 600.0


class Service(NamedTuple):
    """A service and its request kinds."""

    name: str
    #: Longest path first, so that the first match is the most specific one.
    kinds: tuple[RequestKind, ...]
    #: Longest wait of a call for a slot in milliseconds.
    queue_limit_ms: float
    #: Seconds over which the capacity share of a cold backend server grows
    #: to its full slots.
    warmup_s: float

    def find_kind(self, method: str, path: str) -> RequestKind:
        """Return the kind of a request.

        A request that matches none is of the kind ``other``, with normal
        importance, not idempotent and without retries.
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
    """A maintenance window in which instances are shut down.

    It affects either a whole data centre or a set of instances.
    """

    stop_id: str
    data_centre: str | None
    instances: frozenset[str]
    #: Seconds since the epoch.
    starts_at: float
    ends_at: float

    def covers(self, instance: str, data_centre: str) -> bool:
        """Return whether an instance is shut down."""
        return data_centre == self.data_centre or instance in self.instances


class LedgerSettings(NamedTuple):
    """Settings of the ledger that ensures at-most-once execution."""

    #: Number of partitions by idempotency key, each with one owner.
    slots: int = 32
    #: Seconds for which an idempotency key is kept.
    retention_s: float = 600.0
    #: Limit on writes per second to the store, over all slots.
    writes_per_s: float = 256.0
    #: Region whose nodes own the slots while it has any. The region of the
    #: store gives the lowest latency.
    region: str | None = None


class RetryBudgetSettings(NamedTuple):
    """Limit on the retries of all nodes together, for each service."""

    #: Retries as a share of first attempts.
    share: float = 0.1
    #: Retries that are permitted in each window regardless of traffic, rounded
    #: down. Without them services with little traffic have no retries.
    base: float = 10.0
    #: Length of the window in seconds.
    window_s: float = 10.0


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    #: Longest time in milliseconds to receive a request.
    receive_timeout_ms: float = 10000.0
    #: Milliseconds after which an idle connection is closed.
    idle_timeout_ms: float = 75000.0


class Configuration(NamedTuple):
    """One generation of the configuration."""

    generation: int
    #: Identifier of the change that created the generation.
    change_id: str
    #: Services by name.
    services: Mapping[str, Service]
    #: Region of each data centre.
    regions: Mapping[str, str]
    #: Bytes per second for each linked pair of regions.
    links: Mapping[frozenset[str], float]
    planned_stops: tuple[PlannedStop, ...]
    retry_budget: RetryBudgetSettings
    ledger: LedgerSettings
    #: Seconds for which a request stays suspected or quarantined.
    quarantine_expiry_s: float
    #: The document from which the configuration was built.
    document: Mapping[str, Any]
    #: Routes by host and path.
    routes: RouteTable
    caller_limits: CallerLimits
    #: Customers whose keys requests must carry; empty if none is needed.
    customers: CustomerTable = CustomerTable()

    @property
    def is_routed(self) -> bool:
        """Whether requests are matched to routes, even if there are none.

        Otherwise the path of a request names its service.
        """
        return 'routes' in self.document


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
    shares = tuple(_build_shares(document))
    attempts = document.get('attempts', 1)
    kind = RequestKind(
        shares[0].service if shares else '',
        document['name'],
        frozenset(),
        document['prefix'],
        read_importance(document['importance']),
        document['idempotent'],
        document['timeout_ms'],
        document.get('retries', (attempts - 1) * RETRIES_PER_ATTEMPT),
        document.get('objective_ms'),
        attempts,
    )
    return Route(
        document['host'],
        document['prefix'],
        shares,
        kind,
        is_public=document.get('public', False),
        is_closed=document.get('closed', False),
    )


def _build_shares(document: Mapping[str, Any]) -> Iterator[ServiceShare]:
    """Yield the services of a route, none if it is closed without any."""
    if 'service' in document:
        yield ServiceShare(document['service'], 1)
    for entry in document.get('split', ()):
        yield ServiceShare(entry['service'], entry['weight'])


def _build_customer(document: Mapping[str, Any]) -> Customer:
    importance = document.get('importance')
    rate_per_s = document.get('rate_per_s')
    return Customer(
        document['name'],
        frozenset(document['key_digests']),
        None if importance is None else read_importance(importance),
        rate_per_s,
        document.get('burst', 0.0),
    )


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


def _build_routes(
    entries: Sequence[Mapping[str, Any]], previous: Configuration | None
) -> Iterator[Route]:
    """Yield the routes of a document; equal ones of the previous are reused."""
    known_entries: Mapping[str, Any] = {}
    if previous is not None:
        known_entries = {
            entry['name']: entry
            for entry in previous.document.get('routes', ())
        }
    for entry in entries:
        route: Route | None = None
        if previous is not None and known_entries.get(entry['name']) == entry:
            route = previous.routes.find_by_name(entry['name'])
        yield _build_route(entry) if route is None else route


def build_configuration(
    document: Mapping[str, Any],
    generation: int,
    change_id: str,
    previous: Configuration | None = None,
) -> Configuration:
    """Build the typed configuration from a validated document.

    :param previous: configuration whose unchanged routes are reused.
    """
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
        RouteTable(_build_routes(document.get('routes', ()), previous)),
        CallerLimits(**document.get('limits', {})),
        CustomerTable(
            _build_customer(entry) for entry in document.get('customers', ())
        ),
    )
