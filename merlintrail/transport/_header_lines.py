"""Header lines of a message, kept in few objects until it is complete."""

from typing import Final

from merlintrail.transport._memory_costs import estimate_head_bytes

_ENCODING: Final = 'latin-1'


class HeaderLines:
    """Collects the header lines of one message.

    A line that is kept in objects of its own costs many times its bytes, which
    a peer could make a process pay for heads that are never complete.
    """

    __slots__ = ('_text', 'count')

    def __init__(self) -> None:
        self._text = bytearray()
        #: Number of lines.
        self.count = 0

    @property
    def size(self) -> int:
        """Bytes of the text of the lines."""
        return len(self._text)

    @property
    def memory_bytes(self) -> int:
        """Memory in bytes that the lines take once they are decoded."""
        return estimate_head_bytes(self.count, len(self._text))

    def append(self, name: bytes, text: bytes) -> None:
        """Append a line; the parser lets no line end through in either part."""
        self._text += b'%b:%b\n' % (name, text)
        self.count += 1

    def decode(self) -> list[tuple[str, str]]:
        """Return names in lower case, and texts without spaces around them."""
        lines = self._text.decode(_ENCODING).split('\n')[:-1]
        parts = [line.partition(':') for line in lines]
        return [(name.lower(), text.strip()) for name, _, text in parts]

    def clear(self) -> None:
        """Forget the lines."""
        if self.count:
            self._text = bytearray()
            self.count = 0
