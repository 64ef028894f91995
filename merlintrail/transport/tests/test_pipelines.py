"""Several requests at once on a connection, in random order and number."""

import asyncio
import random
import unittest
from typing import Final

from merlintrail.transport import HttpRequest, HttpResponse, start_server

_PIPELINES: Final = 60
#: Requests that are sent at once at the most; more than are parsed at a time.
_MAX_LENGTH: Final = 40


class _Pipeline:
    """Requests that a caller sends at once."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.length = rng.randint(1, _MAX_LENGTH)
        #: Index of the request that ends the connection, if one does.
        self.last = rng.randrange(2 * self.length)
        self.payload = b''.join(
            _build_request(index, rng, is_last=index == self.last)
            for index in range(self.length)
        )
        #: Sizes of the parts in which it is sent.
        self.part_bytes = rng.choice((7, 64, 1 << 16))

    @property
    def answered(self) -> list[bytes]:
        """Bodies of the answers that are due, in order."""
        count = min(self.length, self.last + 1)
        return [f'/{index}.'.encode() for index in range(count)]


def _build_request(index: int, rng: random.Random, *, is_last: bool) -> bytes:
    version = rng.choice(('1.1', '1.1', '1.0'))
    headers = ''
    if is_last and version == '1.1':
        headers = 'connection: close\r\n'
    elif not is_last and version == '1.0':
        headers = 'connection: keep-alive\r\n'
    return f'GET /{index} HTTP/{version}\r\nhost: a\r\n{headers}\r\n'.encode()


async def _answer(request: HttpRequest) -> HttpResponse:
    await asyncio.sleep(random.random() / 500)
    return HttpResponse(200, (), f'{request.target}.'.encode())


async def _send(port: int, pipeline: _Pipeline) -> list[bytes]:
    """Send a pipeline; return the bodies of the answers."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for start in range(0, len(pipeline.payload), pipeline.part_bytes):
        writer.write(pipeline.payload[start : start + pipeline.part_bytes])
        await asyncio.sleep(0)
    received = b''
    expected = len(pipeline.answered)
    async with asyncio.timeout(5):
        while received.count(b'HTTP/1.1 200') < expected or (
            not received.endswith(pipeline.answered[-1])
        ):
            part = await reader.read(65536)
            if not part:
                break
            received += part
    writer.close()
    return [
        answer.rpartition(b'\r\n\r\n')[2]
        for answer in received.split(b'HTTP/1.1 200')[1:]
    ]


class PipelineTest(unittest.TestCase):
    """Each request that is passed on is answered."""

    def test_close_of_the_last_request_drops_those_before_it(self) -> None:
        """All up to the one that ends the connection are answered."""

        async def scenario() -> None:
            server = await start_server(_answer, '127.0.0.1', 0)
            for seed in range(_PIPELINES):
                pipeline = _Pipeline(seed)
                bodies = await _send(server.port, pipeline)
                self.assertEqual(bodies, pipeline.answered, seed)
            server.close()

        asyncio.run(scenario())

    def test_closing_server_drops_requests_behind_the_first(self) -> None:
        """All of them are running when it begins to close connections."""

        async def scenario() -> None:
            server = await start_server(_answer, '127.0.0.1', 0)
            pipeline = _Pipeline(1)
            sent = asyncio.create_task(_send(server.port, pipeline))
            while not server.count_busy():
                await asyncio.sleep(0)
            server.is_closing = True
            self.assertEqual(await sent, pipeline.answered)
            server.close()

        asyncio.run(scenario())

    def test_leaving_of_a_caller_with_many_requests_is_not_noticed(
        self,
    ) -> None:
        """Requests of a caller that left are cancelled."""

        async def scenario() -> None:
            running = 0

            async def wait(_: HttpRequest) -> HttpResponse:
                nonlocal running
                running += 1
                try:
                    await asyncio.sleep(60)
                finally:
                    running -= 1
                return HttpResponse(200, (), b'')

            server = await start_server(wait, '127.0.0.1', 0)
            request = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
            for count in (1, 16, 17, 40):
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', server.port
                )
                for _ in range(count):
                    writer.write(request)
                    await asyncio.sleep(0.002)
                self.assertGreater(running, 0)
                writer.close()
                await asyncio.sleep(0.3)
                self.assertEqual(running, 0, count)
            server.close()

        asyncio.run(scenario())
