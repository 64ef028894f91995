"""JSON codecs for typed records."""

from typing import Any, NamedTuple, TypeVar

import orjson

RecordT = TypeVar('RecordT')


class DecodeFailure(NamedTuple):
    """Sentinel in place of a record that could not be read."""

    reason: str


def _encode_tuple(record: object) -> list[object]:
    if isinstance(record, tuple):
        return list(record)
    raise TypeError(f'{type(record).__name__} has no JSON form')


def encode_json(document: object) -> bytes:
    """Encode a document with sorted keys, so that equal ones are equal bytes.

    Named tuples become arrays.
    """
    return orjson.dumps(
        document, default=_encode_tuple, option=orjson.OPT_SORT_KEYS
    )


def decode_json(text: bytes | str) -> Any:
    """Decode any JSON text.

    :returns: the document, or a :class:`DecodeFailure`.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return DecodeFailure(f'not JSON: {error}')


def decode_positions(
    record_type: type[RecordT], document: object
) -> RecordT | DecodeFailure:
    """Build a ``NamedTuple`` from a JSON array in the order of its fields.

    Entries beyond the known fields come from a later version and are
    ignored.
    """
    if isinstance(document, DecodeFailure):
        return document
    if not isinstance(document, list):
        return DecodeFailure(f'{record_type.__name__}: not an array')
    known = document[: len(record_type.__annotations__)]
    try:
        return record_type(*known)
    except TypeError as error:
        return DecodeFailure(f'{record_type.__name__}: {error}')


def decode_record(
    record_type: type[RecordT], document: object
) -> RecordT | DecodeFailure:
    """Build a ``NamedTuple`` from a JSON object.

    Fields that the type does not know are ignored, so that nodes of two
    versions understand each other.
    """
    if isinstance(document, DecodeFailure):
        return document
    if not isinstance(document, dict):
        return DecodeFailure(f'{record_type.__name__}: not an object')
    names = record_type.__annotations__
    known = {name: entry for name, entry in document.items() if name in names}
    try:
        return record_type(**known)
    except TypeError as error:
        return DecodeFailure(f'{record_type.__name__}: {error}')
