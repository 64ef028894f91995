"""Repair of documents, so that a faulty part costs that part alone.

A document from the store was accepted by its writer. A node puts in force
whatever it can read of it; see ``docs/design/configuration.md``.
"""

import copy
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.state._validation._checks import validate_document
from merlintrail.state._validation._relations import (
    MAX_NAME_LENGTH,
    repair_relations,
)
from merlintrail.state._validation._schema import (
    Finding,
    SchemaFault,
    list_schema_faults,
    load_schema,
)

#: Lists whose entries are repaired or left out one by one, with the names of
#: their definitions in the schema.
_ENTRY_DEFINITIONS: Final[Mapping[str, str]] = {
    'services': 'service',
    'routes': 'route',
    'customers': 'customer',
}
#: Other lists; an entry with a fault is left out.
_PLAIN_LISTS: Final = ('regions', 'links', 'planned_stops')
#: Values of fields that a route must have, if its own cannot be read.
_ROUTE_DEFAULTS: Final[Mapping[str, Any]] = {
    'importance': 'normal',
    'idempotent': False,
    'timeout_ms': 10000,
}
#: Members without which nothing can be served, or anything could be: without
#: customers, no key would be needed.
_ESSENTIAL_MEMBERS: Final = ('format', 'services', 'regions', 'customers')
#: Upper limit on the passes over a document. Each leaves out what the one
#: before has uncovered, such as a service that had an unreadable name.
_MAX_PASSES: Final = 8
#: Lists within an entry of which only the faulty parts are left out.
_REPAIRED_LISTS: Final = ('kinds', 'key_digests')


class RepairedDocument(NamedTuple):
    """A valid document and the faults of the one that it was made from."""

    document: Mapping[str, Any]
    #: Places refer to the original document.
    findings: tuple[Finding, ...]


def repair_document(document: Mapping[str, Any]) -> RepairedDocument | None:
    """Return a valid document with all parts of another that can be served.

    :returns: ``None`` if nothing of it can be, as without any region.
    """
    findings = validate_document(document)
    if not findings:
        return RepairedDocument(document, ())
    repaired: dict[str, Any] = copy.deepcopy(dict(document))
    for _ in range(_MAX_PASSES):
        if not _conform(repaired):
            return None
        repair_relations(repaired)
        if _lacks_essentials(document, repaired):
            return None
        remaining = validate_document(repaired)
        if not remaining:
            return RepairedDocument(repaired, tuple(findings))
        _leave_out(repaired, remaining)
    return None


def _conform(document: dict[str, Any]) -> bool:
    """Repair members and entries until the document conforms to the schema.

    Only the list of services may be empty; relations may add some to it.

    :returns: whether it does.
    """
    for _ in range(_MAX_PASSES):
        _repair_members(document)
        _repair_entries(document)
        _remove_marked(document)
        faults = list_schema_faults(document)
        if all(fault.path == ('services',) for fault in faults):
            return True
    return False


def _remove_marked(document: dict[str, Any]) -> None:
    """Remove the entries that were replaced by ``None``."""
    for name in (*_ENTRY_DEFINITIONS, *_PLAIN_LISTS):
        if name in document:
            document[name] = [
                entry for entry in document[name] if entry is not None
            ]


def _lacks_essentials(
    document: Mapping[str, Any], repaired: Mapping[str, Any]
) -> bool:
    """Return whether a member is missing that its document cannot do without."""
    return any(
        not repaired.get(name)
        for name in _ESSENTIAL_MEMBERS
        if name in document or name != 'customers'
    )


# Members of the document and entries of its lists, one by one


def _repair_members(document: dict[str, Any]) -> None:
    """Give lists that must be there a list; leave out unreadable members."""
    for name in (*_ENTRY_DEFINITIONS, *_PLAIN_LISTS):
        is_needed = name == 'services' or name in document
        if is_needed and not isinstance(document.get(name), list):
            document[name] = []
    for fault in list_schema_faults(document):
        member = fault.path[0] if fault.path else ''
        if member in _PLAIN_LISTS:
            _mark_part(document[str(member)], fault.path[1:])
        elif member not in _ENTRY_DEFINITIONS:
            _repair_member(document, fault)


