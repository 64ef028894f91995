"""Settings of one node: addresses, data centre, logging."""

from collections.abc import Mapping
from importlib import resources
from typing import Any, Final, NamedTuple

import orjson

from merlintrail.protocol import parse_duration
from merlintrail.state import (
    Finding,
    find_schema_faults,
    parse_json_object,
)

_SCHEMA_NAME: Final = 'settings.schema.json'


class PlatformSettings(NamedTuple):
    """Where a deployment platform reaches the node, and its bounds."""

    #: ``host:port`` for readiness checks.
    ready_address: str
    #: ``host:port`` for the announcements of the backend server.
    announce_address: str
    #: Service of the backend server beside the node.
    service: str
    #: ``host:port`` at which that backend server listens.
    backend_address: str
    #: Region of each data centre.
    regions: Mapping[str, str]
    #: Seconds from the signal to stop until the process is killed.
    stop_grace_s: float
    #: Retries to a service as a share of its requests, over all nodes.
    retry_share: float
    #: Retries that are allowed besides, in a window over all nodes.
    retry_base: float
    retry_window_s: float


class Settings(NamedTuple):
    """What a process is told at its start; nothing here is behaviour."""

    #: Name of the instance.
    instance: str
    data_centre: str
    #: ``host:port`` for callers and the backend server.
    call_address: str
    #: ``host:port`` for other nodes.
    peer_address: str
    #: ``host:port`` for operators.
    admin_address: str
    #: ``host:port`` of the platform's store, in the order of trial.
    store_addresses: tuple[str, ...]
    #: Peer addresses to join through when the store is down.
    join: tuple[str, ...]
    #: Secret that nodes share.
    fleet_key: str
    #: Name of each operator by key.
    operator_keys: Mapping[str, str]
    log_path: str | None
    log_level: str
    #: URL of an OTLP/HTTP metrics endpoint.
    otlp_endpoint: str | None
    #: ``host:port`` to listen on for nodes, when another than the announced.
    peer_listen_address: str | None = None
    platform: PlatformSettings | None = None


class InvalidSettings(NamedTuple):
    """Sentinel in place of settings that have faults."""

    findings: tuple[Finding, ...]


def parse_settings(text: str) -> Settings | InvalidSettings:
    """Read and check settings; all findings come together."""
    parsed = parse_json_object(text)
    if parsed.findings:
        return InvalidSettings(parsed.findings)
    schema_text = (
        resources.files('merlintrail.node').joinpath(_SCHEMA_NAME).read_text()
    )
    findings = find_schema_faults(parsed.document, orjson.loads(schema_text))
    if findings:
        return InvalidSettings(tuple(sorted(findings)))
    return _build_settings(parsed.document)


def _build_settings(document: Mapping[str, Any]) -> Settings:
    log = document.get('log', {})
    return Settings(
        document['instance'],
        document['data_centre'],
        document['call_address'],
        document['peer_address'],
        document['admin_address'],
        tuple(document['store_addresses']),
        tuple(document.get('join', ())),
        document['fleet_key'],
        {
            entry['key']: entry['name']
            for entry in document.get('operator_keys', ())
        },
        log.get('path'),
        log.get('level', 'INFO').upper(),
        document.get('metrics', {}).get('otlp_endpoint'),
        document.get('peer_listen_address'),
        _build_platform(document.get('platform')),
    )


def _build_platform(
    document: Mapping[str, Any] | None,
) -> PlatformSettings | None:
    if document is None:
        return None
    return PlatformSettings(
        document['ready_address'],
        document['announce_address'],
        document['service'],
        document['backend_address'],
        document['regions'],
        _read_seconds(document['stop_grace']),
        document['retry_share'],
        document['retry_base'],
        _read_seconds(document['retry_window']),
    )


def _read_seconds(text: str) -> float:
    seconds = parse_duration(text)
    assert seconds is not None, 'the schema admits durations only'
    return seconds
