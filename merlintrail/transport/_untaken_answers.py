"""Bytes of answers that the callers of a node have not taken together."""

from typing import Final

#: Bytes above which callers that take nothing are dropped early.
MAX_UNTAKEN_BYTES: Final = 67108864


class UntakenAnswers:
    """Sum over the connections that are watched."""

    def __init__(self, limit_bytes: int = MAX_UNTAKEN_BYTES) -> None:
        self._limit_bytes = limit_bytes
        #: Bytes of all connections when they were checked last.
        self.total_bytes = 0

    @property
    def is_above_limit(self) -> bool:
        """Whether callers that take nothing are to be dropped early."""
        return self.total_bytes > self._limit_bytes

    def update(self, previous_bytes: int, current_bytes: int) -> None:
        """Replace the bytes of one connection."""
        self.total_bytes += current_bytes - previous_bytes
