"""The platform's key-value service, as the system needs it."""

import abc
import enum
from collections.abc import Mapping
from typing import Any, NamedTuple


class StoreFault(enum.StrEnum):
    """Why the store did not do what was asked."""

    #: Certainly not done.
    UNAVAILABLE = 'unavailable'
    #: The answer was lost: it may be done, also later.
    UNKNOWN = 'unknown'
    #: Another version is there; nothing was done.
    CONFLICT = 'conflict'
    #: No such key.
    NOT_FOUND = 'not-found'
    #: The lease has expired; nothing was done.
    LEASE_EXPIRED = 'lease-expired'
    #: The changes since that position are no longer known.
    HISTORY_LOST = 'history-lost'


class StoreFailure(NamedTuple):
    """Sentinel in place of a result, with the reason."""

    fault: StoreFault
    reason: str


class StoreValue(NamedTuple):
    """A value and its version."""

    #: Any JSON document of up to a megabyte.
    document: Any
    #: Raised by the store with each write, never 0.
    version: int


class StoreItem(NamedTuple):
    """A key with its value, as a range or a watch tells it."""

    key: str
    #: The document, ``None`` for a key that was removed.
    document: Any
    version: int


class StoreItems(NamedTuple):
    """The keys under a prefix, or their changes since a position."""

    entries: tuple[StoreItem, ...]
    #: Position in the store's history from which to watch on.
    position: int


class Transaction(NamedTuple):
    """Changes that are made together or not at all."""

    #: Version that each key must have, 0 for one that must not exist.
    expected: Mapping[str, int]
    #: Documents to write, by key.
    puts: Mapping[str, object] = {}
    #: Keys to remove.
    removals: tuple[str, ...] = ()
    #: The keys that are written disappear with this lease.
    lease: str | None = None


def build_write(
    key: str, document: object, expected_version: int, lease: str | None
) -> Transaction:
    """Build the change of one key from the expected version."""
    return Transaction(
        {key: expected_version}, puts={key: document}, lease=lease
    )


def build_removal(key: str, expected_version: int) -> Transaction:
    """Build the removal of one key of the expected version."""
    return Transaction({key: expected_version}, removals=(key,))


class Store(abc.ABC):
    """Compare-and-swap, leases and watches; each call counts.

    Another platform's service is one more :class:`StoreWire`.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> StoreValue | StoreFailure:
        """Read a key."""

    @abc.abstractmethod
    async def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix, whole pages of them.

        :param may_be_stale: whether an answer seconds old will do; such a
            read is cheaper.
        """

    @abc.abstractmethod
    async def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Make changes if every expected version is the one there.

        :returns: the new version.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreItems | StoreFailure:
        """Wait for changes under a prefix behind a position.

        :returns: the changes, none of them when the time is over.
        """

    @abc.abstractmethod
    async def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: str) -> None | StoreFailure:
        """Renew a lease for its whole duration."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: str) -> None | StoreFailure:
        """Give a lease up, with the keys that hang on it."""

    async def write(
        self,
        key: str,
        document: object,
        expected_version: int,
        lease: str | None = None,
    ) -> int | StoreFailure:
        """Write a key if its version is the expected one.

        :param expected_version: 0 when the key must not exist.
        :param lease: the key disappears with this lease.
        :returns: the new version.
        """
        return await self.transact(
            build_write(key, document, expected_version, lease)
        )

    async def remove(
        self, key: str, expected_version: int
    ) -> None | StoreFailure:
        """Remove a key if its version is the expected one."""
        removed = await self.transact(build_removal(key, expected_version))
        return removed if isinstance(removed, StoreFailure) else None
