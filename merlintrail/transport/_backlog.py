"""Received bytes of a connection that are kept back."""

from typing import Final

from merlintrail.transport._memory_budget import MemoryAccount

#: Bytes that a connection reads beyond the requests that may wait, so that it
#: notices the end of the caller.
MAX_BACKLOG_BYTES: Final = 262144


class Backlog:
    """Bytes that are parsed once fewer requests wait."""

    __slots__ = ('_account', '_received')

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._received = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._received)

    @property
    def is_full(self) -> bool:
        """Whether no more may be read."""
        return len(self._received) > MAX_BACKLOG_BYTES

    def append(self, received: bytes) -> None:
        """Keep bytes back."""
        self._received += received
        self._account.add(len(received))

    def take(self) -> bytes:
        """Return all bytes, and keep none."""
        received = bytes(self._received)
        self.clear()
        return received

    def clear(self) -> None:
        """Forget the bytes."""
        self._account.add(-len(self._received))
        self._received = bytearray()
