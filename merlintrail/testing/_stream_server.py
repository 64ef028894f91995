"""Servers that tests write byte by byte."""

import abc
import asyncio
from typing import Self


class StreamServer(abc.ABC):
    """A server on a free port, whose subclass serves each connection."""

    def __init__(self) -> None:
        self.port = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Self:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        """Stop listening and close the connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    @abc.abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, which is closed afterwards."""

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        await self.serve(reader, writer)
        writer.close()
