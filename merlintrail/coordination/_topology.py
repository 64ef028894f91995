"""Which nodes a node keeps in touch with."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

import xxhash

from merlintrail.state import Member

#: Neighbours on each side of the ring within a data centre.
RING_DEGREE: Final = 2
#: Links from one data centre to each other one.
LINKS_PER_REMOTE_DATA_CENTRE: Final = 1


def compute_hash(node_id: str) -> int:
    """Compute the place of a node in every order of nodes."""
    rank: int = xxhash.xxh3_64_intdigest(node_id.encode())
    return rank


def _group_members(members: Iterable[Member]) -> dict[str, list[Member]]:
    groups: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        groups[member.data_centre].append(member)
    return {
        data_centre: sorted(group, key=_hash_member)
        for data_centre, group in groups.items()
    }


def _hash_member(member: Member) -> int:
    return compute_hash(member.node_id)


def _choose_ring_neighbours(
    own_index: int, group: Sequence[Member]
) -> list[Member]:
    size = len(group)
    offsets = [
        offset for step in range(1, RING_DEGREE + 1) for offset in (step, -step)
    ]
    indexes = {(own_index + offset) % size for offset in offsets}
    indexes.discard(own_index)
    return [group[index] for index in sorted(indexes)]


def choose_neighbours(own: Member, members: Iterable[Member]) -> list[Member]:
    """Choose the neighbours of a node.

    Within the data centre the nodes form a ring with chords. Towards other
    data centres each node keeps few links; ranks are matched so that the
    links of one data centre cover all others, and the links of all cover the
    nodes of each data centre evenly.
    """
    groups = _group_members(members)
    own_group = groups.pop(own.data_centre, [own])
    own_index = next(
        (
            rank
            for rank, member in enumerate(own_group)
            if member.node_id == own.node_id
        ),
        0,
    )
    neighbours = _choose_ring_neighbours(own_index, own_group)
    return [
        *neighbours,
        *_choose_remote_neighbours(own, own_index, len(own_group), groups),
    ]


def _choose_remote_neighbours(
    own: Member,
    own_index: int,
    own_size: int,
    groups: Mapping[str, Sequence[Member]],
) -> Iterator[Member]:
    """Choose the links of a node to other data centres."""
    names = sorted({*groups, own.data_centre})
    others = [groups[name] for name in names if name in groups]
    shift = own_index + names.index(own.data_centre)
    links = -(-LINKS_PER_REMOTE_DATA_CENTRE * len(others) // own_size)
    for link in range(min(links, len(others))):
        group = others[(shift + link * own_size) % len(others)]
        yield group[own_index % len(group)]
