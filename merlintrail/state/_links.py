"""Bandwidth limits between regions."""

from collections.abc import Mapping
from typing import Final

#: Capacity of a token bucket, in seconds of its rate.
BURST_S: Final = 1.0


class LinkAllowance:
    """Token buckets of bytes for this node's share of each link.

    A link joins two regions. Its rate is divided evenly among the nodes of
    the region. A call is charged after the fact, when its size is known, so
    a bucket can become negative.
    """

    def __init__(self) -> None:
        self._rates: Mapping[frozenset[str], float] = {}
        self._nodes = 1
        self._tokens: dict[frozenset[str], float] = {}
        self._refilled_at: dict[frozenset[str], float] = {}
        #: Bytes sent across each link by this node.
        self.bytes_sent: dict[frozenset[str], int] = {}

    def update(self, rates: Mapping[frozenset[str], float], nodes: int) -> None:
        """Set the rates of the links.

        :param rates: bytes per second for each pair of regions.
        :param nodes: number of nodes in the region, which share them.
        """
        self._rates = rates
        self._nodes = max(1, nodes)

    def permits(self, pair: frozenset[str], now: float) -> bool:
        """Return whether a call may cross; a pair without a rate may."""
        if pair not in self._rates:
            return True
        return self._refill(pair, now) > 0

    def spend(self, pair: frozenset[str], now: float, sent: int) -> None:
        """Charge the bytes of a call and its answer."""
        self.bytes_sent[pair] = self.bytes_sent.get(pair, 0) + sent
        if pair in self._rates:
            self._tokens[pair] = self._refill(pair, now) - sent

    def _refill(self, pair: frozenset[str], now: float) -> float:
        """Refill a bucket and return its tokens; a new one is full."""
        rate = self._rates[pair] / self._nodes
        elapsed_s = now - self._refilled_at.get(pair, now - BURST_S)
        self._refilled_at[pair] = now
        tokens = self._tokens.get(pair, 0.0) + rate * elapsed_s
        self._tokens[pair] = min(tokens, rate * BURST_S)
        return self._tokens[pair]
