"""Blocking client of the store, based on urllib3."""

import socket
from collections.abc import Sequence
from typing import Any, Final, TypeVar

import urllib3
from urllib3.connection import HTTPConnection

from merlintrail.coordination._bounded_response import (
    BoundedConnectionPool,
)
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
from merlintrail.coordination._store_wire import (
    NativeStoreWire,
    StoreCall,
    StoreWire,
)
from merlintrail.protocol import DecodeFailure, decode_json, encode_json

#: Seconds to wait for a connection to the store.
CONNECT_TIMEOUT_S: Final = 1.0
#: Seconds to wait for an answer of the store, besides the time that a watch
#: may take.
READ_TIMEOUT_S: Final = 2.0
#: Limit on pooled connections to one address of the store.
MAX_CONNECTIONS: Final = 8
#: TCP keepalive that closes a connection to an unreachable store: probes
#: begin after 2 s, follow each other by 1 s, and 3 may stay unanswered.
_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
#: Bytes of an answer that are read at a time.
_READ_BYTES: Final = 65536
_OK: Final = 200
_JSON_HEADERS: Final = {'content-type': 'application/json'}

ResultT = TypeVar('ResultT')


class StoreClient:
    """Blocking client that nodes, the command line and the console use.

    The addresses are tried in order until one of them is available. A call
    whose answer was lost is not sent again, because it may have taken effect.
    """

    def __init__(
        self, addresses: Sequence[str], wire: StoreWire | None = None
    ) -> None:
        self._addresses = tuple(addresses)
        self._wire = wire or NativeStoreWire()
        self._http = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS,
            retries=False,
            socket_options=[
                *HTTPConnection.default_socket_options,
                *_KEEPALIVE_OPTIONS,
            ],
        )
        self._http.pool_classes_by_scheme = {'http': BoundedConnectionPool}

    def read(self, key: str) -> StoreValue | StoreFailure:
        """Read a key."""
        return self._try_addresses(self._wire.build_read(key))

    def read_range(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreItems | StoreFailure:
        """Read all keys under a prefix."""
        entries: list[StoreItem] = []
        after: str | None = None
        position: int | None = None
        while True:
            page = self._try_addresses(
                self._wire.build_range(prefix, after, may_be_stale=may_be_stale)
            )
            if isinstance(page, StoreFailure):
                return page
            entries.extend(page.listing.entries)
            if position is None:
                position = page.listing.position
            if page.next_after is None:
                return StoreItems(tuple(entries), position)
            after = page.next_after

    def transact(self, transaction: Transaction) -> int | StoreFailure:
        """Make changes if every key has its expected version."""
        return self._try_addresses(self._wire.build_transaction(transaction))

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
        removed = self.transact(build_removal(key, expected_version))
        return removed if isinstance(removed, StoreFailure) else None

    def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreItems | StoreFailure:
        """Wait for changes under a prefix after a position."""
        return self._try_addresses(
            self._wire.build_watch(prefix, position, timeout_s)
        )

    def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""
        return self._try_addresses(self._wire.build_grant(duration_s))

    def renew_lease(self, lease: str) -> None | StoreFailure:
        """Extend a lease by its whole duration from now."""
        return self._try_addresses(self._wire.build_renewal(lease))

    def revoke_lease(self, lease: str) -> None | StoreFailure:
        """End a lease, which removes the keys attached to it."""
        return self._try_addresses(self._wire.build_revocation(lease))

    def _try_addresses(
        self, call: StoreCall[ResultT]
    ) -> ResultT | StoreFailure:
        failure = StoreFailure(StoreFault.UNAVAILABLE, 'no store address')
        for address in self._addresses:
            answer = self._send(address, call)
            if not isinstance(answer, StoreFailure):
                return answer
            failure = answer
            if failure.fault != StoreFault.UNAVAILABLE:
                break
        return failure

    def _send(
        self, address: str, call: StoreCall[ResultT]
    ) -> ResultT | StoreFailure:
        sent = None if call.body is None else encode_json(call.body)
        try:
            answer = self._http.request(
                call.method,
                f'http://{address}{call.path}',
                body=sent,
                headers=None if sent is None else _JSON_HEADERS,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S,
                    read=call.wait_s + READ_TIMEOUT_S,
                ),
                preload_content=False,
            )
            # Read in parts, since the stated length may exceed the memory.
            body = b''.join(answer.stream(_READ_BYTES))
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return StoreFailure(StoreFault.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return StoreFailure(StoreFault.UNKNOWN, str(error))
        if answer.status != _OK:
            fault = call.faults.get(answer.status, StoreFault.UNKNOWN)
            return StoreFailure(fault, f'status {answer.status}')
        return _read_answer(call, decode_json(body))


def _read_answer(
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
