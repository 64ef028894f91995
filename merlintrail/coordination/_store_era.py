"""Eras of the store, each of which begins when it is restored from a copy.

A restored store has lost its latest changes and gives out their versions and
leases again. What a node was told in one era therefore proves nothing in the
next: the same number may stand for another change there. Versions, positions
and leases are qualified by the era in which they were obtained.
"""

from typing import Final, NamedTuple

#: Bits of a qualified version below its era; a version of the store is less.
_VERSION_BITS: Final = 48
_VERSION_MASK: Final = (1 << _VERSION_BITS) - 1
_LEASE_SEPARATOR: Final = ':'


class EraVersion(NamedTuple):
    """A version or position of the store, and its era."""

    era: int
    version: int


class EraLease(NamedTuple):
    """A lease of the store, and its era."""

    era: int
    lease: str


def qualify_version(era: int, version: int) -> int:
    """Return a version that differs from those of other eras.

    Those of a later era are greater. Version 0, of a key that does not exist,
    belongs to no era.
    """
    return version and (era << _VERSION_BITS) + version


def split_version(qualified: int) -> EraVersion:
    """Return the era and the version that the store gave out."""
    return EraVersion(qualified >> _VERSION_BITS, qualified & _VERSION_MASK)


def qualify_lease(era: int, lease: str) -> str:
    """Return a lease that differs from those of other eras."""
    return f'{era}{_LEASE_SEPARATOR}{lease}'


def split_lease(qualified: str) -> EraLease:
    """Return the era and the lease that the store gave out."""
    era, _, lease = qualified.partition(_LEASE_SEPARATOR)
    return EraLease(int(era), lease)


def is_same_era(version: int, other_version: int) -> bool:
    """Return whether two versions were obtained in the same era."""
    return split_version(version).era == split_version(other_version).era
