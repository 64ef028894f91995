"""JSON Schemas and the violations of them."""

import functools
import json
from importlib import resources
from typing import Any, Final, NamedTuple, cast

import jsonschema_rs

_SCHEMA_NAME: Final = 'configuration.schema.json'
#: Keywords of bounds that a number may take itself.
_INCLUSIVE_BOUNDS: Final = ('minimum', 'maximum')


class Finding(NamedTuple):
    """One fault of a document."""

    #: JSON pointer to the faulty value.
    place: str
    message: str

    def __str__(self) -> str:
        """Return a one-line description."""
        return f'{self.place or "/"}: {self.message}'


class SchemaFault(NamedTuple):
    """A violation of a schema."""

    #: Names and indexes that lead to the faulty value.
    path: tuple[str | int, ...]
    message: str
    #: Names of members that the schema does not know.
    unexpected: tuple[str, ...] = ()
    #: Nearest number that the schema allows, ``None`` for other faults.
    limit: float | None = None


@functools.cache
def load_schema() -> dict[str, Any]:
    """Load the JSON Schema of the configuration document."""
    text = resources.files('merlintrail.state').joinpath(_SCHEMA_NAME)
    schema: dict[str, Any] = json.loads(text.read_text())
    return schema


def create_validator(
    schema: dict[str, Any],
) -> jsonschema_rs.Draft202012Validator:
    """Compile a JSON Schema."""
    return jsonschema_rs.Draft202012Validator(schema)


def find_schema_faults(
    document: object, validator: jsonschema_rs.Draft202012Validator
) -> list[Finding]:
    """Return the faults of a document according to a schema."""
    return [
        Finding(''.join(f'/{part}' for part in fault.path), fault.message)
        for fault in _list_faults(document, validator)
    ]


def list_schema_faults(document: object) -> list[SchemaFault]:
    """Return the violations of the configuration schema in a document."""
    return _list_faults(document, get_validator())


def _list_faults(
    document: object, validator: jsonschema_rs.Draft202012Validator
) -> list[SchemaFault]:
    try:
        errors = list(validator.iter_errors(document))
    except ValueError as error:
        # Such as text that has no UTF-8 form.
        return [SchemaFault((), str(error))]
    return [
        SchemaFault(
            tuple(error.instance_path),
            error.message,
            tuple(getattr(error.kind, 'unexpected', ())),
            _read_limit(error),
        )
        for error in errors
    ]


def _read_limit(error: jsonschema_rs.ValidationError) -> float | None:
    """Return the bound of a number that is out of range."""
    if error.schema_path[-1] not in _INCLUSIVE_BOUNDS:
        return None
    return cast(float, getattr(error.kind, 'limit', None))


@functools.cache
def get_validator() -> jsonschema_rs.Draft202012Validator:
    """Return the compiled schema of the configuration document."""
    return create_validator(load_schema())
