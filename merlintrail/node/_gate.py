"""Admission control of one backend server."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.node._backend import Announcement, BackendServer
from merlintrail.protocol import Outcome, Reason, Refusal
from merlintrail.state import (
    AdaptiveLimit,
    AdmissionController,
    SheddingController,
    create_limit,
)

#: Longest wait in the queue in seconds, until a configuration sets one.
_DEFAULT_QUEUE_LIMIT_S: Final = 0.1


class AdmissionGate:
    """A backend server with its concurrency limit, queue and load shedder."""

    def __init__(self, announcement: Announcement, clock: Callable[[], float]):
        now = clock()
        self.backend = BackendServer(announcement, now)
        self.limit: AdaptiveLimit = create_limit(announcement.slots, now)
        self.shedder = SheddingController(now)
        self.admission = AdmissionController(
            self.limit, self.shedder, clock, _DEFAULT_QUEUE_LIMIT_S
        )
        #: Ensures that at most one request under suspicion of crashing
        #: backend servers runs at a time.
        self.suspect_lock = asyncio.Lock()

    def check_ready(self, now: float) -> Refusal | None:
        """Return the refusal for new calls, ``None`` if it accepts them."""
        if self.backend.is_ready(now):
            return None
        if self.backend.is_draining:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
