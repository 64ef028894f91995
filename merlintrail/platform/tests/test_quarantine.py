"""The answer to a request that is refused because of its crashes."""

import unittest
from typing import Final

from merlintrail.node.tests.fake_network import get_header
from merlintrail.node.tests.session import EPOCH_S, Session
from merlintrail.platform import PlatformDialect
from merlintrail.state import compute_digest
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest

_QUARANTINE_S: Final = 600.0
_DOCUMENT: Final = {
    'format': 1,
    'services': [{'name': 'svc', 'warmup_s': 0}],
    'routes': [
        {
            'name': 'all',
            'host': 'h',
            'prefix': '/',
            'service': 'svc',
            'importance': 'normal',
            'idempotent': True,
            'timeout_ms': 1000,
            'attempts': 2,
        }
    ],
    'regions': [{'name': 'one', 'data_centres': ['dc']}],
}


class QuarantineAnswerTest(unittest.TestCase):
    """A caller sends a quarantined request."""

    def test_caller_is_asked_to_retry_during_the_quarantine(self) -> None:
        """The answer names the time until the quarantine ends."""

        async def scenario() -> None:
            session = Session(_DOCUMENT, ('one',), PlatformDialect())
            digest = compute_digest('h', 'GET', '/x', b'')
            for crash_id in ('one', 'two', 'three'):
                session.nodes['one'].quarantine.record_crash(
                    crash_id, [digest], EPOCH_S, _QUARANTINE_S
                )
            headers = {'host': 'h', 'attempt-id': 'a', 'timeout-ms': '900'}
            answer = await session.send_request(
                HttpRequest('GET', '/x', headers, b'', '127.0.0.1')
            )
            self.assertEqual(answer.status, 503)
            self.assertGreaterEqual(
                float(get_header(answer, 'retry-after')), _QUARANTINE_S - 1
            )

        run_virtually(scenario())
