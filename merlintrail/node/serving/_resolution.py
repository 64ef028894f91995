"""Resolution of requests to services and request kinds."""

import random
import re
from typing import Final, NamedTuple

from merlintrail.protocol import Outcome, Reason, Refusal
from merlintrail.state import Configuration, RequestKind, RouteSplitter
from merlintrail.transport import HttpRequest

_TARGET: Final = re.compile('/([^/?#]{1,200})(/[^#]*|[?][^#]*)?$')


class Resolution(NamedTuple):
    """Service, target and kind that a request resolves to."""

    service: str
    #: Path and query that the backend server receives.
    target: str
    kind: RequestKind
    #: Whether a route of the configuration determined the service.
    is_routed: bool
    #: Whether the request needs no API key.
    is_public: bool = False


class ServiceTarget(NamedTuple):
    """A target split into its service and the rest of the path."""

    service: str
    #: Path and query without the service.
    target: str

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]


def split_target(target: str) -> ServiceTarget | None:
    """Split ``/SERVICE/PATH?QUERY``."""
    match = _TARGET.match(target)
    if match is None:
        return None
    path_and_query = match.group(2) or '/'
    if path_and_query.startswith('?'):
        path_and_query = f'/{path_and_query}'
    return ServiceTarget(match.group(1), path_and_query)


class Resolver:
    """Resolves requests by the configured routes, else by their path."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._splitter = RouteSplitter()

    def resolve(
        self, request: HttpRequest, configuration: Configuration
    ) -> Resolution | Refusal:
        """Return the service, target and kind of a request, or a refusal."""
        if configuration.is_routed:
            return self._resolve_route(request, configuration)
        return _resolve_path(request.target, request.method, configuration)

    def _resolve_route(
        self, request: HttpRequest, configuration: Configuration
    ) -> Resolution | Refusal:
        host = request.headers.get('host', '')
        path = request.target.partition('?')[0]
        route = configuration.routes.find(host, path)
        if route is None:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.UNKNOWN_SERVICE,
                f'no route for {path!r} at host {host!r} in generation '
                f'{configuration.generation}',
            )
        if route.is_closed:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.ROUTE_CLOSED,
                f'route {route.kind.name!r} is closed in generation '
                f'{configuration.generation}',
            )
        service = self._splitter.choose(route, self._rng.random())
        return Resolution(
            service,
            request.target,
            route.kind._replace(service=service),
            is_routed=True,
            is_public=route.is_public,
        )


def _resolve_path(
    target: str, method: str, configuration: Configuration
) -> Resolution | Refusal:
    split = split_target(target)
    if split is None:
        return Refusal(
            Outcome.NOT_RUN,
            Reason.BAD_REQUEST,
            'the path must be /SERVICE/PATH',
        )
    service = configuration.services.get(split.service)
    if service is None:
        return Refusal(
            Outcome.NOT_RUN,
            Reason.UNKNOWN_SERVICE,
            f'no service {split.service!r} is configured',
        )
    return Resolution(
        split.service,
        split.target,
        service.find_kind(method, split.path),
        is_routed=False,
    )
