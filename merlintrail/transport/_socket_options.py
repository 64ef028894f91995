"""Socket options that detect connections gone silent."""

import socket
from asyncio import BaseTransport
from typing import Final

#: Seconds of idleness before the first keepalive probe.
KEEPALIVE_IDLE_S: Final = 2
#: Seconds between keepalive probes.
KEEPALIVE_INTERVAL_S: Final = 1
#: Probes without answer before the kernel drops the connection.
KEEPALIVE_PROBES: Final = 3
#: Milliseconds that sent bytes may stay unacknowledged.
USER_TIMEOUT_MS: Final = 3000


def set_socket_options(transport: BaseTransport) -> None:
    """Set no-delay, keepalive and the user timeout on a connection."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)
