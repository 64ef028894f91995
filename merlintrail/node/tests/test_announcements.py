"""Late, repeated and out-of-order announcements, and departures."""

import unittest
from typing import Any, Final

from merlintrail.node import Announcement, AnnouncementOrder
from merlintrail.node.backend._backend import compare_announcements
from merlintrail.node.tests.session import (
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.testing import run_virtually

_CURRENT = Announcement(
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
        """Only newer announcements replace the current one."""
        self.assertEqual(
            compare_announcements(None, _CURRENT), AnnouncementOrder.NEW_RUN
        )
        for name, changes, order in _ORDERS:
            with self.subTest(name):
                received = _CURRENT._replace(**changes)
                self.assertEqual(
                    compare_announcements(_CURRENT, received), order
                )

    def test_drain_holds_against_late_announcements(self) -> None:
        """Calls are refused until a new run announces itself.

        An announcement that was sent before the drain and arrives after it
        must not end the drain.
        """

        async def scenario() -> None:
            session = _create_session()
            gateway = session.nodes['one'].gateway
            gateway.registry.announce(_CURRENT)
            drain = _CURRENT._replace(sequence=6, is_ready=False)
            gateway.registry.announce(drain)
            answer = await session.call('one', '/svc/read')
            self.assertEqual(answer.status, 503)
            gateway.registry.announce(_CURRENT._replace(sequence=4))
            self.assertEqual(
                (await session.call('one', '/svc/read')).status, 503
            )
            gateway.registry.announce(
                _CURRENT._replace(started_at_ms=2000, sequence=1)
            )
            self.assertEqual(
                (await session.call('one', '/svc/read')).status, 200
            )

        run_virtually(scenario())

    def test_departure_of_an_unregistered_server(self) -> None:
        """A late announcement of a departed run does not register it.

        The node restarted in between and has no backend server registered.
        """

        async def scenario() -> None:
            for started_at_ms in (1000, None):
                session = _create_session()
                gateway = session.nodes['one'].gateway
                gateway.gates.clear()
                gateway.registry.record_departure('i-1', started_at_ms)
                order = gateway.registry.announce(_CURRENT._replace(sequence=4))
                self.assertEqual(order, AnnouncementOrder.STALE)
                self.assertEqual(gateway.gates, {})

        run_virtually(scenario())

    def test_server_of_another_service_at_the_address(self) -> None:
        """It receives no calls for the earlier service."""

        async def scenario() -> None:
            session = _create_session()
            gateway = session.nodes['one'].gateway
            gateway.registry.announce(_CURRENT)
            gateway.registry.announce(
                _CURRENT._replace(
                    service='other', identity='i-2', started_at_ms=3000
                )
            )
            self.assertEqual(list(gateway.gates), ['other'])
            answer = await session.call('one', '/svc/read')
            self.assertEqual(answer.status, 503)

        run_virtually(scenario())
