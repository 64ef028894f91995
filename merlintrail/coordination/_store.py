"""The platform's key-value service, as the system needs it."""

import abc
import enum
from typing import Any, NamedTuple


class StoreFault(enum.StrEnum):
    """Why the store did not do what was asked."""

    #: Certainly not done.
    UNAVAILABLE = 'unavailable'
    #: The answer was lost: it may be done.
    UNKNOWN = 'unknown'
    #: Another version is there; nothing was done.
    CONFLICT = 'conflict'
    #: No such key.
    NOT_FOUND = 'not-found'
    #: The lease has expired; nothing was done.
    LEASE_EXPIRED = 'lease-expired'
    #: A watch ended without a change.
    UNCHANGED = 'unchanged'


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


class Store(abc.ABC):
    """Compare-and-swap, leases and watches; each call counts.

    Another platform's service is one more subclass.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> StoreValue | StoreFailure:
        """Read a key."""

    @abc.abstractmethod
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

    @abc.abstractmethod
    async def remove(
        self, key: str, expected_version: int
    ) -> None | StoreFailure:
        """Remove a key if its version is the expected one."""

    @abc.abstractmethod
    async def watch(
        self, key: str, known_version: int, timeout_s: float
    ) -> StoreValue | StoreFailure:
        """Wait until a key has another version than the known one."""

    @abc.abstractmethod
    async def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: str) -> None | StoreFailure:
        """Renew a lease for its whole duration."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: str) -> None | StoreFailure:
        """Give a lease up, with the keys that hang on it."""
