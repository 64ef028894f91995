"""Backend server that answers each request with bytes of the test's choice."""

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Final, TypeAlias

from merlintrail.lab._ports import HOST

_READ_BYTES: Final = 65536
_HEAD_END: Final = b'\r\n\r\n'

#: Returns the parts of an answer, which may have no end.
AnswerParts: TypeAlias = Callable[[], Iterator[bytes]]


class RawBackend:
    """Listens on a port of its own, with a thread for each connection."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        #: What it answers.
        self.answer: AnswerParts = lambda: iter(())
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The ``host:port`` at which it listens."""
        return f'{HOST}:{self._listener.getsockname()[1]}'

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for connection, _ in iter(self._listener.accept, None):
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        """Answer requests without bodies until the node closes."""
        with contextlib.suppress(OSError), connection:
            received = b''
            while part := connection.recv(_READ_BYTES):
                received += part
                if received.endswith(_HEAD_END):
                    received = b''
                    for answer_part in self.answer():
                        connection.sendall(answer_part)


def repeat_without_end(start: bytes, part: bytes) -> AnswerParts:
    """Return an answer that repeats a part until the connection closes."""
    return lambda: itertools.chain((start,), itertools.repeat(part * 64))


def answer_once(answer: bytes) -> AnswerParts:
    """Return an answer that is sent as it is."""
    return lambda: iter((answer,))
