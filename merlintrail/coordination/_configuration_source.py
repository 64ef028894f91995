"""Reading the configuration from the store into the node."""

import asyncio
from collections.abc import Callable

from merlintrail.coordination._changes import (
    CONFIGURATION_KEY,
    read_envelope,
)
from merlintrail.coordination._configuration_application import (
    apply_configuration,
)
from merlintrail.coordination._membership import Membership
from merlintrail.coordination._store import Store, StoreFailure, StoreValue
from merlintrail.coordination._unreadable_entries import log_unreadable_entry
from merlintrail.protocol import DecodeFailure


class ConfigurationSource:
    """Offers stored configurations to the node and tells its neighbours."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        notify: Callable[[], None],
    ) -> None:
        """Initialize the source.

        :param notify: called after a newer configuration was accepted.
        """
        self._membership = membership
        self._store = store
        self._notify = notify
        #: Generation that the store held last, 0 if it held none, ``None`` if
        #: it could not be read.
        self._seen_generation: int | None = 0
        #: Generation in force when it held one that could not be read.
        self._unreadable_above = 0

    @property
    def is_refused(self) -> bool:
        """Whether the store holds a version that cannot be put in force."""
        in_force = self._membership.holder.generation
        if self._seen_generation is None:
            return in_force <= self._unreadable_above
        return self._seen_generation > in_force

    async def offer(self, stored: StoreValue) -> None:
        """Put a stored configuration in force if it is newer and valid."""
        envelope = read_envelope(stored.document)
        if isinstance(envelope, DecodeFailure):
            self._seen_generation = None
            self._unreadable_above = self._membership.holder.generation
            log_unreadable_entry(
                CONFIGURATION_KEY, stored.version, envelope.reason
            )
            return
        self._seen_generation = envelope.generation
        if await apply_configuration(self._membership.holder, envelope):
            self._notify()

    def confirm(self, age_s: float) -> None:
        """Record that the store held no newer version than the last offered.

        That confirms the generation which the store holds, not the one in
        force: if it was refused, nothing is confirmed.

        :param age_s: seconds since the store may have had a newer one.
        """
        if self._seen_generation is not None:
            self._membership.confirmations.record_store(
                self._seen_generation, age_s
            )

    async def fetch(
        self, *, is_fresh: bool = False
    ) -> StoreValue | StoreFailure:
        """Read the configuration from the store and offer it to the node.

        :param is_fresh: whether to use a new connection.
        """
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        stored = await self._store.read(CONFIGURATION_KEY, is_fresh=is_fresh)
        if isinstance(stored, StoreValue):
            await self.offer(stored)
            self.confirm(loop.time() - asked_at)
        return stored
