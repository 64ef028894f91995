"""Announcements that come late, repeated, out of order or after a leave."""

import unittest
from typing import Any, Final

from merlintrail.node import Announcement, AnnouncementOrder
from merlintrail.node._backend import compare_announcements
from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.testing import run_virtually

_KNOWN = Announcement(
    'svc',
    'one:svc',
    4,
    ttl_s=1.0e6,
    identity='i-1',
    started_at_ms=1000,
    sequence=5,
)
_ORDERS: Final[tuple[tuple[str, dict[str, Any], AnnouncementOrder], ...]] = (
    ('later', {'sequence': 6}, AnnouncementOrder.RENEWAL),
    ('repeated', {}, AnnouncementOrder.STALE),
    ('overtaken', {'sequence': 4}, AnnouncementOrder.STALE),
    (
        'restart under the same identity',
        {'started_at_ms': 2000, 'sequence': 1},
        AnnouncementOrder.NEW_RUN,
    ),
    (
        'late one of an earlier run',
        {'identity': 'i-0', 'started_at_ms': 500, 'sequence': 90},
        AnnouncementOrder.STALE,
    ),
    (
        'successor at the address',
        {'identity': 'i-2', 'started_at_ms': 3000, 'sequence': 1},
        AnnouncementOrder.NEW_RUN,
    ),
)


def _create_session() -> Session:
    session = Session(
        build_document({'svc': [build_kind('read')]}), ('one', 'two')
    )
    session.add_backend('one', 'svc', answer_after(0.01))
    return session


class AnnouncementTest(unittest.TestCase):
    """One backend server beside one node."""

    def test_order(self) -> None:
        """Which announcements replace the one that is known."""
        self.assertEqual(
            compare_announcements(None, _KNOWN), AnnouncementOrder.NEW_RUN
        )
        for name, changes, order in _ORDERS:
            with self.subTest(name):
                news = _KNOWN._replace(**changes)
                self.assertEqual(compare_announcements(_KNOWN, news), order)

    def test_drain_holds_against_late_announcements(self) -> None:
        """Refused at once, as not run, until a new run announces itself."""

        async def scenario() -> None:
            session = _create_session()
            gateway = session.nodes['one'].gateway
            gateway.registry.announce(_KNOWN)
            drain = _KNOWN._replace(sequence=6, is_ready=False)
            gateway.registry.announce(drain)
            answer = await session.call('one', '/svc/read')
            self.assertEqual(answer.status, 503)
            gateway.registry.announce(_KNOWN._replace(sequence=4))
            self.assertEqual(
                (await session.call('one', '/svc/read')).status, 503
            )
            gateway.registry.announce(
                _KNOWN._replace(started_at_ms=2000, sequence=1)
            )
            self.assertEqual(
                (await session.call('one', '/svc/read')).status, 200
            )

        run_virtually(scenario())

    def test_leave_of_a_server_that_was_not_known(self) -> None:
        """A late heartbeat after a restart does not bring it back."""

        async def scenario() -> None:
            for started_at_ms in (1000, None):
                session = _create_session()
                gateway = session.nodes['one'].gateway
                gateway.gates.clear()
                gateway.registry.dismiss('i-1', started_at_ms)
                order = gateway.registry.announce(_KNOWN._replace(sequence=4))
                self.assertEqual(order, AnnouncementOrder.STALE)
                self.assertEqual(gateway.gates, {})

        run_virtually(scenario())

    def test_server_of_another_service_at_the_address(self) -> None:
        """Nothing that was meant for the earlier service reaches it."""

        async def scenario() -> None:
            session = _create_session()
            gateway = session.nodes['one'].gateway
            gateway.registry.announce(_KNOWN)
            gateway.registry.announce(
                _KNOWN._replace(
                    service='other', identity='i-2', started_at_ms=3000
                )
            )
            self.assertEqual(list(gateway.gates), ['other'])
            answer = await session.call('one', '/svc/read')
            self.assertEqual(answer.status, 503)

        run_virtually(scenario())
