"""Repair of what the entries of a document state of each other."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

#: Longest name of a route.
MAX_NAME_LENGTH: Final = 200


def repair_relations(document: dict[str, Any]) -> None:
    """Repair what entries state of each other; each conforms by itself."""
    routes = document.get('routes', ())
    _name_routes(routes)
    for route in routes:
        if 'split' in route:
            _repair_split(route)
    _add_services(document)
    _share_out_keys(document.get('customers', ()))


def _name_routes(routes: Sequence[dict[str, Any]]) -> None:
    """Give each route a name of its own."""
    names: set[str] = set()
    for route in routes:
        number = 2
        original = route['name']
        while route['name'] in names:
            suffix = f'#{number}'
            kept = original[: MAX_NAME_LENGTH - len(suffix)]
            route['name'] = f'{kept}{suffix}'
            number += 1
        names.add(route['name'])


def _repair_split(route: dict[str, Any]) -> None:
    """Add up the weights of each service; close a route without any."""
    weights: defaultdict[str, float] = defaultdict(float)
    for share in route['split']:
        weights[share['service']] += share['weight']
    route['split'] = [
        {'service': name, 'weight': weight} for name, weight in weights.items()
    ]
    if not any(weights.values()):
        del route['split']
        route['closed'] = True


def _add_services(document: dict[str, Any]) -> None:
    """Add the services that only routes name."""
    services = document['services']
    names = {service.get('name') for service in services}
    for route in document.get('routes', ()):
        for name in _list_services(route):
            if name not in names:
                names.add(name)
                services.append({'name': name})


def _list_services(route: Mapping[str, Any]) -> Iterator[str]:
    if 'service' in route:
        yield route['service']
    for share in route.get('split', ()):
        yield share['service']


def _share_out_keys(customers: Sequence[dict[str, Any]]) -> None:
    """Leave each key to the first customer that has it."""
    holders: dict[str, str] = {}
    for customer in customers:
        customer['key_digests'] = [
            digest
            for digest in customer['key_digests']
            if holders.setdefault(digest, customer['name']) == customer['name']
        ]
        if 'rate_per_s' not in customer:
            customer.pop('burst', None)
