"""One backend server with its limit, queue and shedding level."""

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

_DEFAULT_QUEUE_LIMIT_S: Final = 0.1


class Gate:
    """One backend server with its limit, queue and shedding level."""

    def __init__(self, announcement: Announcement, clock: Callable[[], float]):
        now = clock()
        self.backend = BackendServer(announcement, now)
        self.limit: AdaptiveLimit = create_limit(announcement.slots, now)
        self.shedder = SheddingController(now)
        self.admission = AdmissionController(
            self.limit, self.shedder, clock, _DEFAULT_QUEUE_LIMIT_S
        )
        #: Held by the one suspect that runs.
        self.suspect_lock = asyncio.Lock()

    def check_ready(self, now: float) -> Refusal | None:
        """Refuse a call that the backend server would not take."""
        if self.backend.is_ready(now):
            return None
        if self.backend.is_draining:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
