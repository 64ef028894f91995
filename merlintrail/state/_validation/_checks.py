"""Validation of configuration documents."""

import json
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence, Set
from datetime import datetime
from typing import Any, NamedTuple

from merlintrail.state._validation._schema import (
    Finding,
    find_schema_faults,
    get_validator,
)


class ParsedDocument(NamedTuple):
    """A document parsed from text, with its faults."""

    document: Mapping[str, Any]
    findings: tuple[Finding, ...]


def parse_json_object(text: str) -> ParsedDocument:
    """Parse a JSON object, with a finding for each duplicate name."""
    findings: list[Finding] = []

    def build_object(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
        counts = Counter(name for name, _ in pairs)
        findings.extend(
            Finding('', f'the name {name!r} is given {count} times')
            for name, count in counts.items()
            if count > 1
        )
        return dict(pairs)

    try:
        document = json.loads(text, object_pairs_hook=build_object)
    except (json.JSONDecodeError, RecursionError) as error:
        return ParsedDocument({}, (Finding('', f'not JSON: {error}'),))
    if not isinstance(document, dict):
        return ParsedDocument({}, (Finding('', 'not a JSON object'),))
    return ParsedDocument(document, tuple(findings))


def parse_document(text: str) -> ParsedDocument:
    """Parse and validate a configuration document."""
    parsed = parse_json_object(text)
    if parsed.findings:
        return parsed
    return ParsedDocument(
        parsed.document, tuple(validate_document(parsed.document))
    )


def validate_document(document: Mapping[str, Any]) -> list[Finding]:
    """Return all faults of a document, an empty list if it is valid.

    The checks across values rely on the schema, so they are made only if the
    document conforms to it.
    """
    findings = find_schema_faults(document, get_validator())
    if not findings:
        findings.extend(_check_names(document))
        findings.extend(_check_routes(document))
        findings.extend(_check_customers(document))
        findings.extend(_check_links(document))
        findings.extend(_check_stops(document))
    return sorted(findings)


def _find_duplicates(
    names: Sequence[str], pointer: str, noun: str
) -> Iterator[Finding]:
    if len(set(names)) == len(names):
        return
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Finding(f'{pointer}/{index}', f'{noun} {name!r} is repeated')
        seen.add(name)


def _check_names(document: Mapping[str, Any]) -> Iterator[Finding]:
    services = document['services']
    yield from _find_duplicates(
        [service['name'] for service in services], '/services', 'service'
    )
    for index, service in enumerate(services):
        pointer = f'/services/{index}/kinds'
        kinds = service.get('kinds', ())
        names = [kind['name'] for kind in kinds]
        yield from _find_duplicates(names, pointer, 'kind')
        patterns = [
            f'{",".join(sorted(kind.get("methods", ("all",))))} {kind["path"]}'
            for kind in kinds
        ]
        yield from _find_duplicates(patterns, pointer, 'methods and path')
    regions = document['regions']
    yield from _find_duplicates(
        [region['name'] for region in regions], '/regions', 'region'
    )
    seen: set[str] = set()
    for index, region in enumerate(regions):
        for data_centre in region['data_centres']:
            if data_centre in seen:
                yield Finding(
                    f'/regions/{index}/data_centres',
                    f'data centre {data_centre!r} is repeated',
                )
            seen.add(data_centre)


def _check_routes(document: Mapping[str, Any]) -> Iterator[Finding]:
    routes = document.get('routes', ())
    yield from _find_duplicates(
        [route['name'] for route in routes], '/routes', 'route'
    )
    yield from _find_duplicates(
        [route['host'].lower() + route['prefix'] for route in routes],
        '/routes',
        'host and prefix',
    )
    services = {service['name'] for service in document['services']}
    for index, route in enumerate(routes):
        if 'split' in route or route.get('service') not in services:
            yield from _check_route(route, f'/routes/{index}', services)


def _check_route(
    route: Mapping[str, Any], pointer: str, services: Set[str]
) -> Iterator[Finding]:
    is_closed = route.get('closed', False)
    if ('service' in route) == ('split' in route) and not is_closed:
        yield Finding(pointer, 'give either service or split')
    split = route.get('split', ())
    names = [entry['service'] for entry in split]
    yield from _find_duplicates(names, f'{pointer}/split', 'service')
    if split and not any(entry['weight'] for entry in split):
        yield Finding(f'{pointer}/split', 'at least one weight must be above 0')
    for name in (*names, route.get('service')):
        if name is not None and name not in services:
            yield Finding(pointer, f'unknown service {name!r}')


def _check_customers(document: Mapping[str, Any]) -> Iterator[Finding]:
    customers = document.get('customers', ())
    yield from _find_duplicates(
        [customer['name'] for customer in customers], '/customers', 'customer'
    )
    holders: dict[str, str] = {}
    for index, customer in enumerate(customers):
        pointer = f'/customers/{index}'
        for digest in customer['key_digests']:
            holder = holders.setdefault(digest, customer['name'])
            if holder != customer['name']:
                yield Finding(
                    f'{pointer}/key_digests',
                    f'a key of {customer["name"]!r} is also one of {holder!r}',
                )
        if customer.get('burst') and 'rate_per_s' not in customer:
            yield Finding(f'{pointer}/burst', 'a burst needs rate_per_s')


def _check_links(document: Mapping[str, Any]) -> Iterator[Finding]:
    regions = {region['name'] for region in document['regions']}
    ledger_region = document.get('ledger', {}).get('region')
    if ledger_region is not None and ledger_region not in regions:
        yield Finding('/ledger/region', f'unknown region {ledger_region!r}')
    pairs: set[frozenset[str]] = set()
    for index, link in enumerate(document.get('links', ())):
        pointer = f'/links/{index}/regions'
        pair = frozenset(link['regions'])
        for name in sorted(pair - regions):
            yield Finding(pointer, f'unknown region {name!r}')
        if len(pair) == 1:
            yield Finding(pointer, 'a link joins two regions')
        if pair in pairs:
            yield Finding(pointer, 'the pair of regions is repeated')
        pairs.add(pair)


def _check_stops(document: Mapping[str, Any]) -> Iterator[Finding]:
    data_centres = {
        data_centre
        for region in document['regions']
        for data_centre in region['data_centres']
    }
    stops = document.get('planned_stops', ())
    yield from _find_duplicates(
        [stop['id'] for stop in stops], '/planned_stops', 'planned stop'
    )
    for index, stop in enumerate(stops):
        pointer = f'/planned_stops/{index}'
        yield from _check_window(stop, pointer)
        is_known = stop.get('data_centre') in data_centres
        if 'data_centre' in stop and not is_known:
            yield Finding(
                f'{pointer}/data_centre',
                f'unknown data centre {stop["data_centre"]!r}',
            )
        if ('data_centre' in stop) == ('instances' in stop):
            yield Finding(pointer, 'give either data_centre or instances')


def _check_window(stop: Mapping[str, Any], pointer: str) -> Iterator[Finding]:
    timestamps = []
    for name in ('starts_at', 'ends_at'):
        try:
            timestamp = datetime.fromisoformat(stop[name])
        except ValueError:
            yield Finding(f'{pointer}/{name}', 'not a date and time (ISO 8601)')
            continue
        if timestamp.tzinfo is None:
            yield Finding(f'{pointer}/{name}', 'needs an offset from UTC')
            continue
        timestamps.append(timestamp)
    if len(timestamps) == 2 and timestamps[0] >= timestamps[1]:
        yield Finding(pointer, 'ends_at must be later than starts_at')
