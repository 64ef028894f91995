"""Exchanges with other nodes over real connections."""

import asyncio
import time
import unittest
from typing import Any

from merlintrail.node._calls import OutgoingCall
from merlintrail.node.calling._exchange import PeerExchange
from merlintrail.protocol import REPORT_HEADER, CallHeader, InquiryState
from merlintrail.state import Member, MemberStatus, RetryAccount
from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    create_pool,
    start_server,
)

_HEADER = CallHeader(
    'request', 'call', 'svc/read', 32, True, 5000.0, 0, 1, 1, 'one', 'svc'
)
#: Header by which an answer is that of a node, and not of its server.
_REPORT = ((REPORT_HEADER, '{}'),)


class _RunningPeers:
    """Says of every call that it runs, after a moment."""

    async def send_request(self, *_: object, **options: Any) -> dict[str, Any]:
        """Answer an inquiry."""
        await asyncio.sleep(0.05)
        return {'state': InquiryState.RUNNING.value}


def _build_call(target: str) -> OutgoingCall:
    return OutgoingCall(
        'request',
        'svc/read',
        'svc',
        'GET',
        target,
        (('host', 'a'),),
        b'',
        32,
        True,
        time.monotonic() + 5,
        RetryAccount(0),
        1,
        None,
        '',
        None,
    )


class PeerExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Calls to one node, which answers slowly."""

    async def test_inquiry_about_an_answered_call_cuts_the_next_one(
        self,
    ) -> None:
        """Both use the same connection, one after the other."""

        async def answer(request: HttpRequest) -> HttpResponse:
            await asyncio.sleep(0.4 if request.target == '/slow' else 0.1)
            return HttpResponse(200, _REPORT, request.target.encode())

        server = await start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = f'127.0.0.1:{server.port}'
        member = Member('one', 1, 1, MemberStatus.ALIVE, 'dc', address, address)
        exchange = PeerExchange(
            create_pool(),
            _RunningPeers(),  # type: ignore[arg-type]
            'key',
            time.monotonic,
        )
        for target in ('/slow', '/next', '/slow', '/next'):
            result = await exchange.send(
                member, _HEADER, _build_call(target), 0.01
            )
            assert isinstance(result, HttpResponse), result
            self.assertEqual(result.body, target.encode())
        self.assertEqual(len(server.connections), 1)
