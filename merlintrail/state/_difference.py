"""Differences between two documents, by place."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.protocol import encode_json

#: Shown for a member that one of the documents does not have.
ABSENT: Final = '(absent)'


class Difference(NamedTuple):
    """One place in which two documents differ."""

    #: JSON pointer; a named entry of a list stands under its name.
    place: str
    earlier: str
    later: str

    def __str__(self) -> str:
        """Return one line for a person."""
        return f'{self.place or "/"}: {self.earlier} -> {self.later}'


def _describe(document: object) -> str:
    return encode_json(document).decode()


def _index_entries(entries: Sequence[Any]) -> Mapping[str, Any]:
    """Index a list by the names of its entries where they have some."""
    indexed = {}
    for number, entry in enumerate(entries):
        name: object = number
        if isinstance(entry, dict):
            name = entry.get('name', entry.get('id', number))
        indexed[str(name)] = entry
    return indexed


def find_differences(
    earlier: object, later: object, place: str = ''
) -> Iterator[Difference]:
    """Find every place in which two documents differ."""
    if isinstance(earlier, list) and isinstance(later, list):
        earlier = _index_entries(earlier)
        later = _index_entries(later)
    if isinstance(earlier, Mapping) and isinstance(later, Mapping):
        for name in dict.fromkeys((*earlier, *later)):
            yield from _compare_member(earlier, later, name, place)
    elif earlier != later:
        yield Difference(place, _describe(earlier), _describe(later))


def _compare_member(
    earlier: Mapping[str, Any],
    later: Mapping[str, Any],
    name: str,
    place: str,
) -> Iterator[Difference]:
    inner = f'{place}/{name}'
    if name not in later:
        yield Difference(inner, _describe(earlier[name]), ABSENT)
    elif name not in earlier:
        yield Difference(inner, ABSENT, _describe(later[name]))
    else:
        yield from find_differences(earlier[name], later[name], inner)
