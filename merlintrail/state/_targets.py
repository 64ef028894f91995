"""What a node knows of each backend server that it can route to."""

from typing import Final

from merlintrail.protocol import CallReport
from merlintrail.state._members import Member, ServiceOffer
from merlintrail.state._shedding import ReportedLevel

#: Weight of a new sample in the mean latency.
LATENCY_WEIGHT: Final = 0.1
#: Weight of a new sample in the share of calls that fail.
FAILURE_WEIGHT: Final = 0.15
#: Seconds in which the share of calls that fail is halved by itself.
FAILURE_HALF_LIFE_S: Final = 3.0
#: Load that a share of failing calls of one stands for.
FAILURE_LOAD: Final = 5.0
#: Ratio of the service time to the others' above which it counts as load.
SLOW_RATIO: Final = 2.5
#: Load that each further ratio of the service time stands for.
SLOW_LOAD: Final = 0.4
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
_MS_PER_S: Final = 1000


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
        #: Mean time in seconds for which its calls hold a slot.
        self.service_s = 0.0
        self._level = ReportedLevel(0, 0.0)
        self._reported_in_flight = 0
        self._reported_at = 0.0
        self._failures = 0
        self._ejections = 0
        self._failing_share = 0.0
        self._failing_at = 0.0

    def read_level(self, now: float) -> int:
        """Return the shedding level last reported, after its fallback."""
        return self._level.compute_level(now)

    def compute_load(
        self, now: float, warmup_s: float, usual_service_s: float = 0.0
    ) -> float:
        """Estimate calls in flight, with one more, in relation to slots.

        Failing calls and a service time far above the usual count as load.
        """
        in_flight = self.in_flight
        if now - self._reported_at < LOAD_MEMORY_S:
            in_flight = max(in_flight, self._reported_in_flight)
        share = 1.0
        if warmup_s > 0:
            warmth = (now - self.warm_since) / warmup_s
            share = max(COLD_SHARE, min(1.0, warmth))
        load = (in_flight + 1) / (self.offer.slots * share)
        if self._failing_share:
            load += self._read_failing_share(now) * FAILURE_LOAD
        if usual_service_s > 0:
            excess = self.service_s / usual_service_s - SLOW_RATIO
            load += max(0.0, excess) * SLOW_LOAD
        return load

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
            self.service_s = report.service_ms / _MS_PER_S
            self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT

    def record_health(self, *, has_failed: bool, now: float) -> None:
        """Take note whether a call failed in the backend server itself."""
        share = self._read_failing_share(now)
        outcome = 1.0 if has_failed else 0.0
        self._failing_share = share + (outcome - share) * FAILURE_WEIGHT
        self._failing_at = now

    def record_failure(self, now: float) -> bool:
        """Count a call without a word; return whether to eject."""
        self._failures += 1
        return self._failures >= FAILURES_TO_EJECT

    def suspend(self, now: float) -> None:
        """Send nothing there until news of the member had time to come."""
        self.ejected_until = max(self.ejected_until, now + PASS_OVER_S)

    def eject(self, now: float) -> float:
        """Take the backend server out for a while; return the seconds."""
        pause_s = min(MAX_EJECTION_S, EJECTION_S * (1 << self._ejections))
        self._ejections += 1
        self._failures = 0
        self.ejected_until = now + pause_s
        return pause_s

    def _read_failing_share(self, now: float) -> float:
        age_s = now - self._failing_at
        share: float = self._failing_share * 0.5 ** (
            age_s / FAILURE_HALF_LIFE_S
        )
        return share
