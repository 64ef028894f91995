"""TCP relay that injects network faults, for tests and benchmarks.

It can delay, reset or drop the traffic of its connections. When traffic is
dropped, the relay still reads it, so the sender sees it acknowledged by TCP,
but forwards nothing. Connections opened after that are not affected.
"""

import asyncio
from typing import Final

from merlintrail.lab._ports import HOST, find_free_ports

#: Largest number of bytes that are forwarded at once.
_CHUNK_BYTES: Final = 65536


class TcpRelay:
    """Forwards TCP connections to one target and injects faults."""

    def __init__(self, direction: str) -> None:
        """Create a relay on a free port.

        :param direction: the traffic that :meth:`drop_traffic` drops:
            ``forward`` (to the target), ``backward`` or ``both``.
        """
        self._direction = direction
        self._port = find_free_ports(1)[0]
        #: Number of calls of :meth:`drop_traffic`; connections that were
        #: opened before the last one drop their traffic.
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        #: ``host:port`` to which connections are forwarded.
        self.target = ''
        #: Seconds by which each chunk is delayed before it is forwarded.
        self.delay_s = 0.0

    @property
    def address(self) -> str:
        """``host:port`` on which the relay listens."""
        return f'{HOST}:{self._port}'

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def drop_traffic(self) -> None:
        """Drop the traffic of every open connection from now on.

        Only the traffic in the direction of this relay is dropped.
        """
        self._generation += 1

    def reset(self) -> None:
        """Abort every open connection; data not yet sent is discarded."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        for direction, source, sink in (
            ('forward', reader, target_writer),
            ('backward', target_reader, writer),
        ):
            task = asyncio.create_task(self._copy(direction, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self,
        direction: str,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        generation = self._generation
        self._writers.add(sink)
        try:
            while chunk := await source.read(_CHUNK_BYTES):
                is_dropping = generation != self._generation
                if is_dropping and self._direction in {direction, 'both'}:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if sink.is_closing():
                    return
                sink.write(chunk)
        except OSError:
            return
        finally:
            self._writers.discard(sink)
            sink.close()
