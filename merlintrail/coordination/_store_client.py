"""Blocking client of the store, based on urllib3."""

import threading
from collections.abc import Mapping, Sequence
from typing import Any, Final, Generic, NamedTuple, TypeVar

from merlintrail.coordination._interruption import Interruption
from merlintrail.coordination._store import (
    StoreFailure,
    StoreFault,
    StoreItem,
    StoreItems,
    StoreValue,
    Transaction,
    build_removal,
    build_write,
)
from merlintrail.coordination._store_era import (
    qualify_lease,
    qualify_version,
    split_lease,
    split_version,
)
from merlintrail.coordination._store_exchange import (
    HttpAnswer,
    StoreExchange,
)
from merlintrail.coordination._store_wire import (
    NativeStoreWire,
    StoreCall,
    StoreWire,
)
from merlintrail.observability import create_logger
from merlintrail.protocol import DecodeFailure, decode_json

_OK: Final = 200

_EARLIER_ERA: Final = 'obtained before the store was restored'
_LOG: Final = create_logger('store')

ResultT = TypeVar('ResultT')


class _Answer(NamedTuple, Generic[ResultT]):
    """Content of an answer and the era that it states."""

    content: ResultT
    era: int


class StoreClient:
    """Blocking client that nodes, the command line and the console use.

    The addresses are tried in order until one of them is available. A call
    whose answer was lost is not sent again, because it may have taken effect.

    Versions, positions and leases are qualified by their era (see
    :class:`Store`), so that those of an earlier one are never sent.
    """

    def __init__(
        self, addresses: Sequence[str], wire: StoreWire | None = None
    ) -> None:
        self._addresses = tuple(addresses)
        self._wire = wire or NativeStoreWire()
        self._exchange = StoreExchange()
        self._era_lock = threading.Lock()
        self._latest_era: int | None = None

    @property
    def era(self) -> int:
        """The latest era that an answer has stated, 0 before the first."""
        return self._latest_era or 0

    def read(
        self, key: str, *, is_fresh: bool = False
    ) -> StoreValue | StoreFailure:
        """Read a key.

        :param is_fresh: whether to drop the idle connections first.
        """
        if is_fresh:
            self._exchange.drop_idle()
        answer = self._try_addresses(self._wire.build_read(key))
        if isinstance(answer, StoreFailure):
            return answer
        version = qualify_version(answer.era, answer.content.version)
        return answer.content._replace(version=version)

    def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix."""
        entries: list[StoreItem] = []
        after: str | None = None
        position: int | None = None
        while True:
            answer = self._try_addresses(
                self._wire.build_range(prefix, after, may_be_stale=may_be_stale)
            )
            if isinstance(answer, StoreFailure):
                return answer
            page = answer.content
            listing = _qualify_items(answer.era, page.listing)
            entries.extend(listing.entries)
            if position is None:
                position = listing.position
            if split_version(position).era != answer.era:
                return StoreFailure(StoreFault.UNAVAILABLE, _EARLIER_ERA)
            if page.next_after is None:
                return StoreItems(tuple(entries), position)
            after = page.next_after

    def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Make changes if every key has its expected version."""
        era = self.era
        current = _strip_eras(transaction, era)
        if isinstance(current, StoreFailure):
            return current
        call = self._wire.build_transaction(current)
        answer = (
            self._call_in_era(era, call, StoreFault.RESTORED)
            if _depends_on_era(transaction)
            else self._try_addresses(call)
        )
        if isinstance(answer, StoreFailure):
            return answer
        return qualify_version(answer.era, answer.content)

    def write(
        self,
        key: str,
        document: object,
        expected_version: int,
        lease: str | None = None,
    ) -> int | StoreFailure:
        """Write a key if it has the expected version."""
        return self.transact(
            build_write(key, document, expected_version, lease)
        )

    def remove(self, key: str, expected_version: int) -> None | StoreFailure:
        """Remove a key if it has the expected version."""
        return _find_failure(
            self.transact(build_removal(key, expected_version))
        )

    def watch(
        self,
        prefix: str,
        position: int,
        timeout_s: float,
        interruption: Interruption | None = None,
    ) -> StoreItems | StoreFailure:
        """Wait for changes under a prefix after a position.

        :param interruption: lets another thread end the wait.
        """
        era, current = split_version(position)
        answer = self._call_in_era(
            era,
            self._wire.build_watch(prefix, current, timeout_s),
            StoreFault.HISTORY_LOST,
            interruption or Interruption(),
        )
        if isinstance(answer, StoreFailure):
            return answer
        return _qualify_items(era, answer.content)

    def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""
        answer = self._try_addresses(self._wire.build_grant(duration_s))
        if isinstance(answer, StoreFailure):
            return answer
        return qualify_lease(answer.era, answer.content)

    def renew_lease(self, lease: str) -> None | StoreFailure:
        """Extend a lease by its whole duration from now."""
        era, current = split_lease(lease)
        call = self._wire.build_renewal(current)
        return _find_failure(
            self._call_in_era(era, call, StoreFault.LEASE_EXPIRED)
        )

    def revoke_lease(self, lease: str) -> None | StoreFailure:
        """End a lease, which removes the keys attached to it."""
        era, current = split_lease(lease)
        call = self._wire.build_revocation(current)
        return _find_failure(
            self._call_in_era(era, call, StoreFault.LEASE_EXPIRED)
        )

    def _call_in_era(
        self,
        era: int,
        call: StoreCall[ResultT],
        fault: StoreFault,
        interruption: Interruption | None = None,
    ) -> _Answer[ResultT] | StoreFailure:
        """Make a call that has a meaning only in one era.

        :param fault: fault if the store was restored since.
        """
        if era != self.era:
            return StoreFailure(fault, _EARLIER_ERA)
        answer = self._try_addresses(call, interruption)
        if isinstance(answer, _Answer) and answer.era != era:
            return StoreFailure(fault, _EARLIER_ERA)
        return answer

    def _try_addresses(
        self,
        call: StoreCall[ResultT],
        interruption: Interruption | None = None,
    ) -> _Answer[ResultT] | StoreFailure:
        """Make a call at the first address that is available.

        :param interruption: ends the wait of a call whose answer the store
            holds back; ``None`` for other calls.
        """
        failure = StoreFailure(StoreFault.UNAVAILABLE, 'no store address')
        for address in self._addresses:
            answer = self._send(address, call, interruption)
            if not isinstance(answer, StoreFailure):
                return answer
            failure = answer
            if failure.fault != StoreFault.UNAVAILABLE:
                break
        return failure

    def _send(
        self,
        address: str,
        call: StoreCall[ResultT],
        interruption: Interruption | None,
    ) -> _Answer[ResultT] | StoreFailure:
        received = (
            self._exchange.send(address, call)
            if interruption is None
            else self._exchange.wait(address, call, interruption)
        )
        if isinstance(received, StoreFailure):
            return received
        return self._read_answer(call, received)

    def _read_answer(
        self, call: StoreCall[ResultT], answer: HttpAnswer
    ) -> _Answer[ResultT] | StoreFailure:
        """Return the content of an answer by its status and era."""
        era = self._update_era(answer.headers)
        if answer.status != _OK:
            fault = call.faults.get(answer.status, StoreFault.UNKNOWN)
            return StoreFailure(fault, f'status {answer.status}')
        if era < self.era:
            return StoreFailure(StoreFault.UNKNOWN, 'answer of an earlier era')
        content = _read_content(call, decode_json(answer.body))
        if isinstance(content, StoreFailure):
            return content
        return _Answer(content, era)

    def _update_era(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer, and remember it if it is later.

        An answer that states none belongs to the latest era known.
        """
        text = headers.get(self._wire.era_header, '')
        if not (text.isascii() and text.isdigit()):
            return self.era
        era = int(text)
        with self._era_lock:
            previous = self._latest_era
            self._latest_era = max(self.era, era)
        if previous is not None and previous < era:
            _LOG.warning(
                'store restored from an older copy',
                extra={'era': era, 'previous_era': previous},
            )
        return era


def _find_failure(answer: object) -> None | StoreFailure:
    return answer if isinstance(answer, StoreFailure) else None


def _strip_eras(
    transaction: Transaction, era: int
) -> Transaction | StoreFailure:
    """Return a transaction with the store's own versions and lease.

    :returns: a failure if one of them was obtained in another era.
    """
    expected = {}
    for key, qualified in transaction.expected.items():
        version = split_version(qualified)
        if version.version and version.era != era:
            return StoreFailure(StoreFault.CONFLICT, _EARLIER_ERA)
        expected[key] = version.version
    if transaction.lease is None:
        return transaction._replace(expected=expected)
    lease = split_lease(transaction.lease)
    if lease.era != era:
        return StoreFailure(StoreFault.LEASE_EXPIRED, _EARLIER_ERA)
    return transaction._replace(expected=expected, lease=lease.lease)


def _depends_on_era(transaction: Transaction) -> bool:
    """Return whether a transaction expects a version or uses a lease."""
    return transaction.lease is not None or any(transaction.expected.values())


def _qualify_items(era: int, listing: StoreItems) -> StoreItems:
    return StoreItems(
        tuple(
            entry._replace(version=qualify_version(era, entry.version))
            for entry in listing.entries
        ),
        qualify_version(era, listing.position),
    )


def _read_content(
    call: StoreCall[ResultT], decoded: Any
) -> ResultT | StoreFailure:
    if isinstance(decoded, DecodeFailure):
        return StoreFailure(StoreFault.UNKNOWN, decoded.reason)
    try:
        return call.read(decoded)
    except (LookupError, TypeError, ValueError) as error:
        return StoreFailure(StoreFault.UNKNOWN, f'unreadable answer: {error!r}')


def create_store_client(
    addresses: Sequence[str], wire: StoreWire | None = None
) -> StoreClient:
    """Create a blocking client for the store's addresses.

    :param wire: HTTP interface of the store; merlintrail's own by default.
    """
    return StoreClient(addresses, wire)
