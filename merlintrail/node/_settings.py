"""Settings of one node: addresses, data centre, logging."""

from collections.abc import Mapping
from importlib import resources
from typing import Any, Final, NamedTuple

import orjson

from merlintrail.state import (
    Finding,
    find_schema_faults,
    parse_json_object,
)

_SCHEMA_NAME: Final = 'settings.schema.json'


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
    )
