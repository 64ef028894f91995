"""A TCP relay with faults, for tests and benches.

Connections can be delayed, reset or go silent. A silent one still
acknowledges what it receives and delivers none of it. Connections opened
later work.
"""

import asyncio
from typing import Final

from merlintrail.lab._ports import HOST, find_free_ports

_CHUNK_BYTES: Final = 65536


class TcpRelay:
    """Relays connections to one target."""

    def __init__(self, direction: str) -> None:
        """Create a relay.

        :param direction: which bytes a silent connection swallows:
            ``forward``, ``backward`` or ``both``.
        """
        self._direction = direction
        self._port = find_free_ports(1)[0]
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        #: ``host:port`` that connections lead to.
        self.target = ''
        #: Seconds by which what is relayed is held back.
        self.delay_s = 0.0

    @property
    def address(self) -> str:
        """``host:port`` to connect to."""
        return f'{HOST}:{self._port}'

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def drop_traffic(self) -> None:
        """Let every open connection go silent for good."""
        self._generation += 1

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        for direction, source, sink in (
            ('forward', reader, far_writer),
            ('backward', far_reader, writer),
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
                is_silent = generation != self._generation
                if is_silent and self._direction in {direction, 'both'}:
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
