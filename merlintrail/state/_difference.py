"""Differences between two configuration documents."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.protocol import encode_json

#: Shown for a member that one of the documents does not have.
ABSENT: Final = '(absent)'


class Difference(NamedTuple):
    """One value that differs between two documents."""

    #: JSON pointer, with the name of a list entry in place of its index if
    #: it has a name.
    place: str
    #: The values as JSON text, or ``ABSENT``.
    earlier: str
    later: str

    def __str__(self) -> str:
        """Return a one-line description."""
        return f'{self.place or "/"}: {self.earlier} -> {self.later}'


def _describe(document: object) -> str:
    return encode_json(document).decode()


def _index_entries(entries: Sequence[Any]) -> Mapping[str, Any]:
    """Index list entries by name, identifier or, failing these, position."""
    indexed = {}
    for index, entry in enumerate(entries):
        name: object = index
        if isinstance(entry, dict):
            name = entry.get('name', entry.get('id', index))
        indexed[str(name)] = entry
    return indexed


def find_differences(
    earlier: object, later: object, pointer: str = ''
) -> Iterator[Difference]:
    """Find all differences between two documents.

    Lists are compared by the names of their entries, so that a changed order
    of named entries is not a difference.

    :param pointer: JSON pointer to the documents within larger ones.
    """
    if isinstance(earlier, list) and isinstance(later, list):
        earlier = _index_entries(earlier)
        later = _index_entries(later)
    if isinstance(earlier, Mapping) and isinstance(later, Mapping):
        for name in dict.fromkeys((*earlier, *later)):
            yield from _compare_member(earlier, later, name, pointer)
    elif earlier != later:
        yield Difference(pointer, _describe(earlier), _describe(later))


def _compare_member(
    earlier: Mapping[str, Any],
    later: Mapping[str, Any],
    name: str,
    parent_pointer: str,
) -> Iterator[Difference]:
    pointer = f'{parent_pointer}/{name}'
    if name not in later:
        yield Difference(pointer, _describe(earlier[name]), ABSENT)
    elif name not in earlier:
        yield Difference(pointer, ABSENT, _describe(later[name]))
    else:
        yield from find_differences(earlier[name], later[name], pointer)
