"""Client of a node's administration API."""

from typing import Any, Final, NamedTuple

import urllib3

from merlintrail.protocol import DecodeFailure, decode_json, encode_json

#: Seconds to wait for each connection attempt and read.
REQUEST_TIMEOUT_S: Final = 15.0


class AdminFailure(NamedTuple):
    """Returned in place of a reply when a request got no usable one."""

    #: HTTP status, 0 when no HTTP response was received.
    status: int
    reason: str


class AdminReply(NamedTuple):
    """An HTTP response with its decoded JSON body."""

    status: int
    document: Any


class AdminClient:
    """Sends authenticated requests to the administration API of one node."""

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = {'Authorization': f'Bearer {key}'}
        self._http = urllib3.PoolManager(
            retries=False, timeout=REQUEST_TIMEOUT_S
        )

    def send_request(
        self, method: str, path: str, document: object = None
    ) -> AdminReply | AdminFailure:
        """Send a request and decode the response.

        Any status but 401 is returned as a reply, if its body is JSON.
        """
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
