"""HTML forms generated from the JSON Schema of the document."""

from collections.abc import Iterator, Mapping, Sequence
from html import escape
from typing import Any, Final, NamedTuple

from merlintrail.state import Finding, load_schema

#: Separates the steps of the path that names a form field.
SEPARATOR: Final = '.'
_LABELS: Final = {
    'idempotent': 'Idempotent (may safely run twice)',
    'importance': 'Importance',
    'deadline_ms': 'Deadline (ms)',
    'queue_limit_ms': 'Longest wait for a slot (ms)',
    'warmup_s': 'Warm-up of a cold backend server (s)',
    'retries': 'Retries over the whole call tree',
    'retention_s': 'Retention of keys (s)',
    'expiry_s': 'Expiry (s)',
    'megabytes_per_s': 'Allowance (MB/s)',
    'starts_at': 'Starts at (ISO 8601 with offset)',
    'ends_at': 'Ends at (ISO 8601 with offset)',
    'writes_per_s': 'Writes to the store a second, over all slots',
    'share': 'Share of first attempts that may be retried',
}


class FormContext(NamedTuple):
    """The schema that a form is rendered from, and findings to show in it."""

    schema: Mapping[str, Any]
    #: Findings by JSON pointer.
    findings: Mapping[str, Sequence[str]]


def build_context(findings: Sequence[Finding]) -> FormContext:
    """Group the findings of a document by the field that they concern."""
    by_pointer: dict[str, list[str]] = {}
    for finding in findings:
        by_pointer.setdefault(finding.place, []).append(finding.message)
    return FormContext(load_schema(), by_pointer)


def resolve_schema(
    schema: Mapping[str, Any], part: Mapping[str, Any]
) -> Mapping[str, Any]:
    """Return the definition that a part refers to, or the part itself."""
    reference = part.get('$ref')
    if reference is None:
        return part
    resolved: Mapping[str, Any] = schema['$defs'][reference.rpartition('/')[2]]
    return resolved


def is_scalar_list(schema: Mapping[str, Any], part: Mapping[str, Any]) -> bool:
    """Return whether the entries of an array are not objects."""
    return resolve_schema(schema, part['items']).get('type') != 'object'


def _make_label(name: str) -> str:
    return _LABELS.get(name, name.replace('_', ' ').capitalize())


def render_form(context: FormContext, document: Mapping[str, Any]) -> str:
    """Render the fields of a whole document as HTML."""
    return ''.join(_render_object(context, context.schema, document, ''))


def _render_object(
    context: FormContext,
    schema: Mapping[str, Any],
    document: Mapping[str, Any],
    path: str,
) -> Iterator[str]:
    yield _render_findings(context, path, '')
    for name, part in schema['properties'].items():
        if name == 'format':
            continue
        child_path = f'{path}{SEPARATOR}{name}' if path else name
        yield from _render_part(
            context,
            resolve_schema(context.schema, part),
            document.get(name),
            child_path,
        )


def _render_part(
    context: FormContext,
    schema: Mapping[str, Any],
    document: Any,
    path: str,
) -> Iterator[str]:
    name = path.rpartition(SEPARATOR)[2]
    kind = schema.get('type')
    if kind == 'object':
        yield f'<fieldset><legend>{_make_label(name)}</legend>'
        child_document = document if isinstance(document, dict) else {}
        yield from _render_object(context, schema, child_document, path)
        yield '</fieldset>'
    elif kind == 'array' and not is_scalar_list(context.schema, schema):
        yield from _render_rows(context, schema, document or [], path)
    else:
        yield _render_field(context, schema, document, path)


def _render_rows(
    context: FormContext,
    schema: Mapping[str, Any],
    entries: Sequence[Any],
    path: str,
) -> Iterator[str]:
    name = path.rpartition(SEPARATOR)[2]
    row_schema = resolve_schema(context.schema, schema['items'])
    yield f'<fieldset><legend>{_make_label(name)}</legend>'
    yield _render_findings(context, path, '')
    for number, entry in enumerate(entries):
        row = f'{path}{SEPARATOR}{number}'
        title = entry.get('name', entry.get('id', '')) or f'no. {number + 1}'
        yield f'<fieldset class="row"><legend>{escape(str(title))}</legend>'
        # Keeps the row in the submitted form even without other fields.
        yield f'<input type="hidden" name="{row}{SEPARATOR}" value="">'
        yield from _render_object(context, row_schema, entry, row)
        yield (
            f'<button name="do" value="remove:{row}">'
            f'Remove this entry</button></fieldset>'
        )
    yield (
        f'<button name="do" value="add:{path}">Add to {_make_label(name)}'
        '</button></fieldset>'
    )


def _render_findings(context: FormContext, path: str, field_id: str) -> str:
    pointer = ''.join(f'/{part}' for part in path.split(SEPARATOR) if part)
    messages = context.findings.get(pointer, ())
    if not messages:
        return ''
    id_attribute = f' id="{field_id}-error"' if field_id else ''
    text = escape('; '.join(messages))
    return f'<span class="error" role="alert"{id_attribute}>{text}</span>'


def _render_field(
    context: FormContext,
    schema: Mapping[str, Any],
    document: Any,
    path: str,
) -> str:
    name = path.rpartition(SEPARATOR)[2]
    field_id = f'f-{path.replace(SEPARATOR, "-")}'
    findings = _render_findings(context, path, field_id)
    description_attribute = (
        f' aria-describedby="{field_id}-error"' if findings else ''
    )
    attributes = f'id="{field_id}" name="{escape(path)}"{description_attribute}'
    return (
        f'<p><label for="{field_id}">{_make_label(name)}</label> '
        f'{_render_control(schema, document, attributes)} {findings}</p>'
    )


def _render_control(
    schema: Mapping[str, Any], document: Any, attributes: str
) -> str:
    if schema.get('type') == 'array':
        lines = document if isinstance(document, list) else []
        text = escape('\n'.join(str(line) for line in lines))
        return (
            f'<textarea {attributes} rows="2" '
            f'title="one entry a line">{text}</textarea>'
        )
    if schema.get('type') == 'boolean':
        return _render_choice(('true', 'false'), document, attributes)
    if 'enum' in schema:
        return _render_choice(schema['enum'], document, attributes)
    text = '' if document is None else escape(str(document))
    return f'<input {attributes} value="{text}">'


def _render_choice(
    choices: Sequence[str], document: Any, attributes: str
) -> str:
    current = '' if document is None else str(document).lower()
    options = ''.join(
        f'<option{" selected" if choice == current else ""}>{choice}</option>'
        for choice in ('', *choices)
    )
    return f'<select {attributes}>{options}</select>'
