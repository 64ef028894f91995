"""Settings of a node process: addresses, credentials, logging."""

from collections.abc import Mapping
from importlib import resources
from typing import Any, Final, NamedTuple

import orjson

from merlintrail.node._connection_limits import (
    ConnectionLimits,
    build_connection_limits,
)
from merlintrail.protocol import parse_duration
from merlintrail.state import (
    Finding,
    create_validator,
    find_schema_faults,
    parse_json_object,
)

_SCHEMA_NAME: Final = 'settings.schema.json'


class PlatformSettings(NamedTuple):
    """Integration with a deployment platform."""

    #: ``host:port`` for readiness checks.
    ready_address: str
    #: ``host:port`` for the announcements of the backend server.
    announce_address: str
    #: Service of the backend server beside the node.
    service: str
    #: ``host:port`` at which that backend server listens.
    backend_address: str
    #: Region by data centre.
    regions: Mapping[str, str]
    #: Seconds from the stop signal until the process is killed.
    stop_grace_s: float
    #: Retries allowed to a service as a share of its requests, over all
    #: nodes.
    retry_share: float
    #: Retries allowed in addition in each window, over all nodes.
    retry_base: float
    #: Length of the window for retries in seconds.
    retry_window_s: float


class Settings(NamedTuple):
    """Settings that a node process reads at startup.

    Only ``platform``, without its listening addresses, can be changed while
    the process runs; other changes need a restart.
    """

    #: Name of the instance.
    instance: str
    #: Name of the data centre.
    data_centre: str
    #: ``host:port`` for callers and the backend server.
    call_address: str
    #: ``host:port`` for other nodes.
    peer_address: str
    #: ``host:port`` for operators.
    admin_address: str
    #: ``host:port`` of each server of the store, in the order in which they
    #: are tried.
    store_addresses: tuple[str, ...]
    #: Peer addresses of nodes to join through, in addition to the relays
    #: that the store lists.
    join: tuple[str, ...]
    #: Secret shared by all nodes.
    fleet_key: str
    #: Operator name by key.
    operator_keys: Mapping[str, str]
    #: File that logs are written to, if there is one.
    log_path: str | None
    log_level: str
    #: URL of an OTLP/HTTP metrics endpoint, if metrics are exported.
    otlp_endpoint: str | None
    #: ``host:port`` to listen on for nodes, if not ``peer_address``.
    peer_listen_address: str | None = None
    platform: PlatformSettings | None = None
    connection_limits: ConnectionLimits = ConnectionLimits()


class InvalidSettings(NamedTuple):
    """Returned instead of settings that have faults."""

    findings: tuple[Finding, ...]


def parse_settings(text: str) -> Settings | InvalidSettings:
    """Parse and validate settings; report every fault at once."""
    parsed = parse_json_object(text)
    if parsed.findings:
        return InvalidSettings(parsed.findings)
    schema_text = (
        resources.files('merlintrail.node').joinpath(_SCHEMA_NAME).read_text()
    )
    findings = find_schema_faults(
        parsed.document, create_validator(orjson.loads(schema_text))
    )
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
        build_connection_limits(
            document.get('machine', {}), document.get('connections', {})
        ),
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
    assert seconds is not None, 'the settings schema only accepts durations'
    return seconds
