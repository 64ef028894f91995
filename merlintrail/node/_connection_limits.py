"""Limits on what connections take, which follow from the machine."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

#: Memory in megabytes of a machine whose settings do not tell it.
DEFAULT_MEMORY_MB: Final = 200
#: Descriptors of a machine whose settings do not tell them.
DEFAULT_DESCRIPTORS: Final = 4100
#: Share of the machine's memory that connections may take. The rest is for
#: the program, what it knows of the fleet, and copies that are being made.
CONNECTION_MEMORY_SHARE: Final = 0.35
#: Shares of the descriptors for accepted connections.
CALLER_DESCRIPTOR_SHARE: Final = 0.4
PEER_DESCRIPTOR_SHARE: Final = 0.35
#: Share of them for accepted and opened connections together.
SOCKET_SHARE: Final = 0.8
#: Share of them for each address of the platform.
PLATFORM_DESCRIPTOR_SHARE: Final = 0.03
#: Share of them for operators without a request, and the most of these.
OPERATOR_DESCRIPTOR_SHARE: Final = 0.02
MAX_OPERATOR_CONNECTIONS: Final = 64
#: Share of them for inquiries, which open a connection each.
INQUIRY_DESCRIPTOR_SHARE: Final = 0.02
#: Kibibytes that an accepted connection receives before they are read.
DEFAULT_RECEIVE_BUFFER_KB: Final = 64
#: Share of that for connections that a node opens. Each of them may hold an
#: answer that waits for memory.
OPENED_RECEIVE_BUFFER_SHARE: Final = 0.5
#: Share of the machine's memory for the keys of the ledger, and what a key
#: costs in bytes.
LEDGER_MEMORY_SHARE: Final = 0.1
BYTES_PER_KEY: Final = 512
#: Requests served beside others of their connections, for each megabyte that
#: connections may take.
EARLY_REQUESTS_PER_MB: Final = 1.0
#: Requests a second of all connections that keep others back.
DEFAULT_DEEP_REQUESTS_PER_S: Final = 250
_BYTES_PER_KB: Final = 1024
_BYTES_PER_MB: Final = 1_000_000


class ConnectionLimits(NamedTuple):
    """Limits on what the connections of a node may take together."""

    #: Bytes of memory of all connections, requests and answers.
    memory_bytes: int = 70_000_000
    #: Connections of callers and the backend server.
    caller_connections: int = 1640
    #: Connections of other nodes.
    peer_connections: int = 1435
    #: Connections of both kinds and opened ones together.
    sockets: int = 3280
    #: Connections at each address of the platform.
    platform_connections: int = 123
    #: Connections of operators without a request.
    operator_connections: int = 64
    #: Inquiries to other nodes that are made at the same time.
    inquiries: int = 82
    #: Bytes that an accepted connection receives before they are read.
    receive_buffer_bytes: int = 65536
    #: Requests that are served beside others of their connections.
    early_requests: int = 70
    #: Requests a second of all connections that keep others back.
    deep_requests_per_s: float = 250
    #: Idempotency keys that the ledger of the node keeps.
    ledger_keys: int = 39062

    @property
    def opened_receive_buffer_bytes(self) -> int:
        """The same of connections that the node opens."""
        return int(OPENED_RECEIVE_BUFFER_SHARE * self.receive_buffer_bytes)


def build_connection_limits(
    machine: Mapping[str, Any], limits: Mapping[str, Any]
) -> ConnectionLimits:
    """Build the limits; those that are not set follow from the machine."""
    machine_mb = machine.get('memory_mb', DEFAULT_MEMORY_MB)
    memory_mb = limits.get('memory_mb', machine_mb * CONNECTION_MEMORY_SHARE)
    ledger_bytes = machine_mb * LEDGER_MEMORY_SHARE * _BYTES_PER_MB
    descriptors = machine.get('descriptors', DEFAULT_DESCRIPTORS)
    receive_buffer_kb = limits.get(
        'receive_buffer_kb', DEFAULT_RECEIVE_BUFFER_KB
    )
    operators = int(descriptors * OPERATOR_DESCRIPTOR_SHARE)
    return ConnectionLimits(
        memory_bytes=int(memory_mb * _BYTES_PER_MB),
        caller_connections=limits.get(
            'callers', int(descriptors * CALLER_DESCRIPTOR_SHARE)
        ),
        peer_connections=limits.get(
            'nodes', int(descriptors * PEER_DESCRIPTOR_SHARE)
        ),
        sockets=limits.get('sockets', int(descriptors * SOCKET_SHARE)),
        platform_connections=limits.get(
            'platform', int(descriptors * PLATFORM_DESCRIPTOR_SHARE)
        ),
        operator_connections=limits.get(
            'operators', min(MAX_OPERATOR_CONNECTIONS, operators)
        ),
        inquiries=limits.get(
            'inquiries', int(descriptors * INQUIRY_DESCRIPTOR_SHARE)
        ),
        receive_buffer_bytes=receive_buffer_kb * _BYTES_PER_KB,
        early_requests=limits.get(
            'pipelined', int(memory_mb * EARLY_REQUESTS_PER_MB)
        ),
        deep_requests_per_s=limits.get(
            'pipelined_per_s', DEFAULT_DEEP_REQUESTS_PER_S
        ),
        ledger_keys=limits.get('keys', int(ledger_bytes / BYTES_PER_KEY)),
    )
