"""Checks of a configuration document; all findings come together."""

import json
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence, Set
from datetime import datetime
from importlib import resources
from typing import Any, Final, NamedTuple

import jsonschema

_SCHEMA_NAME: Final = 'configuration.schema.json'


class Finding(NamedTuple):
    """One fault and its place."""

    #: JSON pointer into the document.
    place: str
    message: str

    def __str__(self) -> str:
        """Return one line for a person."""
        return f'{self.place or "/"}: {self.message}'


class ParsedDocument(NamedTuple):
    """A document read from text, with what is wrong with it."""

    document: Mapping[str, Any]
    findings: tuple[Finding, ...]


def load_schema() -> Mapping[str, Any]:
    """Load the JSON Schema of the document."""
    text = resources.files('merlintrail.state').joinpath(_SCHEMA_NAME)
    schema: Mapping[str, Any] = json.loads(text.read_text())
    return schema


def find_schema_faults(
    document: object, schema: Mapping[str, Any]
) -> list[Finding]:
    """Check a document against a schema."""
    validator = jsonschema.Draft202012Validator(
        schema, format_checker=jsonschema.Draft202012Validator.FORMAT_CHECKER
    )
    return [
        Finding(
            ''.join(f'/{part}' for part in error.absolute_path), error.message
        )
        for error in validator.iter_errors(document)
    ]


def parse_json_object(text: str) -> ParsedDocument:
    """Read a JSON object, with a finding for each name given twice."""
    findings: list[Finding] = []

    def collect(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
        counts = Counter(name for name, _ in pairs)
        findings.extend(
            Finding('', f'the name {name!r} is given {count} times')
            for name, count in counts.items()
            if count > 1
        )
        return dict(pairs)

    try:
        document = json.loads(text, object_pairs_hook=collect)
    except (json.JSONDecodeError, RecursionError) as error:
        return ParsedDocument({}, (Finding('', f'not JSON: {error}'),))
    if not isinstance(document, dict):
        return ParsedDocument({}, (Finding('', 'not a JSON object'),))
    return ParsedDocument(document, tuple(findings))


def parse_document(text: str) -> ParsedDocument:
    """Read and validate a configuration document."""
    parsed = parse_json_object(text)
    if parsed.findings:
        return parsed
    return ParsedDocument(
        parsed.document, tuple(validate_document(parsed.document))
    )


def validate_document(document: Mapping[str, Any]) -> list[Finding]:
    """Return every finding of a document; an empty list means it is valid.

    Cross-checks need the right shape, so they follow a clean schema check.
    """
    findings = find_schema_faults(document, load_schema())
    if not findings:
        findings.extend(_check_names(document))
        findings.extend(_check_routes(document))
        findings.extend(_check_links(document))
        findings.extend(_check_stops(document))
    return sorted(findings)


def _find_repeated(
    names: Sequence[str], place: str, what: str
) -> Iterator[Finding]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Finding(f'{place}/{index}', f'{what} {name!r} is repeated')
        seen.add(name)


def _check_names(document: Mapping[str, Any]) -> Iterator[Finding]:
    services = document['services']
    yield from _find_repeated(
        [service['name'] for service in services], '/services', 'service'
    )
    for index, service in enumerate(services):
        place = f'/services/{index}/kinds'
        kinds = service.get('kinds', ())
        names = [kind['name'] for kind in kinds]
        yield from _find_repeated(names, place, 'kind')
        patterns = [
            f'{",".join(sorted(kind.get("methods", ("all",))))} {kind["path"]}'
            for kind in kinds
        ]
        yield from _find_repeated(patterns, place, 'methods and path')
    regions = document['regions']
    yield from _find_repeated(
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
    yield from _find_repeated(
        [route['name'] for route in routes], '/routes', 'route'
    )
    yield from _find_repeated(
        [f'{route["host"].lower()}{route["prefix"]}' for route in routes],
        '/routes',
        'host and prefix',
    )
    services = {service['name'] for service in document['services']}
    for index, route in enumerate(routes):
        yield from _check_route(route, f'/routes/{index}', services)


def _check_route(
    route: Mapping[str, Any], place: str, services: Set[str]
) -> Iterator[Finding]:
    if ('service' in route) == ('split' in route):
        yield Finding(place, 'give either service or split')
    split = route.get('split', ())
    names = [entry['service'] for entry in split]
    yield from _find_repeated(names, f'{place}/split', 'service')
    if split and not any(entry['weight'] for entry in split):
        yield Finding(f'{place}/split', 'at least one weight must be above 0')
    for name in (*names, route.get('service')):
        if name is not None and name not in services:
            yield Finding(place, f'unknown service {name!r}')


def _check_links(document: Mapping[str, Any]) -> Iterator[Finding]:
    regions = {region['name'] for region in document['regions']}
    ledger_region = document.get('ledger', {}).get('region')
    if ledger_region is not None and ledger_region not in regions:
        yield Finding('/ledger/region', f'unknown region {ledger_region!r}')
    pairs: set[frozenset[str]] = set()
    for index, link in enumerate(document.get('links', ())):
        place = f'/links/{index}/regions'
        pair = frozenset(link['regions'])
        for name in sorted(pair - regions):
            yield Finding(place, f'unknown region {name!r}')
        if len(pair) == 1:
            yield Finding(place, 'a link joins two regions')
        if pair in pairs:
            yield Finding(place, 'the pair of regions is repeated')
        pairs.add(pair)


def _check_stops(document: Mapping[str, Any]) -> Iterator[Finding]:
    data_centres = {
        data_centre
        for region in document['regions']
        for data_centre in region['data_centres']
    }
    stops = document.get('planned_stops', ())
    yield from _find_repeated(
        [stop['id'] for stop in stops], '/planned_stops', 'planned stop'
    )
    for index, stop in enumerate(stops):
        place = f'/planned_stops/{index}'
        yield from _check_window(stop, place)
        known = stop.get('data_centre') in data_centres
        if 'data_centre' in stop and not known:
            yield Finding(
                f'{place}/data_centre',
                f'unknown data centre {stop["data_centre"]!r}',
            )
        if ('data_centre' in stop) == ('instances' in stop):
            yield Finding(place, 'give either data_centre or instances')


def _check_window(stop: Mapping[str, Any], place: str) -> Iterator[Finding]:
    times = []
    for name in ('starts_at', 'ends_at'):
        try:
            moment = datetime.fromisoformat(stop[name])
        except ValueError:
            yield Finding(f'{place}/{name}', 'not a date and time (ISO 8601)')
            continue
        if moment.tzinfo is None:
            yield Finding(f'{place}/{name}', 'needs an offset from UTC')
            continue
        times.append(moment)
    if len(times) == 2 and times[0] >= times[1]:
        yield Finding(place, 'ends_at must be later than starts_at')
