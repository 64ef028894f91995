"""What requests, answers and connections cost a process in memory."""

from typing import Final

#: Bytes of an open connection: protocol, parser, transport, task and timers.
CONNECTION_BYTES: Final = 8192
#: Bytes of a request that waits or is served: its objects, task and frames.
REQUEST_BYTES: Final = 10240
#: Bytes of a header line besides its text: name, value, entry of the mapping,
#: and the pair that is forwarded.
HEADER_LINE_BYTES: Final = 320
#: Copies of the text of a head: as received, decoded, encoded for the next hop.
HEAD_COPIES: Final = 4
#: Bytes of an answer that waits for room: what was read before its connection
#: was paused, and what the socket receives meanwhile.
WAITING_BYTES: Final = 131072
#: Size in bytes up to which a request or an answer is an ordinary one.
SMALL_BYTES: Final = 65536


def estimate_head_bytes(lines: int, size: int) -> int:
    """Estimate the memory of a parsed head.

    :param lines: number of header lines.
    :param size: bytes of their text.
    """
    return HEADER_LINE_BYTES * lines + HEAD_COPIES * size
