"""Nodes that have lately used up their share of repeats."""

from collections import defaultdict
from collections.abc import Sequence
from typing import Final

#: Seconds for which a node is passed over for repeats. Its share grows with
#: each first attempt, of which its next answers tell.
PASS_OVER_S: Final = 1.0


class SpentShares:
    """What nodes say of their shares of repeats, with their answers."""

    def __init__(self) -> None:
        #: Until when each node is passed over, by service.
        self._until: defaultdict[str, dict[str, float]] = defaultdict(dict)

    def record(
        self, service: str, node_id: str, now: float, *, is_spent: bool
    ) -> None:
        """Record what an answer of a node says."""
        nodes = self._until[service]
        if is_spent:
            nodes[node_id] = now + PASS_OVER_S
        else:
            nodes.pop(node_id, None)

    def list_nodes(self, service: str, now: float) -> Sequence[str]:
        """Return the nodes to pass over for a repeat."""
        nodes = self._until[service]
        for node_id, until in tuple(nodes.items()):
            if until <= now:
                del nodes[node_id]
        return list(nodes)
