"""Importance classes, and the priorities into which they are divided."""

import enum
from typing import Final

import xxhash

#: Number of priorities within each importance class.
SUBLEVELS: Final = 32


#: Number of values of the hash of a request id.
_DIGESTS: Final = 1 << 32


class Importance(enum.IntEnum):
    """Importance class of a request kind, from the configuration."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


#: Highest priority of a call.
MAX_PRIORITY: Final = len(Importance) * SUBLEVELS - 1


def read_importance(name: str) -> Importance:
    """Return the importance class with a lower-case name.

    :raises KeyError: for an unknown name.
    """
    return Importance[name.upper()]


def compute_priority(
    importance: Importance, request_id: str, sublevel: int | None = None
) -> int:
    """Compute the priority of a request, which is the same at every hop.

    The sublevel within the class is a hash of the request id, unless it is
    given. Services that shed part of a class therefore shed the same requests,
    and no work is done for a request that another service is going to refuse.
    """
    if sublevel is None:
        sublevel = xxhash.xxh32_intdigest(request_id.encode()) % SUBLEVELS
    return importance * SUBLEVELS + sublevel


def compute_draw(request_id: str) -> float:
    """Return a number from 0 to 1, evenly distributed over request ids."""
    digest: int = xxhash.xxh32_intdigest(request_id.encode())
    return digest / _DIGESTS
