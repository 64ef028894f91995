"""What a call asks of routing, and what routing answers."""

import enum
from typing import Final, NamedTuple

from merlintrail.state._targets import Target

#: Bytes of a message and its answer that weigh as much as the whole load of a
#: backend server, to another data centre of the region and to another region.
REGION_BYTES: Final = 32000.0
REMOTE_BYTES: Final = 8000.0


class Tier(enum.IntEnum):
    """Distance of a backend server."""

    DATA_CENTRE = 0
    REGION = 1
    REMOTE = 2


class NodeLocation(NamedTuple):
    """Where a node stands."""

    node_id: str
    data_centre: str


class SpillRule(NamedTuple):
    """When a call leaves its data centre, whose links are billed."""

    #: Load up to which the nearest backend servers are not left.
    near_load: float
    #: Load by which another data centre of the region must be lower.
    region_margin: float
    #: The same for another region.
    remote_margin: float

    def add_size(self, size: float) -> 'SpillRule':
        """Return the rule for a message of that many bytes."""
        return self._replace(
            region_margin=self.region_margin + size / REGION_BYTES,
            remote_margin=self.remote_margin + size / REMOTE_BYTES,
        )


#: Rule for a request: with it moves all that is called for it.
REQUEST_RULE: Final = SpillRule(0.95, 0.25, 0.6)
#: Rule for a call below another: its request makes several of them.
BELOW_RULE: Final = SpillRule(1.4, 0.6, 2.0)


class RoutingRequest(NamedTuple):
    """A call that looks for a backend server."""

    service: str
    priority: int
    #: Seconds over which a cold backend server gets its full share.
    warmup_s: float = 0.0
    #: Whether the call was made for another that is running.
    is_nested: bool = False
    #: Name of the request kind, by which levels further down are known.
    kind: str = ''
    #: Bytes that such a call and its answer take.
    size: float = 0.0

    @property
    def rule(self) -> SpillRule:
        """When the call leaves its data centre."""
        rule = BELOW_RULE if self.is_nested else REQUEST_RULE
        return rule.add_size(self.size)


class Choice(NamedTuple):
    """A routing decision."""

    target: Target
    tier: Tier
    load: float


class NoTarget(NamedTuple):
    """Sentinel in place of a choice, with the reason."""

    #: Whether backend servers exist but shed calls of this priority.
    is_shedding: bool
    #: Lowest shedding level among them.
    level: int
    reason: str
