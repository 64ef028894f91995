"""Average message sizes by class of call."""

from typing import Final

#: Weight of a new sample in the moving average of the size.
SIZE_WEIGHT: Final = 0.1
#: Number of call classes at which a new one discards all averages.
MAX_CALL_CLASSES: Final = 1024


class MessageSizes:
    """Moving averages of the total size of a call and its answer.

    The size is in bytes and includes headers and bodies.
    """

    def __init__(self) -> None:
        self._sizes: dict[str, float] = {}

    def record(self, call_class: str, size: int) -> None:
        """Record the size of a call and its answer."""
        if (
            len(self._sizes) >= MAX_CALL_CLASSES
            and call_class not in self._sizes
        ):
            self._sizes.clear()
        average = self._sizes.get(call_class, size)
        self._sizes[call_class] = average + (size - average) * SIZE_WEIGHT

    def read(self, call_class: str) -> float:
        """Return the average size, or 0 for an unknown class."""
        return self._sizes.get(call_class, 0.0)
