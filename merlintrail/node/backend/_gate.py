"""Admission control of one backend server."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.node.backend._backend import Announcement, BackendServer
from merlintrail.protocol import (
    BackendNotice,
    DecodeFailure,
    Outcome,
    Reason,
    Refusal,
    RunNotice,
)
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
        self._rate_limit: float | None = None
        #: Ensures that at most one request under suspicion of crashing
        #: backend servers runs at a time.
        self.suspect_lock = asyncio.Lock()

    @property
    def rate_limit(self) -> float | None:
        """Calls per second that the backend server states to take."""
        return self._rate_limit

    def apply_notice(self, notice: BackendNotice) -> bool:
        """Keep to what the backend server states of itself in an answer.

        A limit that is no number leaves the one stated before.

        :returns: whether the notice differs from the last one.
        """
        is_changed = notice != (self.backend.notice or BackendNotice())
        self.backend.notice = notice
        if notice.is_leaving and not self.backend.is_leaving:
            self.stop_for_leaving()
        if not isinstance(notice.rate_limit, DecodeFailure):
            self._update_rate_limit(notice.rate_limit)
        return is_changed

    def adopt_notice(self, notice: RunNotice) -> bool:
        """Keep to what the backend server stated before this node started.

        :returns: whether it changes anything.
        """
        if self.backend.notice is not None or not self.backend.is_run(notice):
            return False
        is_changed = False
        rate_limit = notice.rate_limit
        known_limit = self._rate_limit
        if rate_limit is not None and (
            known_limit is None or rate_limit < known_limit
        ):
            self._update_rate_limit(rate_limit)
            is_changed = True
        is_known_run = notice.identity is not None
        if notice.is_leaving and is_known_run and not self.backend.is_leaving:
            self.stop_for_leaving()
            is_changed = True
        return is_changed

    def describe_notice(self) -> RunNotice | None:
        """Return what the backend server states; ``None`` for nothing."""
        if self._rate_limit is None and not self.backend.is_leaving:
            return None
        announcement = self.backend.announcement
        return RunNotice(
            announcement.identity,
            announcement.started_at_ms,
            self._rate_limit,
            self.backend.is_leaving,
        )

    def describe_departure(self) -> RunNotice | None:
        """Return the run that is leaving; ``None`` if it cannot be told."""
        is_told = self.backend.is_leaving
        if not is_told or self.backend.announcement.identity is None:
            return None
        return self.describe_notice()

    def stop_for_leaving(self) -> None:
        """Accept no more calls, as this run is about to end."""
        self.backend.record_leaving()
        self.admission.refuse_waiting(Reason.DRAINING)

    def check_ready(self, now: float) -> Refusal | None:
        """Return the refusal for new calls, ``None`` if it accepts them."""
        if self.backend.is_ready(now):
            return None
        if self.backend.is_draining:
            return Refusal(Outcome.NOT_RUN, Reason.DRAINING)
        return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)

    def _update_rate_limit(self, rate_limit: float | None) -> None:
        if rate_limit != self._rate_limit:
            self._rate_limit = rate_limit
            self.admission.update_rate_limit(rate_limit)
