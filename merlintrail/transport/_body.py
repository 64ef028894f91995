"""Body of a message while it is being received."""


class BodyBuffer:
    """Collects the parts of a body.

    Its memory follows the bytes of the body, however small the parts are.
    """

    __slots__ = ('_first', '_joined', 'size')

    def __init__(self) -> None:
        self._first = b''
        #: All parts, once there are several.
        self._joined: bytearray | None = None
        #: Number of bytes collected.
        self.size = 0

    def append(self, part: bytes) -> None:
        """Append a part."""
        self.size += len(part)
        if self._joined is None and not self._first:
            self._first = part
            return
        if self._joined is None:
            self._joined = bytearray(self._first)
            self._first = b''
        self._joined += part

    def take(self) -> bytes:
        """Return the body and begin anew."""
        body = self._first if self._joined is None else bytes(self._joined)
        self.clear()
        return body

    def clear(self) -> None:
        """Begin anew."""
        self._first = b''
        self._joined = None
        self.size = 0
