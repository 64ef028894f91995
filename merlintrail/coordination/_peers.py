"""Clients for messages between nodes, JSON over HTTP."""

import abc
from typing import Any, Final

from merlintrail.protocol import (
    FLEET_KEY_HEADER,
    DecodeFailure,
    decode_json,
    encode_json,
)
from merlintrail.transport import (
    TIMEOUT,
    ConnectionPool,
    FailureStage,
    TransportFailure,
)

#: Path prefix of messages between nodes.
PEER_PATH: Final = '/-/'
_OK: Final = 200


class PeerClient(abc.ABC):
    """Sends a message to another node."""

    @abc.abstractmethod
    async def send_request(
        self,
        address: str,
        subject: str,
        document: object,
        *,
        timeout_s: float,
        is_fresh: bool = False,
    ) -> Any:
        """Send a message and return the decoded answer.

        :param subject: kind of message, which selects its handler.
        :param is_fresh: whether to use a new connection instead of a pooled
            one.
        :returns: the answer's document, or a :class:`TransportFailure`.
        """


class HttpPeerClient(PeerClient):
    """Sends messages over pooled HTTP connections."""

    def __init__(self, pool: ConnectionPool, fleet_key: str) -> None:
        self._pool = pool
        self._headers = ((FLEET_KEY_HEADER, fleet_key),)

    async def send_request(
        self,
        address: str,
        subject: str,
        document: object,
        *,
        timeout_s: float,
        is_fresh: bool = False,
    ) -> Any:
        """Send a message and return the decoded answer."""
        answer = await self._pool.exchange(
            address,
            'POST',
            f'{PEER_PATH}{subject}',
            self._headers,
            encode_json(document),
            is_fresh=is_fresh,
            timeout_s=timeout_s,
        )
        if isinstance(answer, TransportFailure):
            if answer.reason == TIMEOUT:
                # Other idle connections may have fallen silent too.
                self._pool.drop_idle(address)
            return answer
        if answer.status != _OK:
            return TransportFailure(
                FailureStage.ANSWER, f'status {answer.status}'
            )
        decoded = decode_json(answer.body)
        if isinstance(decoded, DecodeFailure):
            return TransportFailure(FailureStage.ANSWER, decoded.reason)
        return decoded
