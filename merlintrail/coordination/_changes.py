"""Changing the configuration by compare-and-swap."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from merlintrail.coordination._store import (
    StoreFailure,
    StoreFault,
    StoreValue,
)
from merlintrail.coordination._store_client import StoreClient
from merlintrail.protocol import DecodeFailure, decode_record
from merlintrail.state import Envelope, Finding, validate_document

#: Key of the document in force.
CONFIGURATION_KEY: Final = 'configuration'
#: Prefix of earlier documents, by generation.
HISTORY_PREFIX: Final = 'history/configuration/'
#: Times that a write with a lost answer is settled by writing it again.
MAX_WRITE_ATTEMPTS: Final = 5


class ChangeConflict(NamedTuple):
    """Sentinel: another operator changed the document first."""

    #: What is in force now.
    current: Envelope


class ChangeInvalid(NamedTuple):
    """Sentinel: the document has faults."""

    findings: tuple[Finding, ...]


class StoredDocument(NamedTuple):
    """The document in the store; generation 0 when there is none."""

    envelope: Envelope
    version: int


def read_envelope(document: object) -> Envelope | DecodeFailure:
    """Read an envelope from JSON."""
    return decode_record(Envelope, document)


def create_empty_envelope() -> Envelope:
    """Create the envelope that stands for no document."""
    return Envelope(0, '', '', 0.0, {})


def read_stored_document(
    client: StoreClient, key: str = CONFIGURATION_KEY
) -> StoredDocument | StoreFailure:
    """Read the document from the store."""
    value = client.read(key)
    if isinstance(value, StoreFailure):
        if value.fault == StoreFault.NOT_FOUND:
            return StoredDocument(create_empty_envelope(), 0)
        return value
    return _read_stored(value)


def _read_stored(value: StoreValue) -> StoredDocument | StoreFailure:
    envelope = read_envelope(value.document)
    if isinstance(envelope, DecodeFailure):
        return StoreFailure(StoreFault.UNKNOWN, envelope.reason)
    return StoredDocument(envelope, value.version)


def read_history(
    client: StoreClient, newest: int, count: int
) -> list[Envelope]:
    """Read earlier documents, the newest first."""
    envelopes = []
    for generation in range(newest, max(0, newest - count), -1):
        stored = read_stored_document(client, f'{HISTORY_PREFIX}{generation}')
        if isinstance(stored, StoreFailure) or not stored.version:
            continue
        envelopes.append(stored.envelope)
    return envelopes


class ConfigurationChange(NamedTuple):
    """A document that an operator wants in force."""

    document: Mapping[str, Any]
    #: Generation that the operator saw.
    seen_generation: int
    operator: str
    change_id: str
    #: Seconds since the epoch.
    applied_at: float


def apply_change(
    client: StoreClient, change: ConfigurationChange
) -> Envelope | ChangeConflict | ChangeInvalid | StoreFailure:
    """Put a document in force if nobody changed it meanwhile.

    A write whose answer is lost is written again with the same expected
    version: it then either succeeds or collides, and in a collision the
    change id tells whose write it was.
    """
    findings = validate_document(change.document)
    if findings:
        return ChangeInvalid(tuple(findings))
    stored = read_stored_document(client)
    if isinstance(stored, StoreFailure):
        return stored
    if stored.envelope.generation != change.seen_generation:
        return _resolve_conflict(stored.envelope, change.change_id)
    envelope = Envelope(
        stored.envelope.generation + 1,
        change.change_id,
        change.operator,
        change.applied_at,
        change.document,
    )
    outcome = _write_envelope(client, envelope, stored.version)
    if isinstance(outcome, Envelope):
        _write_history(client, outcome)
    return outcome


def _resolve_conflict(
    current: Envelope, change_id: str
) -> Envelope | ChangeConflict:
    if current.change_id == change_id:
        return current
    return ChangeConflict(current)


def _write_envelope(
    client: StoreClient, envelope: Envelope, version: int
) -> Envelope | ChangeConflict | StoreFailure:
    written: int | StoreFailure = StoreFailure(StoreFault.UNKNOWN, '')
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = client.write(CONFIGURATION_KEY, envelope._asdict(), version)
        if not isinstance(written, StoreFailure):
            return envelope
        if written.fault == StoreFault.CONFLICT:
            stored = read_stored_document(client)
            if isinstance(stored, StoreFailure):
                continue
            return _resolve_conflict(stored.envelope, envelope.change_id)
        if written.fault == StoreFault.UNAVAILABLE:
            return written
    assert isinstance(written, StoreFailure)
    return written


def _write_history(client: StoreClient, envelope: Envelope) -> None:
    client.write(
        f'{HISTORY_PREFIX}{envelope.generation}', envelope._asdict(), 0
    )
