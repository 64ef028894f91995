"""Documents split into sections, so that only changed ones are sent.

A node sends the content hashes of its sections and receives those sections
that differ.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeAlias

import xxhash

from merlintrail.protocol import encode_json
from merlintrail.state import Envelope

_SERVICE_PREFIX: Final = 'services/'
#: Lists with many named entries, each of which changes often.
_SPREAD_LISTS: Final = ('routes', 'customers')
#: Sections over which such a list is spread by the hash of the names.
SPREAD_SECTIONS: Final = 16

Sections: TypeAlias = Mapping[str, Any]


class SectionedEnvelope(NamedTuple):
    """An envelope that carries the changed sections of its document."""

    generation: int
    #: Identifier of the change that put the document in force.
    change_id: str
    #: Name of the operator's key.
    operator: str
    #: Seconds since the epoch.
    applied_at: float
    #: Names of all sections, services in the document's order.
    names: Sequence[str]
    #: Sections that the receiver does not have.
    sections: Sections


def split_document(document: Mapping[str, Any]) -> dict[str, Any]:
    """Split a document into named sections.

    Each service is a section, and so is each other member of the document
    except routes and customers. There are many of those and they change often,
    so that they are spread over a fixed number of sections by their names.
    """
    sections: dict[str, Any] = {
        f'{_SERVICE_PREFIX}{service["name"]}': service
        for service in document['services']
    }
    for name, section in document.items():
        if name in _SPREAD_LISTS:
            sections.update(_spread_list(name, section))
        elif name != 'services':
            sections[name] = section
    return sections


def _spread_list(name: str, entries: Sequence[Any]) -> dict[str, Any]:
    sections: dict[str, Any] = {
        f'{name}/{number}': [] for number in range(SPREAD_SECTIONS)
    }
    for entry in entries:
        digest = xxhash.xxh3_64_intdigest(entry['name'].encode())
        sections[f'{name}/{digest % SPREAD_SECTIONS}'].append(entry)
    return sections


def join_sections(sections: Sections) -> dict[str, Any]:
    """Assemble a document from its sections, spread lists ordered by name."""
    document: dict[str, Any] = {'services': []}
    for name, section in sections.items():
        list_name = name.partition('/')[0]
        if name.startswith(_SERVICE_PREFIX):
            document['services'].append(section)
        elif list_name in _SPREAD_LISTS:
            document.setdefault(list_name, []).extend(section)
        else:
            document[name] = section
    for list_name in _SPREAD_LISTS:
        if list_name in document:
            document[list_name].sort(key=_get_name)
    return document


def _get_name(entry: Mapping[str, Any]) -> str:
    return str(entry['name'])


def compute_section_hash(section: object) -> str:
    """Compute the content hash of a section."""
    digest: str = xxhash.xxh3_64_hexdigest(encode_json(section))
    return digest


def hash_sections(document: Mapping[str, Any]) -> dict[str, str]:
    """Return the content hash of each section of a document."""
    return {
        name: compute_section_hash(section)
        for name, section in split_document(document).items()
    }


def build_difference(
    envelope: Envelope, known_hashes: Mapping[str, str]
) -> SectionedEnvelope:
    """Build the difference for a node that has sections of these hashes."""
    sections = split_document(envelope.document)
    changed = {
        name: section
        for name, section in sections.items()
        if compute_section_hash(section) != known_hashes.get(name)
    }
    return SectionedEnvelope(
        envelope.generation,
        envelope.change_id,
        envelope.operator,
        envelope.applied_at,
        tuple(sections),
        changed,
    )


def merge_difference(
    difference: SectionedEnvelope, base: Envelope | None
) -> Envelope | None:
    """Complete a difference with unchanged sections of another envelope.

    :param base: the envelope whose hashes the difference was built for.
    :returns: ``None`` when a section is missing.
    """
    base_sections = {} if base is None else split_document(base.document)
    sections = {}
    for name in difference.names:
        if name in difference.sections:
            sections[name] = difference.sections[name]
        elif name in base_sections:
            sections[name] = base_sections[name]
        else:
            return None
    return Envelope(
        difference.generation,
        difference.change_id,
        difference.operator,
        difference.applied_at,
        join_sections(sections),
    )
