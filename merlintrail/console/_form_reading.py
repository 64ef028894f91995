"""Conversion of form fields to a document."""

import re
from collections.abc import Mapping
from typing import Any, Final

from merlintrail.console._forms import (
    SEPARATOR,
    is_scalar_list,
    resolve_schema,
)
from merlintrail.state import load_schema

_NUMBER: Final = re.compile(r'-?[0-9]+(\.[0-9]+)?$')


def read_form(fields: Mapping[str, str]) -> dict[str, Any]:
    """Build the document from the fields of a form.

    Text in a number field that is not a number is kept as text, so that
    validation reports it beside the field.
    """
    schema = load_schema()
    document: dict[str, Any] = _read_object(schema, schema, fields, '')
    document['format'] = 1
    return document


def _read_object(
    root: Mapping[str, Any],
    schema: Mapping[str, Any],
    fields: Mapping[str, str],
    path: str,
) -> dict[str, Any]:
    document = {}
    for name, part in schema['properties'].items():
        child_path = f'{path}{SEPARATOR}{name}' if path else name
        child = _read_part(root, resolve_schema(root, part), fields, child_path)
        if child is not None:
            document[name] = child
    return document


def _read_part(
    root: Mapping[str, Any],
    schema: Mapping[str, Any],
    fields: Mapping[str, str],
    path: str,
) -> Any:
    kind = schema.get('type')
    if kind == 'object':
        return _read_object(root, schema, fields, path) or None
    if kind == 'array' and not is_scalar_list(root, schema):
        row_schema = resolve_schema(root, schema['items'])
        rows = [
            _read_object(root, row_schema, fields, f'{path}{SEPARATOR}{row}')
            for row in _list_rows(fields, path)
        ]
        return rows or None
    text = fields.get(path, '').strip()
    if not text:
        return None
    if kind == 'array':
        return [line.strip() for line in text.splitlines() if line.strip()]
    return _read_scalar(schema, text)


def _list_rows(fields: Mapping[str, str], path: str) -> list[int]:
    pattern = re.compile(rf'{re.escape(path)}\.([0-9]+)\.')
    matches = (pattern.match(name) for name in fields)
    return sorted({int(match.group(1)) for match in matches if match})


def _read_scalar(schema: Mapping[str, Any], text: str) -> Any:
    if schema.get('type') == 'boolean':
        return {'true': True, 'false': False}.get(text, text)
    if schema.get('type') in {'number', 'integer'} and _NUMBER.match(text):
        number = float(text)
        return int(number) if number.is_integer() else number
    return text


def edit_rows(document: dict[str, Any], action: str) -> dict[str, Any]:
    """Append an empty row or remove a row, as a button requests.

    :param action: ``add:PATH`` or ``remove:PATH``.
    """
    verb, _, path = action.partition(':')
    *parents, last = path.split(SEPARATOR)
    parent: Any = document
    for part in parents:
        parent = parent[int(part)] if part.isdigit() else parent[part]
    if verb == 'add':
        parent.setdefault(last, []).append({})
    elif verb == 'remove' and last.isdigit():
        parent.pop(int(last))
    return document
