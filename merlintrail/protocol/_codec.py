"""JSON encoding and decoding of typed records."""

import json
from typing import Any, NamedTuple, TypeVar

import orjson

RecordT = TypeVar('RecordT')


class DecodeFailure(NamedTuple):
    """Returned in place of a record that could not be decoded."""

    reason: str


def _encode_tuple(record: object) -> list[object]:
    if isinstance(record, tuple):
        return list(record)
    raise TypeError(f'{type(record).__name__} has no JSON form')


def encode_json(document: object) -> bytes:
    """Encode a document as JSON.

    Keys are sorted so that equal documents encode to equal bytes. Named
    tuples are encoded as arrays.
    """
    return orjson.dumps(
        document, default=_encode_tuple, option=orjson.OPT_SORT_KEYS
    )


def encode_ascii_json(document: object) -> str:
    """Encode a document as JSON of ASCII characters, as headers need it."""
    text = encode_json(document).decode()
    if text.isascii():
        return text
    return json.dumps(orjson.loads(text), separators=(',', ':'))


def decode_json(text: bytes | str) -> Any:
    """Decode a JSON text.

    :returns: the document, or a :class:`DecodeFailure`.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return DecodeFailure(f'not JSON: {error}')


def decode_array_record(
    record_type: type[RecordT], document: object
) -> RecordT | DecodeFailure:
    """Build a ``NamedTuple`` from a JSON array in the order of its fields.

    Additional elements, as a later version may send, are ignored.
    """
    if isinstance(document, DecodeFailure):
        return document
    if not isinstance(document, list):
        return DecodeFailure(f'{record_type.__name__}: not an array')
    fields = document[: len(record_type.__annotations__)]
    try:
        return record_type(*fields)
    except TypeError as error:
        return DecodeFailure(f'{record_type.__name__}: {error}')


def decode_record(
    record_type: type[RecordT], document: object
) -> RecordT | DecodeFailure:
    """Build a ``NamedTuple`` from a JSON object.

    Unknown fields are ignored, so that nodes of different versions can
    exchange records.
    """
    if isinstance(document, DecodeFailure):
        return document
    if not isinstance(document, dict):
        return DecodeFailure(f'{record_type.__name__}: not an object')
    names = record_type.__annotations__
    fields = {name: entry for name, entry in document.items() if name in names}
    try:
        return record_type(**fields)
    except TypeError as error:
        return DecodeFailure(f'{record_type.__name__}: {error}')
