"""JSON lines of a bounded size."""

from collections.abc import Mapping
from typing import Final

import orjson

#: Longest line in bytes that is written as it is.
MAX_LINE_BYTES: Final = 8192
#: Characters of each text in a longer line.
MAX_TEXT_LENGTH: Final = 256
#: Entries of each list and mapping in a longer line.
MAX_ENTRIES: Final = 8


def encode_line(fields: Mapping[str, object]) -> bytes:
    """Encode the fields of a line; shorten them if it gets too long.

    Callers choose some of the texts, such as identifiers and paths.
    """
    line = orjson.dumps(fields, default=str)
    if len(line) <= MAX_LINE_BYTES:
        return line
    shortened = {name: _shorten(field) for name, field in fields.items()}
    return orjson.dumps(shortened, default=str)


def _shorten(field: object) -> object:
    if isinstance(field, str):
        return _shorten_text(field)
    if isinstance(field, list | tuple):
        return [_shorten(entry) for entry in field[:MAX_ENTRIES]]
    if isinstance(field, Mapping):
        entries = list(field.items())[:MAX_ENTRIES]
        return {
            _shorten_text(str(name)): _shorten(entry) for name, entry in entries
        }
    return field


def _shorten_text(text: str) -> str:
    if len(text) <= MAX_TEXT_LENGTH:
        return text
    return f'{text[:MAX_TEXT_LENGTH]}... ({len(text)} characters)'
