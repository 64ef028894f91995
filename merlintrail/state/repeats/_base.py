"""Repeats that a fleet permits regardless of its traffic.

The holders of the relay slots share them in fixed parts.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import Final

#: Lengthens the window in which a part is spent, since repeats reach their
#: backend servers later than they are sent.
WINDOW_FACTOR: Final = 1.05
#: Seconds for which a repeat against the base may wait for a slot of the
#: backend server.
BASE_VALIDITY_S: Final = 0.15


class SlotRight:
    """The relay slot that this node holds, and how long it surely does.

    Times are those of a clock that also counts while the machine is
    suspended.
    """

    def __init__(self) -> None:
        #: Number of the slot in its data centre, ``None`` without one.
        self.slot: int | None = None
        self._lease_s = 0.0
        self._begun_at = 0.0
        self._confirmed_at = 0.0

    def begin(self, slot: int, asked_at: float, lease_s: float) -> None:
        """Record that the node has claimed a slot.

        :param asked_at: time at which it asked for the lease.
        :param lease_s: duration of the lease in seconds.
        """
        self.slot = slot
        self._lease_s = lease_s
        self._begun_at = asked_at
        self._confirmed_at = asked_at

    def confirm(self, asked_at: float) -> None:
        """Record a renewal of the lease that was asked for at a time."""
        self._confirmed_at = asked_at

    def end(self) -> None:
        """Record that the node gives up its slot."""
        self.slot = None

    def is_exclusive(self, now: float, window_s: float) -> bool:
        """Return whether no other node has used the slot in a window.

        An earlier holder may have used it until a lease after its last
        renewal, even if the store has lost that lease.
        """
        if self.slot is None:
            return False
        is_confirmed = now <= self._confirmed_at + self._lease_s
        return is_confirmed and now >= self._begun_at + self._lease_s + window_s


def compute_part(base: float, slots: int, index: int) -> int:
    """Return the whole part of a base that one of some slots has.

    The parts of all slots sum up to the base, rounded down.
    """
    whole = int(base)
    return (index + 1) * whole // slots - index * whole // slots


class RepeatBase:
    """The part of the base that this node may spend, for each service."""

    def __init__(
        self,
        right: SlotRight,
        data_centre: str,
        slots_per_data_centre: int,
        clock: Callable[[], float],
    ) -> None:
        """Initialize the base, with nothing to spend until configured.

        :param right: the relay slot that the node holds.
        :param data_centre: data centre of the node.
        :param clock: clock that also counts while the machine is suspended.
        """
        self._right = right
        self._data_centre = data_centre
        self._slots_per_data_centre = slots_per_data_centre
        self._clock = clock
        self._window_s = 0.0
        #: Parts of the slots of this data centre.
        self._parts: tuple[int, ...] = ()
        #: Times at which repeats were spent in the last window, by service.
        self._spent_at: dict[str, deque[float]] = {}

    def configure(
        self, base: float, window_s: float, data_centres: Collection[str]
    ) -> None:
        """Set the base and the data centres whose relays share it."""
        self._window_s = window_s * WINDOW_FACTOR
        self._parts = ()
        if self._data_centre not in data_centres:
            return
        position = sorted(data_centres).index(self._data_centre)
        first = position * self._slots_per_data_centre
        slots = len(data_centres) * self._slots_per_data_centre
        self._parts = tuple(
            compute_part(base, slots, first + slot)
            for slot in range(self._slots_per_data_centre)
        )

    def try_spend(self, service: str) -> bool:
        """Spend one repeat to a service, and return whether one was left."""
        now = self._clock()
        slot = self._right.slot
        if slot is None or slot >= len(self._parts):
            return False
        if not self._right.is_exclusive(now, self._window_s):
            return False
        spent_at = self._spent_at.setdefault(service, deque())
        while spent_at and spent_at[0] <= now - self._window_s:
            spent_at.popleft()
        if len(spent_at) >= self._parts[slot]:
            return False
        spent_at.append(now)
        return True
