"""Descriptors that the connections of a process may take together."""

import sys
from typing import Final

#: Default limit, for a machine with 4,100 descriptors.
DEFAULT_SOCKETS: Final = 3280


class DescriptorLease:
    """The descriptor of one connection that this process opens."""

    __slots__ = ('_budget',)

    def __init__(self, budget: 'DescriptorBudget') -> None:
        #: ``None`` once the descriptor is given back.
        self._budget: DescriptorBudget | None = budget
        budget.opened += 1

    def release(self) -> None:
        """Give the descriptor back, once however often this is called."""
        if self._budget is not None:
            self._budget.opened -= 1
            self._budget = None


class DescriptorBudget:
    """Counts accepted and opened connections.

    Accepted connections have limits of their own besides, which leave some
    descriptors to opened ones in any case.
    """

    def __init__(self, limit: int = DEFAULT_SOCKETS) -> None:
        #: Connections that may be open at the same time.
        self.limit = limit
        #: Accepted connections that are open.
        self.accepted = 0
        #: Opened connections that are open or being opened.
        self.opened = 0
        #: Connections that were not opened for want of descriptors.
        self.refusals = 0

    @property
    def has_room(self) -> bool:
        """Whether another connection may be opened."""
        return self.accepted + self.opened < self.limit

    @property
    def is_exceeded(self) -> bool:
        """Whether more connections are open than may be."""
        return self.accepted + self.opened > self.limit

    def lease(self) -> DescriptorLease:
        """Take a descriptor, whether there is room or not."""
        return DescriptorLease(self)


def create_unlimited_budget() -> DescriptorBudget:
    """Create a budget that always has room."""
    return DescriptorBudget(sys.maxsize)
