"""Ends a call that another thread makes and that waits for its answer."""

import contextlib
import socket
import threading


class Interruption:
    """Lets one thread end the wait of another one for an answer.

    A call whose result nobody awaits any more would otherwise keep its thread
    and its connection until its time limit.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._connection: socket.socket | None = None
        self._is_interrupted = False

    def attach(self, connection: socket.socket) -> bool:
        """Set the connection on which the call waits.

        :returns: whether the call may go on.
        """
        with self._lock:
            self._connection = connection
            return not self._is_interrupted

    def detach(self) -> None:
        """Forget the connection, which is about to be closed."""
        with self._lock:
            self._connection = None

    def interrupt(self) -> None:
        """End the call, also one that has not begun to wait."""
        with self._lock:
            self._is_interrupted = True
            if self._connection is not None:
                with contextlib.suppress(OSError):
                    self._connection.shutdown(socket.SHUT_RDWR)
