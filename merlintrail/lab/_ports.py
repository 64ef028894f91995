"""Allocation of ports for processes that may be restarted.

A port from the ephemeral range can be in use by another process by the time
that a killed process is to listen on it again. Ports are therefore allocated
below that range, and each process that starts others reserves blocks of them.
"""

import contextlib
import errno
import itertools
import socket
from collections.abc import Iterator
from typing import Final

#: Address on which every process of a deployment listens.
HOST: Final = '127.0.0.1'
#: First and last port of all blocks; systems assign ephemeral ports from 32768
#: on.
FIRST_PORT: Final = 12000
LAST_PORT: Final = 31999
#: Ports of one block. The first is not allocated but kept bound by the
#: process that reserved the block.
BLOCK_PORTS: Final = 400


class PortsExhausted(OSError):
    """Raised when no block of ports is left to reserve."""


class _PortBlocks:
    """Blocks of ports that are reserved by this process."""

    def __init__(self) -> None:
        #: Sockets bound to the first port of each reserved block, which keep
        #: other processes from reserving it.
        self._block_locks: list[socket.socket] = []
        #: Ports of the newest block that are not allocated yet.
        self._ports: Iterator[int] = iter(())

    def allocate_port(self) -> int:
        """Return a port that is free at present.

        :raises PortsExhausted: when no block is left to reserve.
        """
        for port in itertools.chain(self._ports, self._claim_blocks()):
            if _is_free(port):
                return port
        raise PortsExhausted(
            errno.EADDRINUSE, 'no free port is left in any block'
        )

    def _claim_blocks(self) -> Iterator[int]:
        """Reserve one block after the other and yield their ports."""
        for first_port in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            block_lock = socket.socket()
            try:
                block_lock.bind((HOST, first_port))
            except OSError:
                block_lock.close()
                continue
            self._block_locks.append(block_lock)
            self._ports = iter(range(first_port + 1, first_port + BLOCK_PORTS))
            yield from self._ports


_BLOCKS: Final = _PortBlocks()


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as listener:
        try:
            listener.bind((HOST, port))
        except OSError:
            return False
    return True


def find_free_ports(count: int) -> list[int]:
    """Return free ports that no other user of this module allocates.

    They stay reserved until this process exits.

    :raises PortsExhausted: when no block is left to reserve.
    """
    return [_BLOCKS.allocate_port() for _ in range(count)]
