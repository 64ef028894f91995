"""Memory that the connections of a node may take together.

What is counted is an estimate of what an object costs the process, not only
the bytes that were received: a header line of five bytes is kept in several
objects.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from merlintrail.transport._memory_costs import SMALL_BYTES, WAITING_BYTES

#: Default limit in bytes; fits a machine with 200 MB.
DEFAULT_MEMORY_BYTES: Final = 70_000_000
#: Share of the limit that large objects may take; the rest is left to
#: ordinary requests.
LARGE_SHARE: Final = 0.75
#: Share of the limit up to which memory is plentiful. One object of any size
#: has room then.
CALM_SHARE: Final = 0.25
#: Share of the limit to which memory is freed once it is exceeded.
_FREED_SHARE: Final = 0.6
#: Bytes that a connection must hold so that freeing them is worthwhile.
_MIN_FREED_BYTES: Final = 16384
#: Share of the limit that has to be taken in addition, after nothing could be
#: freed, before that is tried again.
_RETRY_SHARE: Final = 0.03125


def _ignore() -> None:
    """Do nothing."""


class MemoryAccount:
    """Memory that one connection takes of the budget."""

    __slots__ = ('_budget', 'free', 'held_bytes')

    def __init__(
        self, budget: 'MemoryBudget', free: Callable[[], None]
    ) -> None:
        self._budget = budget
        #: Called to free what can be given up, when memory is exceeded.
        self.free = free
        #: Bytes that the connection takes.
        self.held_bytes = 0

    def add(self, count: int) -> None:
        """Take some bytes, or give them back if the number is negative."""
        self.held_bytes += count
        self._budget.add(count)

    def close(self, count: int) -> None:
        """Free nothing any more, as the connection has ended.

        Requests that run on give back what they hold when they end.

        :param count: bytes of the connection itself, which are given back.
        """
        self.add(-count)
        self._budget.remove_account(self)
        self.free = _ignore


class RequestHold:
    """Memory that one complete request takes of its connection's account."""

    __slots__ = ('_account', '_size')

    def __init__(self, account: MemoryAccount, size: int) -> None:
        """Initialize the hold of bytes that the account has taken already."""
        self._account = account
        self._size = size

    def release(self) -> None:
        """Give the memory back, once however often this is called."""
        if self._size:
            self._account.add(-self._size)
            self._size = 0


class MemoryHold:
    """Memory of one answer, held until the last reference to it is dropped."""

    __slots__ = ('_budget', '_on_room', '_waits_for_bytes', 'size')

    def __init__(self, budget: 'MemoryBudget') -> None:
        self._budget = budget
        #: Bytes that are held.
        self.size = 0
        #: Called when there is room, ``None`` while nothing waits for it.
        self._on_room: Callable[[], None] | None = None
        self._waits_for_bytes = 0

    def __del__(self) -> None:  # noqa: WPS603
        """Give the memory back."""
        self.release()

    @property
    def is_waiting(self) -> bool:
        """Whether the hold waits for room."""
        return self._on_room is not None

    def add(self, count: int) -> None:
        """Hold more bytes, whether there is room or not."""
        self.size += count
        self._budget.add(count)

    def request(self, size: int, on_room: Callable[[], None]) -> bool:
        """Hold some bytes altogether, now or once there is room for them.

        :param on_room: called when there is room, unless there is now.
        :returns: whether they are held now.
        """
        count = max(0, size - self.size)
        if self._budget.has_room(count):
            self.add(count)
            return True
        self._on_room = on_room
        self._waits_for_bytes = count
        self._budget.waiting.append(self)
        return False

    def grant(self) -> bool:
        """Hold the bytes that were requested if there is room for them."""
        on_room = self._on_room
        if on_room is None:
            return True
        if not self._budget.has_room(self._waits_for_bytes):
            return False
        self._on_room = None
        self.add(self._waits_for_bytes)
        on_room()
        return True

    def force(self) -> None:
        """Hold the bytes that were requested, although there is no room."""
        if self.is_waiting:
            self._on_room = None
            self.add(self._waits_for_bytes)

    def release(self) -> None:
        """Give the memory back, and wait no longer."""
        self._on_room = None
        if self.size:
            count = self.size
            self.size = 0
            self._budget.add(-count)


