"""Encoding of store calls as HTTP requests, and of their answers."""

import abc
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Final, Generic, NamedTuple, TypeVar
from urllib.parse import quote

from merlintrail.coordination._store import (
    StoreFault,
    StoreItem,
    StoreItems,
    StoreValue,
    Transaction,
)
from merlintrail.coordination._unreadable_entries import log_unreadable_entry

ResultT = TypeVar('ResultT')

#: Header of merlintrail's own store that states its era.
ERA_HEADER: Final = 'merlintrail-era'

#: Characters of an entry that its log line shows.
MAX_LOGGED_LENGTH: Final = 200

#: Faults by the statuses that any call may get.
_COMMON_FAULTS: Final[Mapping[int, StoreFault]] = {
    429: StoreFault.UNAVAILABLE,
    503: StoreFault.UNAVAILABLE,
}


class StoreCall(NamedTuple, Generic[ResultT]):
    """A store call encoded as an HTTP request."""

    method: str
    path: str
    #: Converts the decoded JSON of a successful answer. Raises a LookupError,
    #: TypeError or ValueError when it has another shape.
    read: Callable[[Any], ResultT]
    #: JSON document to send, ``None`` for an empty body.
    body: object = None
    #: Faults by status. Any other status except 200 is an unknown outcome.
    faults: Mapping[int, StoreFault] = _COMMON_FAULTS
    #: Seconds for which the store may delay its answer, as for a watch.
    wait_s: float = 0.0
    #: Whether the call has the same effect if it is made twice.
    is_repeatable: bool = False


class StorePage(NamedTuple):
    """One page of a range read."""

    listing: StoreItems
    #: Key after which the next page begins, ``None`` on the last page.
    next_after: str | None


class StoreWire(abc.ABC):
    """HTTP interface of one kind of store."""

    @property
    @abc.abstractmethod
    def era_header(self) -> str:
        """Name of the header that states the era in each answer."""

    @abc.abstractmethod
    def build_read(self, key: str) -> StoreCall[StoreValue]:
        """Build the call that reads one key."""

    @abc.abstractmethod
    def build_range(
        self, prefix: str, after: str | None, *, may_be_stale: bool
    ) -> StoreCall[StorePage]:
        """Build the call that reads one page of the keys under a prefix.

        :param after: last key of the previous page, ``None`` for the first
            page.
        """

    @abc.abstractmethod
    def build_transaction(self, transaction: Transaction) -> StoreCall[int]:
        """Build the call that makes a transaction."""

    @abc.abstractmethod
    def build_watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreCall[StoreItems]:
        """Build the call that waits for changes under a prefix."""

    @abc.abstractmethod
    def build_grant(self, duration_s: float) -> StoreCall[str]:
        """Build the call that obtains a lease."""

    @abc.abstractmethod
    def build_renewal(self, lease: str) -> StoreCall[None]:
        """Build the call that renews a lease."""

    @abc.abstractmethod
    def build_revocation(self, lease: str) -> StoreCall[None]:
        """Build the call that ends a lease."""


def read_entries(
    entries: Iterable[Any], read_entry: Callable[[Any], StoreItem]
) -> tuple[StoreItem, ...]:
    """Read the entries of a listing or a watch.

    One without a readable key or version is logged and left out, so that it
    does not cost the others.

    :param read_entry: raises a LookupError, TypeError or ValueError for one.
    """
    found = []
    for entry in entries:
        try:
            found.append(read_entry(entry))
        except (LookupError, TypeError, ValueError) as error:
            log_unreadable_entry(_describe_entry(entry), None, repr(error))
    return tuple(found)


def read_name(field: object) -> str:
    """Return a field that has to be a text.

    :raises TypeError: for any other type.
    """
    if not isinstance(field, str):
        raise TypeError(f'not a text: {field!r}')
    return field


def read_version(field: object) -> int:
    """Return a field that has to be a version.

    :raises TypeError: for any other type.
    """
    if isinstance(field, bool) or not isinstance(field, int):
        raise TypeError(f'not a version: {field!r}')
    return field


