"""Client of a node's administration API."""

from typing import Any, Final, NamedTuple

import urllib3

from merlintrail.protocol import DecodeFailure, decode_json, encode_json

#: Seconds to wait for a node.
TIMEOUT_S: Final = 15.0


class AdminFailure(NamedTuple):
    """Sentinel in place of an answer, with the reason."""

    #: HTTP status, 0 when the node was not reached.
    status: int
    reason: str


class AdminReply(NamedTuple):
    """A decoded answer."""

    status: int
    document: Any


class AdminClient:
    """Asks one node."""

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = {'Authorization': f'Bearer {key}'}
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def ask(
        self, method: str, path: str, document: object = None
    ) -> AdminReply | AdminFailure:
        """Ask the node; an answer of any status but 401 is a reply."""
        try:
            answer = self._http.request(
                method,
                f'http://{self._address}{path}',
                body=None if document is None else encode_json(document),
                headers=self._headers,
            )
        except urllib3.exceptions.HTTPError as error:
            return AdminFailure(0, f'{self._address}: {error}')
        if answer.status == 401:
            return AdminFailure(401, 'the operator key is missing or wrong')
        decoded = decode_json(answer.data)
        if isinstance(decoded, DecodeFailure):
            return AdminFailure(answer.status, decoded.reason)
        return AdminReply(answer.status, decoded)
