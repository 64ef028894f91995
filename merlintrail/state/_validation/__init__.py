"""Validation of configuration documents, and repair of faulty ones."""

from merlintrail.state._validation._checks import (
    ParsedDocument,
    parse_document,
    parse_json_object,
    validate_document,
)
from merlintrail.state._validation._repair import (
    RepairedDocument,
    repair_document,
)
from merlintrail.state._validation._schema import (
    Finding,
    create_validator,
    find_schema_faults,
    load_schema,
)

__all__ = (
    'Finding',
    'ParsedDocument',
    'RepairedDocument',
    'create_validator',
    'find_schema_faults',
    'load_schema',
    'parse_document',
    'parse_json_object',
    'repair_document',
    'validate_document',
)
