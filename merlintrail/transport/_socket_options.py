"""Socket options that detect unresponsive peers."""

import socket
from asyncio import BaseTransport
from typing import Final

#: Seconds of idleness before the first keepalive probe is sent.
KEEPALIVE_IDLE_S: Final = 2
#: Seconds between keepalive probes.
KEEPALIVE_INTERVAL_S: Final = 1
#: Unacknowledged probes after which the kernel drops the connection.
KEEPALIVE_PROBES: Final = 3
#: Milliseconds for which sent data may remain unacknowledged.
USER_TIMEOUT_MS: Final = 3000


def limit_receive_buffer(sock: socket.socket, size: int) -> None:
    """Limit what a socket, or one that it accepts, receives before it is read.

    :param size: bytes of payload.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def limit_transport_buffer(transport: BaseTransport | None, size: int) -> None:
    """Limit what the socket of a connection receives before it is read.

    :param transport: ``None`` for a connection that is closed.
    :param size: bytes of payload.
    """
    if transport is not None:
        limit_receive_buffer(transport.get_extra_info('socket'), size)


def set_socket_options(
    transport: BaseTransport, receive_buffer_bytes: int
) -> None:
    """Set the options of a connection that this process has opened.

    TCP_NODELAY, keepalive and the user timeout are enabled, and the receive
    buffer is limited.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    limit_receive_buffer(sock, receive_buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)
