"""The operator's configuration on the platform, as our own document."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from merlintrail.node import PlatformSettings
from merlintrail.protocol import parse_duration

_FORMAT: Final = 1
_VERSION_BASE: Final = 16
_MS_PER_S: Final = 1000
_IDEMPOTENT: Final = 'idempotent'
#: Importance by rank, 0 the highest; lower ranks are of low importance.
_IMPORTANCES: Final = ('critical', 'high', 'normal', 'low')
#: Seconds over which a cold backend server gets its full share.
_WARMUP_S: Final = 3.0


def build_envelope(
    content: Mapping[str, Any], settings: PlatformSettings
) -> Mapping[str, Any]:
    """Build the envelope of our document from a stored configuration.

    :raises LookupError, TypeError, ValueError: for another shape.
    """
    return {
        'generation': int(content['Version'], _VERSION_BASE),
        'change_id': content['Version'],
        'operator': 'platform',
        'applied_at': 0.0,
        'document': _build_document(content, settings),
    }


def _build_document(
    content: Mapping[str, Any], settings: PlatformSettings
) -> Mapping[str, Any]:
    routes = [_build_route(route) for route in content['Routes']]
    routes.sort(key=lambda route: str(route['name']))
    document = {
        'format': _FORMAT,
        'services': [
            {'name': service['Name'], 'warmup_s': _WARMUP_S}
            for service in content['Services']
        ],
        'routes': routes,
        'regions': _build_regions(settings.regions),
        'retry_budget': {
            'share': settings.retry_share,
            'base': settings.retry_base,
            'window_s': settings.retry_window_s,
        },
    }
    if 'Limits' in content:
        document['limits'] = _build_limits(content['Limits'])
    return document


def _build_route(route: Mapping[str, Any]) -> dict[str, Any]:
    built = {
        'name': route['Name'],
        'host': route['Host'],
        'prefix': route['Prefix'],
        'importance': _read_importance(route.get('Priority', 0)),
        'idempotent': route['Kind'] == _IDEMPOTENT,
        'timeout_ms': _read_ms(route['Timeout']),
        'attempts': max(1, route.get('MaxAttempts', 1)),
    }
    if 'TargetLatency' in route:
        built['objective_ms'] = _read_ms(route['TargetLatency'])
    if 'Split' in route:
        built['split'] = [
            {'service': part['Service'], 'weight': part['Weight']}
            for part in route['Split']
        ]
    else:
        built['service'] = route['Service']
    return built


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


def _build_limits(limits: Mapping[str, Any]) -> Mapping[str, Any]:
    return {
        'max_header_bytes': limits['MaxHeaderBytes'],
        'max_body_bytes': limits['MaxBodyBytes'],
        'receive_timeout_ms': _read_ms(limits['HeaderTimeout']),
        'idle_timeout_ms': _read_ms(limits['IdleTimeout']),
    }


def _read_importance(rank: int) -> str:
    return _IMPORTANCES[min(max(rank, 0), len(_IMPORTANCES) - 1)]


def _read_ms(text: str) -> float:
    seconds = parse_duration(text)
    if seconds is None:
        raise ValueError(f'not a duration: {text!r}')
    return seconds * _MS_PER_S
