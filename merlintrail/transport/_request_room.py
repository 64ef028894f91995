"""Memory that one request takes while it is being received."""

from typing import Final

from merlintrail.transport._header_lines import HeaderLines
from merlintrail.transport._memory_budget import (
    MemoryAccount,
    MemoryBudget,
    RequestHold,
)
from merlintrail.transport._memory_costs import REQUEST_BYTES, SMALL_BYTES

#: Steps in bytes in which a body of unknown length takes its room.
_BODY_STEP_BYTES: Final = 1048576


class RequestRoom:
    """Takes room of a budget for the request that a connection receives."""

    __slots__ = ('_account', '_body_bytes', '_budget', '_taken_bytes')

    def __init__(
        self, budget: MemoryBudget, account: MemoryAccount | None
    ) -> None:
        """Initialize without a request.

        :param account: that of the connection; one of its own by default.
        """
        self._budget = budget
        self._account = account or budget.open_account(lambda: None)
        self._taken_bytes = 0
        #: How much of it is for the body.
        self._body_bytes = 0

    def take_partial_head(self, size: int) -> None:
        """Take memory for a head of which some bytes have arrived."""
        self._add(size - self._taken_bytes)

    def take_head(self, lines: HeaderLines, target: bytes) -> bool:
        """Take memory for a request without its body.

        :returns: whether there was room for it.
        """
        needed = REQUEST_BYTES + lines.memory_bytes + len(target)
        count = needed - self._taken_bytes
        if not self._budget.make_room(count):
            return False
        self._add(count)
        return True

    def announce_body(self, length: int) -> bool:
        """Take memory for a body of some length, unless it is small.

        :returns: whether there was room for it.
        """
        return length <= SMALL_BYTES or self._take_body(length)

    def grow_body(self, size: int) -> bool:
        """Take memory for a body of which some bytes have arrived.

        :returns: whether there was room for them.
        """
        if size <= self._body_bytes:
            return True
        if size <= SMALL_BYTES:
            self._add(size - self._body_bytes)
            self._body_bytes = size
            return True
        steps = size // _BODY_STEP_BYTES + 1
        return self._take_body(steps * _BODY_STEP_BYTES)

    def hand_over(self) -> RequestHold:
        """Leave the memory to the complete request."""
        hold = RequestHold(self._account, self._taken_bytes)
        self._taken_bytes = 0
        self._body_bytes = 0
        return hold

    def give_back(self) -> None:
        """Give the memory back."""
        if self._taken_bytes:
            self._add(-self._taken_bytes)
        self._body_bytes = 0

    def _take_body(self, size: int) -> bool:
        count = size - self._body_bytes
        if not self._budget.make_room(count):
            return False
        self._add(count)
        self._body_bytes = size
        return True

    def _add(self, count: int) -> None:
        self._taken_bytes += count
        self._account.add(count)
