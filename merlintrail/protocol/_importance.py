"""Importance classes and the priorities that divide each of them."""

import enum
from typing import Final

import xxhash

#: Priorities within one importance class.
SUBLEVELS: Final = 32


class Importance(enum.IntEnum):
    """Importance class of a request kind, from the configuration."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


#: The highest priority that a call can have.
MAX_PRIORITY: Final = len(Importance) * SUBLEVELS - 1


def read_importance(name: str) -> Importance:
    """Return the class of that lower-case name.

    :raises KeyError: for an unknown name.
    """
    return Importance[name.upper()]


def compute_priority(importance: Importance, request_id: str) -> int:
    """Compute the priority that a request has at every hop.

    The place within the class is a hash of the request id: services that
    shed part of a class then shed the same requests, and no work is done
    for a request that another service is going to refuse.
    """
    place: int = xxhash.xxh32_intdigest(request_id.encode()) % SUBLEVELS
    return importance * SUBLEVELS + place
