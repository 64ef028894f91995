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
        if self._joined is not None:
            self._joined += part
        elif self._first:
            self._joined = bytearray(self._first)
            self._joined += part
            self._first = b''
        else:
            self._first = part

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
