"""Whether an attempt is the first of its call, and what permits it if not."""

import enum


class Repeat(enum.IntEnum):
    """What permits an attempt, as a call header states it."""

    #: The first attempt of its call, which needs no permission.
    FIRST = 0
    #: The share of the first attempts, which the node beside the backend
    #: server counts.
    SHARE = 1
    #: The base of the fleet, a part of which the sending node holds.
    BASE = 2
