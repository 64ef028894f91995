"""Requests to the routing table and its results."""

import enum
from typing import Final, NamedTuple

from merlintrail.state._targets import Target

#: Message sizes in bytes (call and answer) that raise the spillover margin
#: by a load of 1, the full load of a backend server: for another data centre
#: of the region and for another region.
REGION_BYTES_PER_LOAD: Final = 32000.0
REMOTE_BYTES_PER_LOAD: Final = 8000.0


class Tier(enum.IntEnum):
    """Network distance of a backend server from this node."""

    DATA_CENTRE = 0
    REGION = 1
    REMOTE = 2


class NodeLocation(NamedTuple):
    """Identity of a node and the data centre in which it runs."""

    node_id: str
    data_centre: str


class SpilloverRule(NamedTuple):
    """Loads at which calls are sent to more distant backend servers.

    Traffic between data centres is billed, so a more distant backend server
    has to have a load that is lower by a margin.
    """

    #: Load up to which the nearest backend servers are always used.
    max_near_load: float
    #: Load by which another data centre of the region must be lower.
    region_margin: float
    #: Load by which another region must be lower.
    remote_margin: float

    def add_message_size(self, size: float) -> 'SpilloverRule':
        """Return the rule with margins for messages of a size in bytes."""
        return self._replace(
            region_margin=self.region_margin + size / REGION_BYTES_PER_LOAD,
            remote_margin=self.remote_margin + size / REMOTE_BYTES_PER_LOAD,
        )


#: Rule for a request from outside. All calls nested in it move with it.
REQUEST_RULE: Final = SpilloverRule(0.95, 0.25, 0.6)
#: Rule for a nested call. The margins are larger because the request makes
#: several such calls.
NESTED_CALL_RULE: Final = SpilloverRule(1.4, 0.6, 2.0)


class RoutingRequest(NamedTuple):
    """The properties of a call that determine its backend server."""

    service: str
    priority: int
    #: Seconds over which the capacity share of a cold backend server grows
    #: to its full slots; 0 for no warm-up.
    warmup_s: float = 0.0
    #: Whether a backend server makes the call while it serves a request.
    is_nested: bool = False
    #: Name of the request kind, the key for downstream shedding levels and
    #: for request outcomes.
    kind: str = ''
    #: Expected bytes of the call and its answer.
    size: float = 0.0
    #: Data centre in which the request failed before, empty if in none.
    failed_data_centre: str = ''

    @property
    def rule(self) -> SpilloverRule:
        """The spillover rule, adjusted to the message size."""
        rule = NESTED_CALL_RULE if self.is_nested else REQUEST_RULE
        return rule.add_message_size(self.size)


class Choice(NamedTuple):
    """The backend server chosen for a call."""

    target: Target
    #: Distance of the backend server.
    tier: Tier
    #: Load of the backend server as computed for the choice.
    load: float


class NoTarget(NamedTuple):
    """The result when no backend server can be chosen, with the reason."""

    #: Whether the call counts as shed: the backend servers shed it, or a
    #: lack of capacity or bandwidth rules them out. Otherwise none of them
    #: is known or available.
    is_shedding: bool
    #: Lowest shedding level among the backend servers, 0 if the level is
    #: not the reason.
    level: int
    reason: str
