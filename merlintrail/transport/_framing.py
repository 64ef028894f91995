"""Limit on the bytes of a message that are not part of its body."""

from typing import Final

#: Bytes of framing that each byte of the body permits. A chunk of one byte
#: takes five: its size and two line ends.
FRAMING_BYTES_PER_BODY_BYTE: Final = 8


class FramingAllowance:
    """Bounds the status line, headers, chunk framing and trailers of a message.

    None of these has a length of its own in HTTP/1.1, and a parser keeps what
    it has not completed, so that a peer could send them without an end. Each
    body byte returns some of the allowance, up to the limit, since the framing
    of small chunks may exceed the body.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._remaining_bytes = limit_bytes

    def reset(self) -> None:
        """Restore the whole allowance for the next message."""
        self._remaining_bytes = self._limit_bytes

    def spend(self, received_bytes: int, body_bytes: int) -> bool:
        """Account for received bytes.

        :param received_bytes: number of bytes received.
        :param body_bytes: number of these that belong to the body.
        :returns: whether the framing is still within the limit.
        """
        returned_bytes = body_bytes * FRAMING_BYTES_PER_BODY_BYTE
        self._remaining_bytes = min(
            self._limit_bytes, self._remaining_bytes + returned_bytes
        )
        self._remaining_bytes -= received_bytes - body_bytes
        return self._remaining_bytes >= 0
