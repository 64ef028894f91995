"""Minimal forwarders on several HTTP libraries, to compare these."""

import abc
import asyncio
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Final, TypeAlias

import h11
import urllib3
import uvloop
from absl import app, flags
from cheroot import wsgi

from merlintrail.node import split_host_port
from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    create_pool,
    start_server,
)

_LIBRARY: Final = flags.DEFINE_string('library', 'httptools', 'Library.')
_LISTEN: Final = flags.DEFINE_string('listen', '', 'host:port to listen on.')
_TARGET: Final = flags.DEFINE_string(
    'target', '', 'host:port to forward to; empty echoes.'
)
_CHUNK_BYTES: Final = 65536
_THREAD_COUNT: Final = 16


class PlainForwarder(abc.ABC):
    """Forwards calls to one target, or echoes them if it has none."""

    def __init__(self, listen: str, target: str) -> None:
        host, port = split_host_port(listen)
        self.host = host
        self.port = port
        self.target = target

    @abc.abstractmethod
    def run(self) -> None:
        """Serve until the process ends."""


class HttptoolsForwarder(PlainForwarder):
    """Uses the transport of the call path, which parses with httptools."""

    def run(self) -> None:
        """Serve until the process ends."""
        uvloop.run(self._serve())

    async def _serve(self) -> None:
        self._pool = create_pool()
        await start_server(self._forward, self.host, self.port)
        await asyncio.Event().wait()

    async def _forward(self, request: HttpRequest) -> HttpResponse:
        if not self.target:
            return HttpResponse(200, (), request.body)
        answer = await self._pool.exchange(
            self.target,
            request.method,
            request.target,
            (('host', 'x'),),
            request.body,
        )
        if isinstance(answer, HttpResponse):
            return answer._replace(headers=())
        return HttpResponse(502, (), b'')


class H11Forwarder(PlainForwarder):
    """Uses asyncio streams and h11, a parser in pure Python."""

    def run(self) -> None:
        """Serve until the process ends."""
        uvloop.run(self._serve())

    async def _serve(self) -> None:
        self._idle_connections: list[Any] = []
        await asyncio.start_server(self._serve_connection, self.host, self.port)
        await asyncio.Event().wait()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            body = await _receive(connection, reader)
            if body is None:
                break
            if self.target:
                body = await self._forward(body)
            length = str(len(body)).encode()
            response = h11.Response(
                status_code=200, headers=[(b'content-length', length)]
            )
            writer.write(_encode(connection, response, body))
            connection.start_next_cycle()
        writer.close()

    async def _forward(self, body: bytes) -> bytes:
        if self._idle_connections:
            connection, reader, writer = self._idle_connections.pop()
        else:
            connection = h11.Connection(h11.CLIENT)
            reader, writer = await asyncio.open_connection(
                *split_host_port(self.target)
            )
        request = h11.Request(
            method='POST',
            target='/echo/call',
            headers=[('host', 'x'), ('content-length', str(len(body)))],
        )
        writer.write(_encode(connection, request, body))
        answer = await _receive(connection, reader)
        connection.start_next_cycle()
        self._idle_connections.append((connection, reader, writer))
        return answer or b''


def _encode(connection: Any, head: Any, body: bytes) -> bytes:
    parts = (
        connection.send(head),
        connection.send(h11.Data(data=body)),
        connection.send(h11.EndOfMessage()),
    )
    return b''.join(parts)


async def _receive(
    connection: Any, reader: asyncio.StreamReader
) -> bytes | None:
    """Receive one message.

    :returns: its body, or ``None`` if the connection is closed.
    """
    parts = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_CHUNK_BYTES))
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b''.join(parts)
        elif isinstance(event, h11.ConnectionClosed):
            return None


class CherootForwarder(PlainForwarder):
    """Uses the WSGI server of Cheroot with a pool of threads."""

    def run(self) -> None:
        """Serve until the process ends."""
        self._http = urllib3.PoolManager(maxsize=_THREAD_COUNT, retries=False)
        server: Any = wsgi.Server(
            (self.host, self.port),
            self._handle_request,
            numthreads=_THREAD_COUNT,
        )
        threading.Thread(target=server.safe_start, daemon=True).start()
        threading.Event().wait()

    def _handle_request(
        self, environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body: bytes = environ['wsgi.input'].read(length)
        if self.target:
            answer = self._http.request(
                'POST', f'http://{self.target}/echo/call', body=body
            )
            body = answer.data
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]


ForwarderTypes: TypeAlias = Mapping[str, type[PlainForwarder]]

#: Forwarder classes by the name of their library.
FORWARDERS: Final[ForwarderTypes] = {
    'httptools': HttptoolsForwarder,
    'h11': H11Forwarder,
    'cheroot': CherootForwarder,
}


def _run(_: Sequence[str]) -> None:
    library = FORWARDERS[str(_LIBRARY.value)]
    library(str(_LISTEN.value), str(_TARGET.value)).run()


if __name__ == '__main__':
    app.run(_run)
