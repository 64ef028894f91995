"""Choice of the neighbours with which a node exchanges heartbeats."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

import xxhash

from merlintrail.state import Member

#: Neighbours of a node on each side of its data centre's ring.
RING_DEGREE: Final = 2
#: Links that the nodes of a data centre together keep to each other data
#: centre, at least: the links of one node are rounded up to a whole number.
LINKS_PER_REMOTE_DATA_CENTRE: Final = 1


def compute_hash(text: str) -> int:
    """Compute a hash that is the same on every node.

    Nodes are ordered by the hash of their identifiers.
    """
    digest: int = xxhash.xxh3_64_intdigest(text.encode())
    return digest


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

    The nodes of a data centre form a ring, in which each node is linked to
    the :data:`RING_DEGREE` next nodes on both sides. Each node also keeps a
    few links to other data centres. They start at a data centre that depends
    on the node's index, so that the links of one data centre cover all
    others, and lead to the node with the same index there, modulo the number
    of nodes, so that they are spread evenly.
    """
    groups = _group_members(members)
    own_group = groups.pop(own.data_centre, [own])
    own_index = next(
        (
            index
            for index, member in enumerate(own_group)
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
    """Choose the neighbours of a node in other data centres."""
    names = sorted({*groups, own.data_centre})
    others = [groups[name] for name in names if name in groups]
    shift = own_index + names.index(own.data_centre)
    links = -(-LINKS_PER_REMOTE_DATA_CENTRE * len(others) // own_size)
    for link in range(min(links, len(others))):
        group = others[(shift + link * own_size) % len(others)]
        yield group[own_index % len(group)]
