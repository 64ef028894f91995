"""Asynchronous store of a node: the blocking client run on threads."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final, TypeVar

from merlintrail.coordination._interruption import Interruption
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreItems,
    StoreValue,
    Transaction,
)
from merlintrail.coordination._store_client import (
    StoreClient,
    create_store_client,
)
from merlintrail.coordination._store_wire import StoreWire

#: Threads for calls.
CALL_THREADS: Final = 6
#: Threads for watches. One that was given up may need up to the connect
#: timeout to end, and must not hold up the next one.
WATCH_THREADS: Final = 4

ResultT = TypeVar('ResultT')


class HttpStore(Store):
    """Runs each call of the blocking client on a thread."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client
        self._calls = ThreadPoolExecutor(CALL_THREADS, 'store')
        self._watches = ThreadPoolExecutor(WATCH_THREADS, 'store-watch')
        #: Number of calls made, by kind.
        self.counts: Counter[str] = Counter()

    @property
    def era(self) -> int:
        """The latest era known, 0 before the first answer."""
        return self._client.era

    async def read(
        self, key: str, *, is_fresh: bool = False
    ) -> StoreValue | StoreFailure:
        """Read a key."""
        return await self._run(
            'read', lambda: self._client.read(key, is_fresh=is_fresh)
        )

    async def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix."""
        return await self._run(
            'range',
            lambda: self._client.read_range(prefix, may_be_stale=may_be_stale),
        )

    async def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Make changes if every key has its expected version."""
        return await self._run(
            'write', lambda: self._client.transact(transaction)
        )

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreItems | StoreFailure:
        """Wait for changes under a prefix after a position.

        Cancelling it ends the call to the store too.
        """
        self.counts['watch'] += 1
        interruption = Interruption()
        try:
            return await asyncio.get_running_loop().run_in_executor(
                self._watches,
                lambda: self._client.watch(
                    prefix, position, timeout_s, interruption
                ),
            )
        except asyncio.CancelledError:
            interruption.interrupt()
            raise

    async def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""
        return await self._run(
            'lease', lambda: self._client.grant_lease(duration_s)
        )

    async def renew_lease(self, lease: str) -> None | StoreFailure:
        """Extend a lease by its whole duration from now."""
        return await self._run('lease', lambda: self._client.renew_lease(lease))

    async def revoke_lease(self, lease: str) -> None | StoreFailure:
        """End a lease, which removes the keys attached to it."""
        return await self._run(
            'lease', lambda: self._client.revoke_lease(lease)
        )

    async def _run(self, kind: str, call: Callable[[], ResultT]) -> ResultT:
        self.counts[kind] += 1
        return await asyncio.get_running_loop().run_in_executor(
            self._calls, call
        )


def create_http_store(
    addresses: Sequence[str], wire: StoreWire | None = None
) -> HttpStore:
    """Create a store that is reached by HTTP.

    :param wire: HTTP interface of the store; merlintrail's own by default.
    """
    return HttpStore(create_store_client(addresses, wire))
