"""Bytes of a connection that its peer has not acknowledged."""

import array
import asyncio
import fcntl
import termios
from typing import Final

_INTEGER_CODE: Final = 'i'


def count_untaken_bytes(transport: asyncio.Transport | None) -> int:
    """Return the bytes that the peer's host has not acknowledged.

    They are those that the socket has not taken, and those that its send queue
    holds, where the platform tells (``SIOCOUTQ`` of Linux, tcp(7)). The end of
    a connection counts as a byte of the queue.

    :param transport: ``None`` for a connection that has ended.
    """
    if transport is None:
        return 0
    return transport.get_write_buffer_size() + _count_queued_bytes(transport)


def _count_queued_bytes(transport: asyncio.Transport) -> int:
    sock = transport.get_extra_info('socket')
    queued = array.array(_INTEGER_CODE, [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except (AttributeError, OSError, ValueError):
        return 0
    return max(0, queued[0])
