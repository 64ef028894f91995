"""Time limits on the requests that arrive on a connection."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._request_parser import RequestParser

#: Bytes of a body that have to arrive in the time for a body, so that it gets
#: that time again.
MIN_PROGRESS_BYTES: Final = 65536


class ReceiveTimer:
    """Ends a request that arrives too slowly.

    The time limits are those of the parser's limits.
    """

    __slots__ = (
        '_loop',
        '_parser',
        '_refuse',
        '_timer',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parser: RequestParser,
        refuse: Callable[[BadRequest], None],
    ) -> None:
        """Initialize a timer that does not run.

        :param refuse: called with the refusal of a request that is too slow.
        """
        self._loop = loop
        self._parser = parser
        self._refuse = refuse
        self._timer: asyncio.TimerHandle | None = None

    def update(self) -> None:
        """Run while a request is being received, from its first byte on."""
        if not self._parser.is_receiving:
            self.stop()
        elif self._timer is None:
            self._timer = self._loop.call_later(
                self._parser.limits.receive_timeout_s, self._check
            )

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop for good, and drop the references to the connection."""
        self.stop()
        del self._refuse

    def _check(self, received_bytes: int | None = None) -> None:
        """Refuse the request unless it is in time.

        :param received_bytes: bytes of the body that had arrived when its
            time began, ``None`` while that of the headers runs.
        """
        self._timer = None
        arrived = self._parser.received_body_bytes
        is_in_time = not self._parser.is_in_headers and (
            received_bytes is None
            or arrived >= received_bytes + MIN_PROGRESS_BYTES
        )
        if is_in_time:
            self._timer = self._loop.call_later(
                self._parser.limits.body_timeout_s, self._check, arrived
            )
        else:
            self._refuse(BadRequest(408, 'request-incomplete'))
