"""Routing of requests to services by host, path prefix and weight."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from merlintrail.state._kinds import RequestKind

#: Number of steps of the round robin over which the initial positions of the
#: nodes are spread at random.
MAX_INITIAL_STEPS: Final = 100


class ServiceShare(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    #: Share of the requests relative to the sum of the weights.
    weight: float


class Route(NamedTuple):
    """A rule for the requests with one host and path prefix."""

    host: str
    #: Path prefix that begins and ends with a slash.
    prefix: str
    #: Services of the requests, only one unless the route is split.
    shares: tuple[ServiceShare, ...]
    #: Settings for the requests. Its service is that of the first share.
    kind: RequestKind
    #: Whether its requests need no API key where there are customers.
    is_public: bool = False
    #: Whether its requests are refused for the time being.
    is_closed: bool = False


class RouteTable:
    """Finds the route with the longest matching prefix for a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        self._by_name: dict[str, Route] = {}
        for route in routes:
            self._by_name[route.kind.name] = route
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def __bool__(self) -> bool:
        """Return whether there are any routes."""
        return bool(self._by_host)

    def __iter__(self) -> Iterator[Route]:
        """Iterate over the routes in the order of host and prefix."""
        for _, prefixes in sorted(self._by_host.items()):
            for _, route in sorted(prefixes.items()):
                yield route

    def find_by_name(self, name: str) -> Route | None:
        """Return the route of a name, or ``None`` if there is none."""
        return self._by_name.get(name)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or ``None`` if there is none.

        :param host: the Host header; case and port are ignored.
        :param path: the path without the query.
        """
        prefixes = self._find_prefixes(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def _find_prefixes(self, host: str) -> Mapping[str, Route] | None:
        """Return the routes of a host by prefix."""
        prefixes = self._by_host.get(host)
        if prefixes is None and ':' in host:
            return self._by_host.get(host.rpartition(':')[0])
        return prefixes


class _WeightedRoundRobin:
    """Smooth weighted round robin over the shares of one route.

    With each choice every share gains a credit of its weight, and the share
    with the highest credit is chosen and charged the sum of the weights.
    """

    def __init__(self, shares: tuple[ServiceShare, ...], start: float) -> None:
        """Initialize the round robin.

        :param start: initial position from 0 to 1. It should be random:
            nodes that all started at the same position would send their
            first requests to the same service.
        """
        self.shares = shares
        self._total = sum(share.weight for share in shares)
        self._credits = [0.0 for _ in shares]
        for _ in range(int(start * MAX_INITIAL_STEPS)):
            self.choose()

    def choose(self) -> str:
        """Return the service for the next request."""
        for index, share in enumerate(self.shares):
            self._credits[index] += share.weight
        best = max(range(len(self.shares)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self.shares[best].service


class RouteSplitter:
    """Distributes the requests of split routes among their services."""

    def __init__(self) -> None:
        self._round_robins: dict[str, _WeightedRoundRobin] = {}

    def choose(self, route: Route, draw: float) -> str:
        """Return the service for the next request of a route.

        :param draw: random number from 0 to 1, which is used only when the
            distribution of a new or changed route is initialized.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        round_robin = self._round_robins.get(route.kind.name)
        if round_robin is None or round_robin.shares != route.shares:
            round_robin = _WeightedRoundRobin(route.shares, draw)
            self._round_robins[route.kind.name] = round_robin
        return round_robin.choose()
