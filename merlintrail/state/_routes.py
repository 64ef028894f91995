"""Routes by host and path prefix, and splits of a route by weight."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from merlintrail.state._kinds import RequestKind

#: Steps over which the places at which nodes begin a split are spread.
CYCLE_STEPS: Final = 100


class ServiceShare(NamedTuple):
    """A service that takes a part of a route's requests."""

    service: str
    #: Part of the requests in relation to the sum of all weights.
    weight: float


class Route(NamedTuple):
    """Requests of one host and path prefix."""

    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: One entry for a route that is not split.
    shares: tuple[ServiceShare, ...]
    #: Terms of the requests; its service is that of the first share.
    kind: RequestKind


class RouteTable:
    """Finds the route of a request: same host, longest prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def __bool__(self) -> bool:
        """Tell whether there is any route."""
        return bool(self._by_host)

    def __iter__(self) -> Iterator[Route]:
        """Return every route, by host and prefix."""
        for _, prefixes in sorted(self._by_host.items()):
            for _, route in sorted(prefixes.items()):
                yield route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, ``None`` when there is none.

        :param host: the Host header; a port in it is ignored.
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
        found = self._by_host.get(host)
        if found is None and ':' in host:
            return self._by_host.get(host.rpartition(':')[0])
        return found


class _Split:
    """Smooth weighted round robin over the shares of one route."""

    def __init__(self, shares: tuple[ServiceShare, ...], start: float) -> None:
        """Begin a split.

        :param start: place in the cycle from 0 to 1, so that many nodes
            together do not favour one share.
        """
        self.shares = shares
        self._total = sum(share.weight for share in shares)
        self._credits = [0.0 for _ in shares]
        for _ in range(int(start * CYCLE_STEPS)):
            self.choose()

    def choose(self) -> str:
        """Return the service that is owed the next request."""
        for place, share in enumerate(self.shares):
            self._credits[place] += share.weight
        best = max(range(len(self.shares)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self.shares[best].service


class RouteSplitter:
    """Divides the requests of split routes among their services."""

    def __init__(self) -> None:
        self._splits: dict[str, _Split] = {}

    def choose(self, route: Route, draw: float) -> str:
        """Return the service for the next request of a route.

        :param draw: random number from 0 to 1, used once for each split.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._splits.get(route.kind.name)
        if split is None or split.shares != route.shares:
            split = _Split(route.shares, draw)
            self._splits[route.kind.name] = split
        return split.choose()
