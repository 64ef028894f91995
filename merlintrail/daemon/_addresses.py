"""Addresses that the process before has not released yet."""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable
from typing import Final

from merlintrail.node import Settings, split_host_port
from merlintrail.observability import create_logger

#: Seconds to wait for addresses that are in use, as they are while the
#: process before still answers its last requests.
RELEASE_WAIT_S: Final = 10.0
#: Seconds between two attempts to bind an address.
_POLL_INTERVAL_S: Final = 0.05

_LOG: Final = create_logger('daemon')


def list_addresses(settings: Settings, *, has_listener: bool) -> list[str]:
    """Return the addresses that a node listens on.

    :param has_listener: whether a socket listens on the call address already.
    """
    addresses = [
        settings.peer_listen_address or settings.peer_address,
        settings.admin_address,
    ]
    if not has_listener:
        addresses.append(settings.call_address)
    if settings.platform is not None:
        addresses.append(settings.platform.ready_address)
        addresses.append(settings.platform.announce_address)
    return addresses


async def wait_for_addresses(
    addresses: Iterable[str], is_stopping: Callable[[], bool]
) -> None:
    """Wait until addresses are not in use, the limit over, or the node stops.

    :param addresses: each as ``host:port``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RELEASE_WAIT_S
    for address in addresses:
        if not is_in_use(address):
            continue
        _LOG.warning('address in use', extra={'address': address})
        while is_in_use(address) and loop.time() < deadline:
            if is_stopping():
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


def is_in_use(address: str) -> bool:
    """Return whether another process listens on an address."""
    try:
        socket.create_server(split_host_port(address)).close()
    except OSError as error:
        return error.errno == errno.EADDRINUSE
    return False
