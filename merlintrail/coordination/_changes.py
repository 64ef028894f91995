"""Changes of the configuration document by compare-and-swap."""

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

#: Store key of the document in force.
CONFIGURATION_KEY: Final = 'configuration'
#: Prefix of the store keys that hold each generation's document.
HISTORY_PREFIX: Final = 'history/configuration/'
#: Attempts to write a document; a write whose answer was lost is repeated.
MAX_WRITE_ATTEMPTS: Final = 5


class ChangeConflict(NamedTuple):
    """Returned when another change was made first."""

    #: The document in force now.
    current: Envelope


class ChangeInvalid(NamedTuple):
    """Returned when the document is not valid."""

    findings: tuple[Finding, ...]


class StoredDocument(NamedTuple):
    """The document in the store; generation 0 when there is none."""

    envelope: Envelope
    #: Version of the key in the store, 0 when there is none.
    version: int


def read_envelope(document: object) -> Envelope | DecodeFailure:
    """Decode an envelope from a stored document."""
    envelope = decode_record(Envelope, document)
    if isinstance(envelope, DecodeFailure):
        return envelope
    fields: Mapping[str, Any] = envelope._asdict()
    if not isinstance(fields['generation'], int):
        return DecodeFailure('Envelope: the generation is not a whole number')
    if not isinstance(fields['document'], dict):
        return DecodeFailure('Envelope: the document is not an object')
    return envelope


def create_empty_envelope() -> Envelope:
    """Create the envelope that stands for a missing document."""
    return Envelope(0, '', '', 0.0, {})


def read_stored_document(
    client: StoreClient, key: str = CONFIGURATION_KEY
) -> StoredDocument | StoreFailure:
    """Read a document from the store."""
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
    """Read documents by generation, the newest first.

    Generations that are missing or unreadable are left out.

    :param newest: generation to begin with.
    :param count: number of generations to read.
    """
    envelopes = []
    for generation in range(newest, max(0, newest - count), -1):
        stored = read_stored_document(client, f'{HISTORY_PREFIX}{generation}')
        if isinstance(stored, StoreFailure) or not stored.version:
            continue
        envelopes.append(stored.envelope)
    return envelopes


class ConfigurationChange(NamedTuple):
    """A document that an operator wants to put in force."""

    document: Mapping[str, Any]
    #: Generation that the change is based on.
    seen_generation: int
    #: Name of the operator's key.
    operator: str
    #: Unique identifier, which the stored envelope carries.
    change_id: str
    #: Seconds since the epoch.
    applied_at: float
    #: Generation in force at the node that makes the change. It is higher
    #: than the stored one when the store was restored from an older copy.
    current_generation: int = 0


def apply_change(
    client: StoreClient, change: ConfigurationChange
) -> Envelope | ChangeConflict | ChangeInvalid | StoreFailure:
    """Put a document in force unless it was changed in the meantime.

    A write whose answer was lost is repeated with the same expected version.
    The repeated write either succeeds or conflicts, and after a conflict the
    change id shows whose write took effect.
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
        max(stored.envelope.generation, change.current_generation) + 1,
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
