"""Sizes of messages, by the sort of call."""

from typing import Final

#: Weight of a new sample in the mean size.
SIZE_WEIGHT: Final = 0.1
#: Sorts of calls whose sizes are kept.
MAX_SORTS: Final = 1024


class MessageSizes:
    """Mean bytes of a call and its answer, bodies and headers, by sort."""

    def __init__(self) -> None:
        self._sizes: dict[str, float] = {}

    def record(self, sort: str, size: int) -> None:
        """Take the bytes of one call and its answer."""
        if len(self._sizes) >= MAX_SORTS and sort not in self._sizes:
            self._sizes.clear()
        known = self._sizes.get(sort, size)
        self._sizes[sort] = known + (size - known) * SIZE_WEIGHT

    def read(self, sort: str) -> float:
        """Return the mean bytes, 0 for a sort that is not known."""
        return self._sizes.get(sort, 0.0)
