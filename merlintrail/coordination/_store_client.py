"""Blocking client of the store's HTTP interface, by urllib3."""

from collections.abc import Sequence
from typing import Any, Final
from urllib.parse import quote

import urllib3

from merlintrail.coordination._store import (
    StoreFailure,
    StoreFault,
    StoreValue,
)
from merlintrail.protocol import DecodeFailure, decode_json, encode_json

#: Seconds to wait for a connection to the store.
CONNECT_TIMEOUT_S: Final = 1.0
#: Seconds to wait for an answer of the store.
READ_TIMEOUT_S: Final = 2.0
#: Connections to one address of the store.
MAX_CONNECTIONS: Final = 8
_OK: Final = 200
_FAULTS_BY_STATUS: Final = {
    404: StoreFault.NOT_FOUND,
    409: StoreFault.CONFLICT,
    410: StoreFault.LEASE_EXPIRED,
    304: StoreFault.UNCHANGED,
    503: StoreFault.UNAVAILABLE,
}


class StoreClient:
    """Speaks to the store; used by the command line and the console.

    Addresses are tried in their order; a write whose answer was lost is
    never sent again.
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = tuple(addresses)
        self._http = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def read(self, key: str) -> StoreValue | StoreFailure:
        """Read a key."""
        return _read_value(self._request('GET', _build_path(key)))

    def write(
        self,
        key: str,
        document: object,
        expected_version: int,
        lease: str | None = None,
    ) -> int | StoreFailure:
        """Write a key if its version is the expected one."""
        body = {
            'document': document,
            'expected_version': expected_version,
            'lease': lease,
        }
        answer = self._request('PUT', _build_path(key), body)
        if isinstance(answer, StoreFailure):
            return answer
        version: int = answer['version']
        return version

    def remove(self, key: str, expected_version: int) -> None | StoreFailure:
        """Remove a key if its version is the expected one."""
        path = f'{_build_path(key)}?expected_version={expected_version}'
        return _read_nothing(self._request('DELETE', path))

    def watch(
        self, key: str, known_version: int, timeout_s: float
    ) -> StoreValue | StoreFailure:
        """Wait until a key has another version than the known one."""
        path = (
            f'/v1/watch/{quote(key, safe="")}'
            f'?known_version={known_version}&timeout_s={timeout_s}'
        )
        return _read_value(
            self._request('GET', path, read_timeout_s=timeout_s * 2)
        )

    def grant_lease(self, duration_s: float) -> str | StoreFailure:
        """Obtain a lease."""
        answer = self._request('POST', '/v1/leases', {'duration_s': duration_s})
        if isinstance(answer, StoreFailure):
            return answer
        return str(answer['lease'])

    def renew_lease(self, lease: str) -> None | StoreFailure:
        """Renew a lease for its whole duration."""
        return _read_nothing(self._request('POST', f'/v1/leases/{lease}', {}))

    def revoke_lease(self, lease: str) -> None | StoreFailure:
        """Give a lease up, with the keys that hang on it."""
        return _read_nothing(self._request('DELETE', f'/v1/leases/{lease}'))

    def _request(
        self,
        method: str,
        path: str,
        document: object = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> Any:
        failure = StoreFailure(StoreFault.UNAVAILABLE, 'no store address')
        for address in self._addresses:
            answer = self._send(address, method, path, document, read_timeout_s)
            if not isinstance(answer, StoreFailure):
                return answer
            failure = answer
            if failure.fault != StoreFault.UNAVAILABLE:
                break
        return failure

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        document: object,
        read_timeout_s: float,
    ) -> Any:
        body = None if document is None else encode_json(document)
        try:
            answer = self._http.request(
                method,
                f'http://{address}{path}',
                body=body,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=read_timeout_s
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return StoreFailure(StoreFault.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return StoreFailure(StoreFault.UNKNOWN, str(error))
        if answer.status != _OK:
            fault = _FAULTS_BY_STATUS.get(answer.status, StoreFault.UNKNOWN)
            return StoreFailure(fault, f'status {answer.status}')
        decoded = decode_json(answer.data)
        if isinstance(decoded, DecodeFailure):
            return StoreFailure(StoreFault.UNKNOWN, decoded.reason)
        return decoded


def _build_path(key: str) -> str:
    return f'/v1/keys/{quote(key, safe="")}'


def _read_value(answer: Any) -> StoreValue | StoreFailure:
    if isinstance(answer, StoreFailure):
        return answer
    return StoreValue(answer['document'], answer['version'])


def _read_nothing(answer: Any) -> None | StoreFailure:
    return answer if isinstance(answer, StoreFailure) else None


def create_store_client(addresses: Sequence[str]) -> StoreClient:
    """Create a blocking client for the store's addresses."""
    return StoreClient(addresses)
