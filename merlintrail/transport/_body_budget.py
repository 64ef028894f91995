"""Memory that the request bodies of a node may take together."""

from typing import Final

#: Size in bytes up to which a body is not counted.
SMALL_BODY_BYTES: Final = 65536
#: Steps in bytes in which a body of unknown length takes its room.
BODY_STEP_BYTES: Final = 1048576
#: Default limit on the bytes of all bodies that are counted.
DEFAULT_BODY_BUDGET_BYTES: Final = 67108864


class BodyBudget:
    """Counts the bodies that are being received or served.

    One body of the largest size that a configuration may permit on the
    platform fits the default; a second one is refused meanwhile.
    """

    def __init__(self, limit_bytes: int = DEFAULT_BODY_BUDGET_BYTES) -> None:
        self._limit_bytes = limit_bytes
        #: Bytes that are taken.
        self.taken_bytes = 0
        #: Requests that were refused for want of room.
        self.refusals = 0

    def take(self, count: int) -> bool:
        """Take some bytes; return whether there was room for them."""
        if self.taken_bytes + count > self._limit_bytes:
            self.refusals += 1
            return False
        self.taken_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Give back bytes that were taken."""
        self.taken_bytes -= count
