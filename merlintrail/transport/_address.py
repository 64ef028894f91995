"""Addresses of the form ``host:port``."""

from typing import Final, NamedTuple

#: Highest port number of TCP.
MAX_PORT: Final = 65535
#: Longest host name of the domain name system, in characters.
MAX_HOST_LENGTH: Final = 253
_MAX_PORT_DIGITS: Final = 5


class Address(NamedTuple):
    """Host and port of a listener."""

    host: str
    port: int


def parse_address(text: object) -> Address | None:
    """Parse the address of a listener that can be connected to.

    :returns: ``None`` for anything but ``host:port`` with a host of printable
        ASCII characters and a port from 1 to 65535.
    """
    if not isinstance(text, str):
        return None
    host, _, digits = text.rpartition(':')
    is_host = 0 < len(host) <= MAX_HOST_LENGTH and _is_printable(host)
    is_number = digits.isascii() and digits.isdigit()
    if not is_host or not is_number or len(digits) > _MAX_PORT_DIGITS:
        return None
    port = int(digits)
    return Address(host, port) if 0 < port <= MAX_PORT else None


def _is_printable(host: str) -> bool:
    return host.isascii() and host.isprintable() and ' ' not in host
