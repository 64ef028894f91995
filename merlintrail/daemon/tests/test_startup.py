"""Callers that connect while the daemon is still loading the program."""

import asyncio
import json
import socket
import tempfile
import unittest
from pathlib import Path

from merlintrail.daemon._startup import open_call_listener
from merlintrail.transport import HttpRequest, HttpResponse, start_server

_REQUEST = b'GET / HTTP/1.1\r\nhost: one\r\nconnection: close\r\n\r\n'


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), request.target.encode())


def _open_with_settings(text: str, *words: str) -> socket.socket | None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_text(text)
        return open_call_listener((f'--settings={path}', *words))


class StartupTest(unittest.TestCase):
    """The socket that listens before the program is loaded."""

    def test_early_caller(self) -> None:
        """A request sent before the server runs is answered by it."""

        async def scenario(listener: socket.socket) -> bytes:
            address = listener.getsockname()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(_REQUEST)
            server = await start_server(_answer, '', 0, listener=listener)
            answer = await reader.read()
            writer.close()
            server.close()
            return answer

        listener = _open_with_settings(
            json.dumps({'call_address': '127.0.0.1:0'})
        )
        assert listener is not None
        answer = asyncio.run(scenario(listener))
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

    def test_unusable_settings(self) -> None:
        """The program reports what is wrong; nothing listens before it."""
        for text in ('', '{', '[]', '{}', '7', '{"call_address": 7}'):
            with self.subTest(text=text):
                self.assertIsNone(_open_with_settings(text))
        self.assertIsNone(open_call_listener(()))
        self.assertIsNone(open_call_listener(('--settings=/nonexistent',)))

    def test_address_in_use(self) -> None:
        """The address of a node that runs is not taken."""
        with socket.create_server(('127.0.0.1', 0)) as running:
            port = running.getsockname()[1]
            text = json.dumps({'call_address': f'127.0.0.1:{port}'})
            self.assertIsNone(_open_with_settings(text))

    def test_settings_check(self) -> None:
        """The check of the settings listens nowhere."""
        text = json.dumps({'call_address': '127.0.0.1:0'})
        self.assertIsNone(_open_with_settings(text, '--check_settings'))
