"""Limits of the configuration on what callers may send."""

import asyncio
import unittest
from typing import Final

from merlintrail.node.serving._connections import PEER_LIMITS, NodeServers
from merlintrail.node.tests.caller_answers import FakeCallerAnswers
from merlintrail.state import CallerLimits
from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    create_memory,
    start_server,
)

_BODY: Final = b'x' * 2_000_000
_REQUEST: Final = (
    b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2000000\r\n\r\n' + _BODY
)


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), str(len(request.body)).encode())


class CallerLimitsTest(unittest.IsolatedAsyncioTestCase):
    """They are those of the configuration in force."""

    async def test_upload_within_the_configured_limit_is_refused(self) -> None:
        """Servers for callers and nodes take it, on open connections too."""
        servers = NodeServers(FakeCallerAnswers(), create_memory())
        for group, limits in (
            (servers.callers, None),
            (servers.peers, PEER_LIMITS),
        ):
            server = await start_server(
                _answer, '127.0.0.1', 0, limits=limits, memory=servers.memory
            )
            self.addCleanup(server.close)
            group.append(server)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            servers.apply_limits(CallerLimits(max_body_bytes=3_000_000))
            writer.write(_REQUEST)
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b' 200 ', head)
            self.assertEqual(await reader.readexactly(7), b'2000000')
            servers.apply_limits(CallerLimits(max_body_bytes=1000))
            writer.write(_REQUEST)
            self.assertIn(b' 413 ', await reader.readline())
            writer.close()
