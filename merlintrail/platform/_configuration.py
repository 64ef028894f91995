"""Translation of the platform's configuration into a merlintrail document."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.node import PlatformSettings
from merlintrail.protocol import parse_duration
from merlintrail.state import hash_api_key

_DOCUMENT_FORMAT: Final = 1
#: ``Version`` is a hexadecimal number.
_VERSION_RADIX: Final = 16
#: Largest number that messages between nodes carry.
_MAX_VERSION: Final = (1 << 63) - 1
_MS_PER_S: Final = 1000
#: ``Kind`` of idempotent routes; any other kind counts as not idempotent.
_IDEMPOTENT_KINDS: Final = frozenset(('idempotent', 'download'))
#: Importance by the platform's ``Priority``, of which 0 is the highest. Numbers
#: outside the range are clamped to it.
_IMPORTANCE_BY_PRIORITY: Final = ('critical', 'high', 'normal', 'low')
#: Largest number of attempts of a route in a merlintrail document.
_MAX_ATTEMPTS: Final = 16
#: Longest time limit in milliseconds of a merlintrail document.
_LONGEST_LIMIT_MS: Final = 3600000
#: Seconds over which a cold backend server ramps up to its full share of load.
_WARMUP_S: Final = 3.0


# Conversions of values, each of which returns an unreadable value as it is


def _keep(source: Any) -> Any:
    return source


def _convert_number(source: Any) -> Any:
    """Return a number that may be written as text."""
    if not isinstance(source, str):
        return source
    try:
        number = float(source)
    except ValueError:
        return source
    return number if math.isfinite(number) else source


def _convert_priority(source: Any) -> Any:
    priority = _convert_number(source)
    if not isinstance(priority, int | float):
        return source
    highest = len(_IMPORTANCE_BY_PRIORITY) - 1
    return _IMPORTANCE_BY_PRIORITY[int(min(max(priority, 0), highest))]


def _convert_attempts(source: Any) -> Any:
    """Return the nearest number of attempts that a route may have."""
    if not isinstance(source, int):
        return source
    return min(max(1, source), _MAX_ATTEMPTS)


def _convert_duration(source: Any) -> Any:
    """Return milliseconds."""
    seconds = parse_duration(source) if isinstance(source, str) else None
    if seconds is None:
        return source
    return seconds * _MS_PER_S


def _convert_time_limit(source: Any) -> Any:
    """Return milliseconds, for a duration of 0 the longest limit there is."""
    limit_ms = _convert_duration(source)
    return _LONGEST_LIMIT_MS if limit_ms == 0 else limit_ms


class _Field(NamedTuple):
    """Name and conversion of a translated field."""

    name: str
    convert: Callable[[Any], Any] = _keep


_SERVICE_FIELDS: Final = {'Name': _Field('name')}
_ROUTE_FIELDS: Final = {
    'Name': _Field('name'),
    'Host': _Field('host'),
    'Prefix': _Field('prefix'),
    'Priority': _Field('importance', _convert_priority),
    'Timeout': _Field('timeout_ms', _convert_time_limit),
    'MaxAttempts': _Field('attempts', _convert_attempts),
    'TargetLatency': _Field('objective_ms', _convert_duration),
}
_SHARE_FIELDS: Final = {
    'Service': _Field('service'),
    'Weight': _Field('weight', _convert_number),
}
_CUSTOMER_FIELDS: Final = {
    'Name': _Field('name'),
    'Priority': _Field('importance', _convert_priority),
    'RatePerS': _Field('rate_per_s', _convert_number),
    'Burst': _Field('burst', _convert_number),
}
_LIMIT_FIELDS: Final = {
    'MaxHeaderBytes': _Field('max_header_bytes'),
    'MaxBodyBytes': _Field('max_body_bytes'),
    'HeaderTimeout': _Field('receive_timeout_ms', _convert_time_limit),
    'IdleTimeout': _Field('idle_timeout_ms', _convert_time_limit),
}


# Translation of a configuration and its parts


def build_envelope(
    content: Mapping[str, Any], settings: PlatformSettings
) -> Mapping[str, Any]:
    """Translate the platform's stored configuration into an envelope.

    A part that has no translation is passed on as it is. The product leaves
    it out, or closes the route, and reports it with its place.

    :param content: decoded value of the platform's configuration key.
    :param settings: source of the regions and of the retry budget.
    :raises LookupError, TypeError, ValueError: without a readable version.
    """
    return {
        'generation': _read_version(content['Version']),
        'change_id': str(content['Version']),
        'operator': 'platform',
        'applied_at': 0.0,
        'document': _build_document(content, settings),
    }


def _read_version(version: Any) -> int:
    """Return a version, which is a hexadecimal text or a number.

    :raises TypeError, ValueError: for anything else.
    """
    is_number = isinstance(version, int) and not isinstance(version, bool)
    number: int = version if is_number else int(version, _VERSION_RADIX)
    if not 0 <= number <= _MAX_VERSION:
        raise ValueError(f'version out of range: {version!r}')
    return number


def _build_document(
    content: Mapping[str, Any], settings: PlatformSettings
) -> Mapping[str, Any]:
    routes = _translate_list(content.get('Routes'), _build_route)
    document = {
        'format': _DOCUMENT_FORMAT,
        'services': _translate_list(content.get('Services'), _build_service),
        'routes': sorted(routes, key=_get_sort_key),
        'regions': _build_regions(settings.regions),
        'retry_budget': {
            'share': settings.retry_share,
            'base': settings.retry_base,
            'window_s': settings.retry_window_s,
        },
    }
    if content.get('Tenants'):
        document['customers'] = _translate_list(
            content['Tenants'], _build_customer
        )
    if isinstance(content.get('Limits'), Mapping):
        document['limits'] = _translate(content['Limits'], _LIMIT_FIELDS)
    return document


def _translate_list(
    entries: Any, translate: Callable[[Mapping[str, Any]], dict[str, Any]]
) -> list[Any]:
    """Translate a list of objects; anything else in it stays as it is.

    What is no list is returned as a list of that alone.
    """
    if not isinstance(entries, list):
        return [entries]
    return [
        translate(entry) if isinstance(entry, Mapping) else entry
        for entry in entries
    ]


def _get_sort_key(route: Any) -> str:
    return str(route.get('name')) if isinstance(route, dict) else ''


def _translate(
    source: Mapping[str, Any], fields: Mapping[str, _Field]
) -> dict[str, Any]:
    """Translate the fields that an object has."""
    return {
        field.name: field.convert(source[name])
        for name, field in fields.items()
        if source.get(name) is not None
    }


def _build_service(service: Mapping[str, Any]) -> dict[str, Any]:
    return {**_translate(service, _SERVICE_FIELDS), 'warmup_s': _WARMUP_S}


def _build_route(route: Mapping[str, Any]) -> dict[str, Any]:
    kind = route.get('Kind')
    translated = {
        'importance': _IMPORTANCE_BY_PRIORITY[0],
        'idempotent': isinstance(kind, str) and kind in _IDEMPOTENT_KINDS,
        **_translate(route, _ROUTE_FIELDS),
    }
    if route.get('Public') is True:
        translated['public'] = True
    if translated.get('objective_ms') == 0:
        del translated['objective_ms']
    if route.get('Split'):
        translated['split'] = _translate_list(route['Split'], _build_share)
    elif 'Service' in route:
        translated['service'] = route['Service']
    return translated


def _build_share(share: Mapping[str, Any]) -> dict[str, Any]:
    return _translate(share, _SHARE_FIELDS)


def _build_customer(tenant: Mapping[str, Any]) -> dict[str, Any]:
    """Translate a tenant; rates of 0 and missing ones mean no quota.

    Keys that are no text cannot be sent by any client and are left out.
    """
    keys = tenant.get('ApiKeys')
    translated: dict[str, Any] = {
        'key_digests': _hash_keys(keys if isinstance(keys, list) else []),
        **_translate(tenant, _CUSTOMER_FIELDS),
    }
    if not translated.get('rate_per_s'):
        translated.pop('rate_per_s', None)
        translated.pop('burst', None)
    return translated


def _hash_keys(keys: Sequence[Any]) -> list[str]:
    readable = {key for key in keys if isinstance(key, str) and key}
    return sorted(hash_api_key(key) for key in readable)


def _build_regions(regions: Mapping[str, str]) -> Sequence[Mapping[str, Any]]:
    return [
        {
            'name': name,
            'data_centres': sorted(
                data_centre
                for data_centre, region in regions.items()
                if region == name
            ),
        }
        for name in sorted(set(regions.values()))
    ]