class MemoryBudget:
    """Counts the memory of all connections, and frees some above its limit."""

    def __init__(self, limit_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.limit_bytes = limit_bytes
        #: Bytes that are taken.
        self.taken_bytes = 0
        #: Requests that were refused for want of room.
        self.refusals = 0
        #: Answers that wait for room, in their order.
        self.waiting: deque[MemoryHold] = deque()
        self._accounts: set[MemoryAccount] = set()
        #: Bytes that are left once memory was freed.
        self._goal_bytes = limit_bytes * _FREED_SHARE
        #: Bytes above which freeing is tried, after it was not enough.
        self._free_above_bytes = 0.0
        self._is_granting = False

    @property
    def is_calm(self) -> bool:
        """Whether memory is plentiful."""
        return self.taken_bytes <= self.limit_bytes * CALM_SHARE

    @property
    def is_exhausted(self) -> bool:
        """Whether answers wait for room."""
        return any(hold.is_waiting for hold in self.waiting)

    def count_waiting(self) -> int:
        """Count the answers that wait for room."""
        return sum(1 for hold in self.waiting if hold.is_waiting)

    def open_account(self, free: Callable[[], None]) -> MemoryAccount:
        """Open the account of a connection.

        :param free: called to free what can be given up, when memory is
            exceeded.
        """
        account = MemoryAccount(self, free)
        self._accounts.add(account)
        return account

    def open_hold(self) -> MemoryHold:
        """Open the hold of an answer."""
        return MemoryHold(self)

    def remove_account(self, account: MemoryAccount) -> None:
        """Forget the account of a connection that has ended."""
        self._accounts.discard(account)

    def add(self, count: int) -> None:
        """Take some bytes, or give them back if the number is negative."""
        self.taken_bytes += count
        if count >= 0:
            return
        if self.taken_bytes <= self._goal_bytes:
            self._free_above_bytes = 0.0
        if self.waiting:
            self._grant()

    def has_room(self, count: int) -> bool:
        """Return whether there is room for some bytes."""
        if self.is_calm:
            return True
        if count <= SMALL_BYTES:
            return self.taken_bytes + count <= self.limit_bytes
        taken_bytes = self.taken_bytes + WAITING_BYTES * len(self.waiting)
        return taken_bytes + count <= self.limit_bytes * LARGE_SHARE

    def make_room(self, count: int) -> bool:
        """Return whether there is room, after memory was freed if needed.

        A request without room counts as refused.
        """
        if self.has_room(count):
            return True
        self._free()
        if self.has_room(count):
            return True
        self.refusals += 1
        return False

    def enforce(self) -> None:
        """Free memory if more is taken than the limit."""
        if self.taken_bytes > self.limit_bytes:
            self._free()

    def _free(self) -> None:
        """Let those connections that hold most free what they can."""
        if self.taken_bytes <= self._free_above_bytes:
            return
        accounts = sorted(
            self._accounts, key=lambda account: -account.held_bytes
        )
        for account in accounts:
            is_enough = self.taken_bytes <= self._goal_bytes
            if is_enough or account.held_bytes < _MIN_FREED_BYTES:
                break
            account.free()
        if self.taken_bytes > self._goal_bytes:
            retry_bytes = self.limit_bytes * _RETRY_SHARE
            self._free_above_bytes = self.taken_bytes + retry_bytes

    def _grant(self) -> None:
        if self._is_granting:
            return
        self._is_granting = True
        try:
            while self.waiting and self.waiting[0].grant():
                self.waiting.popleft()
        finally:
            self._is_granting = False
