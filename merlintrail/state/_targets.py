"""What a node knows of each backend server that it can route to."""

from typing import Final

from merlintrail.protocol import CallReport
from merlintrail.state._members import Member, ServiceOffer
from merlintrail.state._shedding import ReportedLevel

#: Weight of a new sample in the mean latency.
LATENCY_WEIGHT: Final = 0.1
#: Consecutive failures that eject a backend server.
FAILURES_TO_EJECT: Final = 3
#: Seconds of the first ejection, doubled each time.
EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
#: Seconds for which a server that takes nothing is passed over.
PASS_OVER_S: Final = 0.5
#: Share of its slots that a cold backend server gets at first.
COLD_SHARE: Final = 0.1
#: Seconds after which a reported load no longer counts.
LOAD_MEMORY_S: Final = 1.0


class Target:
    """One backend server as seen by a node that calls it."""

    def __init__(
        self, member: Member, offer: ServiceOffer, warm_since: float
    ) -> None:
        self.member = member
        self.offer = offer
        #: Clock time from which the warm-up is counted.
        self.warm_since = warm_since
        #: Calls that this node has in flight there.
        self.in_flight = 0
        #: Mean latency in seconds as seen here.
        self.latency_s = 0.0
        #: Whether the backend server said that it drains.
        self.is_draining = False
        self.ejected_until = 0.0
        self._level = ReportedLevel(0, 0.0)
        self._reported_in_flight = 0
        self._reported_at = 0.0
        self._failures = 0
        self._ejections = 0

    def read_level(self, now: float) -> int:
        """Return the shedding level last reported, after its fallback."""
        return self._level.compute_level(now)

    def compute_load(self, now: float, warmup_s: float) -> float:
        """Estimate calls in flight, with one more, in relation to slots."""
        in_flight = self.in_flight
        if now - self._reported_at < LOAD_MEMORY_S:
            in_flight = max(in_flight, self._reported_in_flight)
        share = 1.0
        if warmup_s > 0:
            warmth = (now - self.warm_since) / warmup_s
            share = max(COLD_SHARE, min(1.0, warmth))
        return (in_flight + 1) / (self.offer.slots * share)

    def is_available(self, now: float) -> bool:
        """Tell whether calls may be sent there."""
        return (
            self.offer.is_ready
            and not self.is_draining
            and self.ejected_until <= now
        )

    def record_report(
        self, report: CallReport, latency_s: float, now: float
    ) -> None:
        """Take what an answer told of the backend server."""
        self._level = ReportedLevel(report.level, now)
        self._reported_in_flight = report.in_flight
        self._reported_at = now
        self.is_draining = report.is_draining
        self._failures = 0
        if not report.reason:
            self._ejections = 0
            self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT

    def record_failure(self, now: float) -> bool:
        """Count a call without a word; return whether to eject."""
        self._failures += 1
        return self._failures >= FAILURES_TO_EJECT

    def pass_over(self, now: float) -> None:
        """Send nothing there until news of the member had time to come."""
        self.ejected_until = max(self.ejected_until, now + PASS_OVER_S)

    def eject(self, now: float) -> float:
        """Take the backend server out for a while; return the seconds."""
        pause_s = min(MAX_EJECTION_S, EJECTION_S * (1 << self._ejections))
        self._ejections += 1
        self._failures = 0
        self.ejected_until = now + pause_s
        return pause_s
