"""Allowance of bytes between regions."""

from collections.abc import Mapping
from typing import Final

#: Seconds of allowance that can be saved up.
BURST_S: Final = 1.0


class LinkAllowance:
    """Token buckets for this node's share of each link between regions."""

    def __init__(self) -> None:
        self._rates: Mapping[frozenset[str], float] = {}
        self._nodes = 1
        self._tokens: dict[frozenset[str], float] = {}
        self._filled_at: dict[frozenset[str], float] = {}
        #: Bytes sent across each link.
        self.bytes_sent: dict[frozenset[str], int] = {}

    def update(self, rates: Mapping[frozenset[str], float], nodes: int) -> None:
        """Set the links' rates and how many nodes of the region share them."""
        self._rates = rates
        self._nodes = max(1, nodes)

    def permits(self, pair: frozenset[str], now: float) -> bool:
        """Tell whether another call may cross; no link means no limit."""
        if pair not in self._rates:
            return True
        return self._fill(pair, now) > 0

    def spend(self, pair: frozenset[str], now: float, sent: int) -> None:
        """Charge the bytes of a call and its answer."""
        self.bytes_sent[pair] = self.bytes_sent.get(pair, 0) + sent
        if pair in self._rates:
            self._tokens[pair] = self._fill(pair, now) - sent

    def _fill(self, pair: frozenset[str], now: float) -> float:
        rate = self._rates[pair] / self._nodes
        elapsed_s = now - self._filled_at.get(pair, now - BURST_S)
        self._filled_at[pair] = now
        tokens = self._tokens.get(pair, 0.0) + rate * elapsed_s
        self._tokens[pair] = min(tokens, rate * BURST_S)
        return self._tokens[pair]