def _repair_member(document: dict[str, Any], fault: SchemaFault) -> None:
    """Repair a field of a member, or leave the member out if it has none."""
    member = document.get(str(fault.path[0])) if fault.path else None
    if len(fault.path) > 1 and isinstance(member, dict):
        _repair_value(member, fault.path[1:], fault)
    else:
        _repair_value(document, fault.path, fault)


def _repair_value(
    container: dict[str, Any], path: Sequence[str | int], fault: SchemaFault
) -> None:
    """Repair a value within a document or an entry, or leave it out.

    :param path: place of the value within the container.
    """
    if fault.unexpected:
        _remove_members(_find(container, path), fault.unexpected)
    elif fault.limit is not None:
        _limit_number(_find(container, path[:-1]), path[-1], fault.limit)
    elif len(path) > 1 and path[0] in _REPAIRED_LISTS:
        _mark_part(container.get(str(path[0])), path[1:])
    elif path:
        container.pop(str(path[0]), None)


def _remove_members(parent: Any, names: Sequence[str]) -> None:
    if isinstance(parent, dict):
        for name in names:
            parent.pop(name, None)


def _limit_number(parent: Any, name: str | int, limit: float) -> None:
    if isinstance(parent, dict) and name in parent:
        parent[name] = limit


def _mark_part(parts: Any, path: Sequence[str | int]) -> None:
    """Replace a part of a list by ``None``, for a later step to remove.

    :param path: place within the list; nothing is done for the list itself.
    """
    if isinstance(parts, list) and path and path[0] in range(len(parts)):
        parts[int(path[0])] = None


def _find(container: Any, path: Sequence[str | int]) -> Any:
    """Return the value at a place, ``None`` if it was left out."""
    for part in path:
        try:
            container = container[part]
        except (LookupError, TypeError):
            return None
    return container


def _repair_entries(document: dict[str, Any]) -> None:
    faults: defaultdict[tuple[str | int, ...], list[SchemaFault]] = defaultdict(
        list
    )
    for fault in list_schema_faults(document):
        if len(fault.path) > 1 and fault.path[0] in _ENTRY_DEFINITIONS:
            faults[fault.path[:2]].append(fault)
    for (name, index), entry_faults in faults.items():
        entries = document[str(name)]
        entries[index] = _repair_entry(
            entries[index], _ENTRY_DEFINITIONS[str(name)], entry_faults
        )


def _repair_entry(
    entry: Any, definition: str, faults: Sequence[SchemaFault]
) -> dict[str, Any] | None:
    """Return an entry without its faulty fields, ``None`` if nothing is left."""
    if not isinstance(entry, dict):
        return None
    for fault in faults:
        _repair_value(entry, fault.path[2:], fault)
    for list_name in _REPAIRED_LISTS:
        if list_name in entry:
            entry[list_name] = [
                part for part in entry[list_name] if part is not None
            ]
    if definition == 'route':
        return _complete_route(entry)
    required = load_schema()['$defs'][definition]['required']
    return entry if set(required) <= set(entry) else None


def _complete_route(entry: dict[str, Any]) -> dict[str, Any] | None:
    """Complete a route with defaults; close it if it leads nowhere."""
    if 'host' not in entry or 'prefix' not in entry:
        return None
    name = f'{entry["host"]}{entry["prefix"]}'[:MAX_NAME_LENGTH]
    completed = {**_ROUTE_DEFAULTS, 'name': name, **entry}
    if 'service' in completed and 'split' in completed:
        del completed['service']
    if 'service' not in completed and 'split' not in completed:
        completed['closed'] = True
    return completed


def _leave_out(document: dict[str, Any], findings: Sequence[Finding]) -> None:
    """Remove the entries, or else the fields, that still have findings."""
    for finding in findings:
        _, name, *rest = f'{finding.place}/'.split('/')
        entries = document.get(name)
        if isinstance(entries, list) and rest and rest[0].isdigit():
            entries[int(rest[0])] = None
        elif isinstance(entries, dict) and rest:
            entries.pop(rest[0], None)
    _remove_marked(document)
