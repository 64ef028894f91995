"""Announcements that arrive late, twice or broken after a drain."""

import random
import unittest
from typing import Final

from merlintrail.node.backend._backend import (
    Announcement,
    AnnouncementOrder,
    compare_announcements,
)

_ORDERS: Final = 300


class DrainedServerTest(unittest.TestCase):
    """A server that was acknowledged as draining stays so."""

    def test_late_announcement_makes_a_drained_server_ready(self) -> None:
        """Announcements count from 0, and arrive in any order, or twice."""
        for seed in range(_ORDERS):
            rng = random.Random(seed)
            drained_at = rng.randrange(1, 8)
            sent = [
                Announcement(
                    'svc',
                    'a:1',
                    4,
                    is_ready=number < drained_at,
                    sequence=number,
                )
                for number in range(drained_at + 2)
            ]
            received = rng.choices(sent, k=20)
            current: Announcement | None = None
            is_drained = False
            for announcement in received:
                order = compare_announcements(current, announcement)
                if order == AnnouncementOrder.STALE:
                    continue
                current = announcement
                is_drained = is_drained or not announcement.is_ready
                self.assertNotEqual(is_drained, announcement.is_ready, seed)
