"""Time at which the configuration in force was last confirmed as the newest."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.state import Configuration, ConfigurationHolder

#: Source of a confirmation that comes from the store itself.
STORE_SOURCE: Final = 'store'
_START_SOURCE: Final = 'start'


class Confirmation(NamedTuple):
    """Statement that a generation was the newest at some time."""

    generation: int
    #: Clock time at which it was.
    confirmed_at: float
    #: Node that passed it on, or :data:`STORE_SOURCE`.
    source: str


class ConfirmationRecord:
    """Keeps the latest confirmation of the generation in force.

    Knowledge of a node that starts counts from its start, but confirms nothing
    to others.
    """

    def __init__(
        self, holder: ConfigurationHolder, clock: Callable[[], float]
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._latest = Confirmation(0, clock(), _START_SOURCE)
        #: Confirmation of a generation that this node does not have yet.
        self._pending = self._latest
        self._listeners: list[Callable[[], None]] = []
        #: Set once there is a configuration to confirm.
        self.has_configuration = asyncio.Event()
        holder.add_listener(self._note_configuration)

    @property
    def latest(self) -> Confirmation:
        """The latest confirmation that holds for the generation in force."""
        pending = self._pending
        if (
            pending.generation <= self._holder.generation
            and pending.confirmed_at > self._latest.confirmed_at
        ):
            self._latest = pending
        return self._latest

    @property
    def is_confirmed(self) -> bool:
        """Whether there was a confirmation since the start."""
        return self.latest.source != _START_SOURCE

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function to call after each later confirmation."""
        self._listeners.append(listener)

    def read_age(self) -> float:
        """Return the seconds since the latest confirmation."""
        return max(0.0, self._clock() - self.latest.confirmed_at)

    def record_store(self, generation: int, age_s: float) -> None:
        """Record which generation the store holds.

        :param age_s: seconds since it may have had a newer one.
        """
        self.record(
            Confirmation(generation, self._clock() - age_s, STORE_SOURCE)
        )

    def record(self, confirmation: Confirmation) -> None:
        """Record a confirmation; older ones are ignored."""
        previous = self.latest.confirmed_at
        if confirmation.confirmed_at > self._pending.confirmed_at:
            self._pending = confirmation
        if self.latest.confirmed_at > previous:
            for listener in self._listeners:
                listener()

    def _note_configuration(self, _: Configuration) -> None:
        self.has_configuration.set()
