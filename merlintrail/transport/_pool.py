"""Pools of client connections, with idle connections kept by address."""

import asyncio
import sys
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from merlintrail.transport._address import Address, parse_address
from merlintrail.transport._client import (
    RECEIVE_BUFFER_BYTES,
    ClientConnection,
    ExchangeTimeouts,
)
from merlintrail.transport._descriptor_budget import (
    DescriptorLease,
    create_unlimited_budget,
)
from merlintrail.transport._failure import FailureStage, TransportFailure
from merlintrail.transport._memory_budget import MemoryBudget
from merlintrail.transport._memory_costs import SMALL_BYTES
from merlintrail.transport._message import (
    HeaderList,
    HttpResponse,
    encode_request_head,
)
from merlintrail.transport._timers import TimerQueue

#: Seconds of idleness after which a connection is no longer reused.
MAX_IDLE_S: Final = 30.0
#: Seconds before the end of the peer's keep-alive timeout from which a
#: connection is no longer reused, since the peer may be closing it already.
IDLE_MARGIN_S: Final = 1.0
#: Maximum number of idle connections kept for each address.
MAX_IDLE_CONNECTIONS: Final = 512
#: Seconds after which establishing a connection fails.
CONNECT_TIMEOUT_S: Final = 1.0
#: Reason of an exchange whose answer does not belong to its request.
ANSWER_MISMATCH: Final = 'answer to another request'
#: Maximum size in bytes of an answer body, which is buffered whole.
MAX_ANSWER_BYTES: Final = 4194304


class ConnectionPool:
    """Client connections, reused while their exchanges end cleanly."""

    def __init__(self, max_answer_bytes: int) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._idle: defaultdict[str, list[ClientConnection]]
        self._idle = defaultdict(list)
        self._timers: TimerQueue | None = None
        #: Room for answers, which others may share.
        self.budget = MemoryBudget(sys.maxsize)
        #: Bytes that each connection receives before they are read.
        self.receive_buffer_bytes = RECEIVE_BUFFER_BYTES
        #: Descriptors, which others may share.
        self.descriptors = create_unlimited_budget()
        #: Whether connections are opened also if there is no descriptor left.
        self.is_vital = False
        #: Bytes of requests sent, for measurements of control traffic.
        self.bytes_sent = 0
        #: Bytes of answer bodies received.
        self.bytes_received = 0

    async def exchange(  # noqa: WPS211
        self,
        address: str,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        is_fresh: bool = False,
        timeout_s: float | None = None,
        timeouts: ExchangeTimeouts | None = None,
        accepts: Callable[[HttpResponse], bool] | None = None,
    ) -> HttpResponse | TransportFailure:
        """Send a request and return the complete answer or the failure.

        :param address: ``host:port`` of the peer.
        :param is_fresh: whether to open a new connection rather than reuse an
            idle one.
        :param timeout_s: seconds allowed for the exchange once connected; also
            bounds the time to connect.
        :param timeouts: time limits of the exchange, in place of ``timeout_s``.
        :param accepts: returns whether an answer belongs to the request; the
            exchange fails if it does not.
        """
        timeouts = timeouts or ExchangeTimeouts(timeout_s)
        connection = None if is_fresh else self._take_idle(address)
        if connection is None:
            connected = await self._connect(address, timeouts.timeout_s)
            if isinstance(connected, TransportFailure):
                return connected
            connection = connected
        payload = encode_request_head(
            method, target, _add_host(headers, address), len(body)
        )
        self.bytes_sent += len(payload) + len(body)
        if len(body) <= SMALL_BYTES:
            payload += body
            body = b''
        answer = await connection.exchange(method, payload, timeouts, body)
        if isinstance(answer, HttpResponse):
            self.bytes_received += len(answer.body)
            if accepts is not None and not accepts(answer):
                connection.close()
                return TransportFailure(FailureStage.ANSWER, ANSWER_MISMATCH)
        if connection.is_reusable:
            self._put_idle(address, connection)
        else:
            connection.close()
        return answer

    async def can_connect(self, address: str) -> bool:
        """Return whether a new connection can be established.

        A want of descriptors here tells nothing of the address.
        """
        connection = await self._connect(address, is_vital=True)
        if isinstance(connection, TransportFailure):
            return False
        connection.close()
        return True

    def drop_idle(self, address: str) -> int:
        """Close the idle connections to an address and return their number."""
        connections = self._idle.pop(address, [])
        for connection in connections:
            connection.close()
        return len(connections)

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._idle):
            self.drop_idle(address)

    async def _connect(
        self,
        address: str,
        timeout_s: float | None = None,
        *,
        is_vital: bool = False,
    ) -> ClientConnection | TransportFailure:
        parsed = parse_address(address)
        if parsed is None:
            return TransportFailure(
                FailureStage.CONNECT, f'not an address: {address!r}'
            )
        has_room = self._make_room()
        if not (has_room or is_vital or self.is_vital):
            self.descriptors.refusals += 1
            return TransportFailure(FailureStage.ROOM, 'no descriptor is left')
        limit_s = min(CONNECT_TIMEOUT_S, timeout_s or CONNECT_TIMEOUT_S)
        lease = self.descriptors.lease()
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(limit_s):
                connection = await self._open(parsed, lease)
        except (OSError, TimeoutError, UnicodeError) as error:
            # A host with a label over 63 characters cannot be encoded.
            return TransportFailure(
                FailureStage.CONNECT, f'cannot connect: {error}'
            )
        finally:
            if connection is None:
                lease.release()
        return connection

    async def _open(
        self, address: Address, lease: DescriptorLease
    ) -> ClientConnection:
        """Open a connection.

        :raises OSError: when that fails.
        """
        loop = asyncio.get_running_loop()
        if self._timers is None:
            self._timers = TimerQueue(loop)
        timers = self._timers
        _, connection = await loop.create_connection(
            lambda: ClientConnection(
                loop,
                timers,
                self._max_answer_bytes,
                self.budget,
                self.receive_buffer_bytes,
                lease,
            ),
            address.host,
            address.port,
        )
        return connection

    def _make_room(self) -> bool:
        """Return whether another connection may be opened.

        Idle ones are closed for it.
        """
        if self.descriptors.has_room:
            return True
        for address in tuple(self._idle):
            self.drop_idle(address)
        return self.descriptors.has_room

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            limit_s = _compute_max_idle_s(connection)
            if connection.is_reusable and connection.idle_s < limit_s:
                return connection
            connection.close()
        return None

    def _put_idle(self, address: str, connection: ClientConnection) -> None:
        idle = self._idle[address]
        if len(idle) >= MAX_IDLE_CONNECTIONS or not self.descriptors.has_room:
            connection.close()
            return
        connection.mark_idle()
        idle.append(connection)


def _add_host(headers: HeaderList, address: str) -> HeaderList:
    """Add the address as Host header unless there is one."""
    if any(name == 'host' for name, _ in headers):
        return headers
    return (('host', address), *headers)


def _compute_max_idle_s(connection: ClientConnection) -> float:
    """Return the seconds of idleness after which not to reuse a connection."""
    limit_s = connection.keep_alive_timeout_s
    if limit_s is None:
        return MAX_IDLE_S
    return min(MAX_IDLE_S, max(limit_s / 2, limit_s - IDLE_MARGIN_S))


def create_pool(max_answer_bytes: int = MAX_ANSWER_BYTES) -> ConnectionPool:
    """Create an empty connection pool."""
    return ConnectionPool(max_answer_bytes)
