"""Admission control of one backend server."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.node._backend import Announcement, BackendServer
from merlintrail.protocol import DecodeFailure, Outcome, Reason, Refusal
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
        #: Calls per second that the backend server states to take.
        self._stated_rate: float | None = None
        #: Ensures that at most one request under suspicion of crashing
        #: backend servers runs at a time.
        self.suspect_lock = asyncio.Lock()

    def apply_notice(self) -> None:
        """Keep to what the backend server states of itself."""
        notice = self.backend.notice
        if notice is None or isinstance(notice.rate_limit, DecodeFailure):
            return
        if notice.rate_limit != self._stated_rate:
            self._stated_rate = notice.rate_limit
            self.admission.update_rate_limit(notice.rate_limit)

    def check_ready(self, now: float) -> Refusal | None:
        """Return the refusal for new calls, ``None`` if it accepts them."""
        if self.backend.is_ready(now):
            return None
        if self.backend.is_draining:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