def find_last_key(entries: Sequence[StoreItem]) -> str | None:
    """Return the key after which the next page begins, if there is one."""
    return entries[-1].key if entries else None


def _describe_entry(entry: object) -> str:
    """Return the begin of an entry for the log, with its key and all else."""
    return repr(entry)[:MAX_LOGGED_LENGTH]


def ignore_answer(_: Any) -> None:
    """Ignore the body of an answer whose status is all that matters."""


def add_faults(**faults: StoreFault) -> Mapping[int, StoreFault]:
    """Return the common faults and others, given as ``s404=...``."""
    added = {int(name.lstrip('s')): fault for name, fault in faults.items()}
    return {**_COMMON_FAULTS, **added}


class NativeStoreWire(StoreWire):
    """The HTTP interface that merlintrail itself defines for its store."""

    @property
    def era_header(self) -> str:
        """Name of the header that states the era in each answer."""
        return ERA_HEADER

    def build_read(self, key: str) -> StoreCall[StoreValue]:
        """Build the call that reads one key."""
        return StoreCall(
            'GET',
            f'/v1/keys/{quote(key, safe="")}',
            lambda answer: StoreValue(answer['document'], answer['version']),
            faults=add_faults(s404=StoreFault.NOT_FOUND),
            is_repeatable=True,
        )

    def build_range(
        self, prefix: str, after: str | None, *, may_be_stale: bool
    ) -> StoreCall[StorePage]:
        """Build the call that reads one page of the keys under a prefix."""
        path = f'/v1/range?prefix={quote(prefix, safe="")}'
        if after is not None:
            path = f'{path}&after={quote(after, safe="")}'
        return StoreCall('GET', path, _read_page, is_repeatable=True)

    def build_transaction(self, transaction: Transaction) -> StoreCall[int]:
        """Build the call that makes a transaction."""
        return StoreCall(
            'POST',
            '/v1/transactions',
            lambda answer: int(answer['version']),
            body=transaction._asdict(),
            faults=add_faults(
                s409=StoreFault.CONFLICT, s410=StoreFault.LEASE_EXPIRED
            ),
        )

    def build_watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreCall[StoreItems]:
        """Build the call that waits for changes under a prefix."""
        return StoreCall(
            'GET',
            f'/v1/watch?prefix={quote(prefix, safe="")}'
            f'&position={position}&timeout_s={timeout_s}',
            _read_items,
            faults=add_faults(s410=StoreFault.HISTORY_LOST),
            wait_s=timeout_s,
        )

    def build_grant(self, duration_s: float) -> StoreCall[str]:
        """Build the call that obtains a lease."""
        return StoreCall(
            'POST',
            '/v1/leases',
            lambda answer: str(answer['lease']),
            body={'duration_s': duration_s},
        )

    def build_renewal(self, lease: str) -> StoreCall[None]:
        """Build the call that renews a lease."""
        return StoreCall(
            'POST',
            f'/v1/leases/{lease}',
            ignore_answer,
            body={},
            faults=add_faults(s410=StoreFault.LEASE_EXPIRED),
            is_repeatable=True,
        )

    def build_revocation(self, lease: str) -> StoreCall[None]:
        """Build the call that ends a lease."""
        return StoreCall('DELETE', f'/v1/leases/{lease}', ignore_answer)


def _read_items(answer: Any) -> StoreItems:
    return StoreItems(
        read_entries(answer['items'], _read_entry),
        read_version(answer['position']),
    )


def _read_entry(entry: Any) -> StoreItem:
    if not isinstance(entry, Mapping):
        raise TypeError('not an object')
    return StoreItem(
        read_name(entry['key']),
        entry['document'],
        read_version(entry['version']),
    )


def _read_page(answer: Any) -> StorePage:
    listing = _read_items(answer)
    is_last = not answer['is_truncated']
    return StorePage(
        listing, None if is_last else find_last_key(listing.entries)
    )
