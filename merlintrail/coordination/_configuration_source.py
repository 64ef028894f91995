"""Reading the configuration from the store into the node."""

import asyncio
from collections.abc import Callable

from merlintrail.coordination._changes import (
    CONFIGURATION_KEY,
    read_envelope,
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

    def offer(self, stored: StoreValue) -> None:
        """Put a stored configuration in force if it is newer and valid."""
        envelope = read_envelope(stored.document)
        if isinstance(envelope, DecodeFailure):
            log_unreadable_entry(
                CONFIGURATION_KEY, stored.version, envelope.reason
            )
            return
        if self._membership.holder.apply_if_newer(envelope):
            self._notify()

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
            self.offer(stored)
            self._membership.confirmations.record_store(loop.time() - asked_at)
        return stored
