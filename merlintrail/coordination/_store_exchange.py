"""HTTP exchanges with one address of the store, each within a time limit."""

import socket
from collections.abc import Mapping
from http.client import HTTPException
from typing import Any, Final, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection

from merlintrail.coordination._bounded_response import (
    BoundedConnection,
    BoundedConnectionPool,
)
from merlintrail.coordination._interruption import Interruption
from merlintrail.coordination._store import StoreFailure, StoreFault
from merlintrail.coordination._store_wire import StoreCall
from merlintrail.protocol import encode_json
from merlintrail.transport import parse_address

#: Seconds to wait for a connection to the store.
CONNECT_TIMEOUT_S: Final = 1.0
#: Seconds to wait for an answer of the store.
READ_TIMEOUT_S: Final = 2.0
#: Seconds to wait for the first answer to a call that may be repeated. It is
#: shorter, since a connection may have fallen silent while new ones work.
FIRST_READ_TIMEOUT_S: Final = 0.8
#: Seconds to wait for the answer to a watch beyond the time for which the
#: store may hold it back.
WATCH_MARGIN_S: Final = 0.6
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
_SOCKET_OPTIONS: Final = [
    *HTTPConnection.default_socket_options,
    *_KEEPALIVE_OPTIONS,
]
#: Bytes of an answer that are read at a time.
_READ_BYTES: Final = 65536
_JSON_HEADERS: Final = {'content-type': 'application/json'}
_CONNECT_ERRORS: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
    # A host with a label over 63 characters cannot be encoded.
    UnicodeError,
)


class HttpAnswer(NamedTuple):
    """Complete answer to a store call."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class StoreExchange:
    """Sends calls over pooled connections, and watches over their own."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )
        self._http.pool_classes_by_scheme = {'http': BoundedConnectionPool}

    def drop_idle(self) -> None:
        """Close the idle connections, so that the next call opens one."""
        self._http.clear()

    def send(
        self, address: str, call: StoreCall[Any]
    ) -> HttpAnswer | StoreFailure:
        """Send a call and wait for its answer.

        A call that may be repeated is sent once more, on a new connection,
        when its answer is lost or late. Connections that were idle meanwhile
        are dropped then, since they may be silent too.
        """
        first_timeout_s = (
            FIRST_READ_TIMEOUT_S if call.is_repeatable else READ_TIMEOUT_S
        )
        response = self._request(address, call, first_timeout_s)
        if _is_unknown(response):
            self.drop_idle()
            if call.is_repeatable:
                response = self._request(address, call, READ_TIMEOUT_S)
        if isinstance(response, StoreFailure):
            return response
        try:
            return _read_answer(response)
        except urllib3.exceptions.HTTPError as error:
            return StoreFailure(StoreFault.UNKNOWN, str(error))

    def wait(
        self, address: str, call: StoreCall[Any], interruption: Interruption
    ) -> HttpAnswer | StoreFailure:
        """Send a call whose answer the store holds back for some time.

        :param interruption: ends the wait when it is interrupted.
        """
        parsed = parse_address(address)
        if parsed is None:
            return StoreFailure(StoreFault.UNAVAILABLE, 'not an address')
        connection = BoundedConnection(
            parsed.host,
            parsed.port,
            timeout=CONNECT_TIMEOUT_S,
            socket_options=_SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, UnicodeError) as error:
            return StoreFailure(StoreFault.UNAVAILABLE, str(error))
        try:
            return _wait_for_answer(connection, call, interruption)
        except (
            urllib3.exceptions.HTTPError,
            HTTPException,
            OSError,
        ) as error:
            return StoreFailure(StoreFault.UNKNOWN, repr(error))
        finally:
            interruption.detach()
            connection.close()

    def _request(
        self, address: str, call: StoreCall[Any], timeout_s: float
    ) -> urllib3.BaseHTTPResponse | StoreFailure:
        """Send a call once and wait for the head of its answer."""
        sent = None if call.body is None else encode_json(call.body)
        try:
            return self._http.request(
                call.method,
                f'http://{address}{call.path}',
                body=sent,
                headers=None if sent is None else _JSON_HEADERS,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
                preload_content=False,
            )
        except _CONNECT_ERRORS as error:
            return StoreFailure(StoreFault.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return StoreFailure(StoreFault.UNKNOWN, str(error))


def _is_unknown(response: urllib3.BaseHTTPResponse | StoreFailure) -> bool:
    return (
        isinstance(response, StoreFailure)
        and response.fault == StoreFault.UNKNOWN
    )


def _wait_for_answer(
    connection: BoundedConnection,
    call: StoreCall[Any],
    interruption: Interruption,
) -> HttpAnswer | StoreFailure:
    if not interruption.attach(connection.sock):
        return StoreFailure(StoreFault.UNAVAILABLE, 'given up')
    connection.timeout = call.wait_s + WATCH_MARGIN_S
    connection.request(call.method, call.path, preload_content=False)
    return _read_answer(connection.getresponse())


def _read_answer(response: urllib3.BaseHTTPResponse) -> HttpAnswer:
    """Read the body in parts, since its length may exceed the memory."""
    body = b''.join(response.stream(_READ_BYTES))
    return HttpAnswer(response.status, response.headers, body)
