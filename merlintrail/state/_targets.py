"""Backend servers as routing targets."""

import math
from typing import Final

from merlintrail.protocol import CallReport, read_run_notice
from merlintrail.state._members import Member, ServiceOffer
from merlintrail.state._rate_limit import AVERAGING_S, compute_averaging_time
from merlintrail.state._reported_levels import ReportedLevel

#: Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT: Final = 0.1
#: Weight of a new outcome in the moving average of the failure share.
FAILURE_WEIGHT: Final = 0.15
#: Half-life in seconds of the failure share while no outcomes arrive.
FAILURE_HALF_LIFE_S: Final = 3.0
#: Load that is added at a failure share of 1.
FAILURE_LOAD: Final = 5.0
#: Ratio of a service time to the median above which the backend server
#: counts as slow.
SLOW_RATIO: Final = 2.5
#: Load that is added for each 1 by which the ratio exceeds ``SLOW_RATIO``.
SLOW_LOAD: Final = 0.4
#: Number of consecutive failures after which a backend server is ejected.
FAILURES_TO_EJECT: Final = 3
#: Duration of the first ejection in seconds. Each further one takes twice
#: as long, up to the maximum.
INITIAL_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
#: Seconds for which a backend server that does not accept calls is skipped.
SUSPENSION_S: Final = 0.5
#: Share of its slots that a cold backend server gets at first.
MIN_WARMUP_SHARE: Final = 0.1
#: Load by a stated rate from which on it counts. Below, the backend server is
#: chosen like any other, so that what it takes is used.
MIN_RATE_LOAD: Final = 0.9
#: Load of a backend server whose stated rate is just used up. Calls beyond it
#: are refused, while those beyond the slots only wait.
FULL_RATE_LOAD: Final = 2.0
#: Seconds after which a reported number of calls in flight is ignored.
MAX_REPORT_AGE_S: Final = 1.0
_MS_PER_S: Final = 1000


class Target:
    """A backend server and what this node has observed of it."""

    def __init__(
        self, member: Member, offer: ServiceOffer, warmup_started_at: float
    ) -> None:
        self.member = member
        self.offer = offer
        #: Clock time at which the warm-up started.
        self.warmup_started_at = warmup_started_at
        #: Number of calls that this node has in flight there.
        self.in_flight = 0
        #: Moving average in seconds of the latency that this node measures.
        self.latency_s = 0.0
        #: Whether the backend server is draining.
        self.is_draining = False
        #: Clock time until which no calls are sent there.
        self.ejected_until = 0.0
        #: Reported average time in seconds for which calls hold a slot.
        self.service_s = 0.0
        self._level = ReportedLevel(0, 0.0)
        self._reported_in_flight = 0
        self._reported_at = 0.0
        self._rate_load = 0.0
        #: Time constant in seconds with which it decays.
        self._rate_load_decay_s = AVERAGING_S
        self._consecutive_failures = 0
        self._ejections = 0
        self._failure_share = 0.0
        self._failure_share_at = 0.0

    def read_level(self, now: float) -> int:
        """Return the last reported shedding level after its decay."""
        return self._level.compute_level(now)

    def compute_load(
        self, now: float, warmup_s: float, median_service_s: float = 0.0
    ) -> float:
        """Return the load of the backend server with one more call.

        It is the ratio of calls in flight to slots, where a backend server
        in its warm-up has only a share of its slots. It is higher once the rate
        that it states to take is nearly used up. Failures and a service time
        far above the median add to it.

        :param median_service_s: median service time of the service in
            seconds, 0 if unknown.
        """
        in_flight = self.in_flight
        if now - self._reported_at < MAX_REPORT_AGE_S:
            in_flight = max(in_flight, self._reported_in_flight)
        share = 1.0
        if warmup_s > 0:
            progress = (now - self.warmup_started_at) / warmup_s
            share = max(MIN_WARMUP_SHARE, min(1.0, progress))
        load = (in_flight + 1) / (self.offer.slots * share)
        if self._rate_load:
            rate_load = self._read_rate_load(now)
            if rate_load > MIN_RATE_LOAD:
                load = max(load, rate_load * FULL_RATE_LOAD)
        if self._failure_share:
            load += self._read_failure_share(now) * FAILURE_LOAD
        if median_service_s > 0:
            excess = self.service_s / median_service_s - SLOW_RATIO
            load += max(0.0, excess) * SLOW_LOAD
        return load

    def is_available(self, now: float) -> bool:
        """Return whether the backend server can be sent calls."""
        return (
            self.offer.is_ready
            and not self.is_draining
            and self.ejected_until <= now
        )

    def record_report(
        self, report: CallReport, latency_s: float, now: float
    ) -> None:
        """Record the state that the backend server's node reported.

        Only a completed call updates the service time and the latency. It
        also resets the duration of the next ejection.
        """
        self._level = ReportedLevel(report.level, now)
        self._reported_in_flight = report.in_flight
        self._rate_load = report.rate_load
        if report.rate_load:
            notice = read_run_notice(report.notice)
            rate_limit = None if notice is None else notice.rate_limit
            self._rate_load_decay_s = compute_averaging_time(rate_limit)
        self._reported_at = now
        self.is_draining = report.is_draining
        self._consecutive_failures = 0
        if not report.reason:
            self._ejections = 0
            self.service_s = report.service_ms / _MS_PER_S
            self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT

    def record_health(self, *, has_failed: bool, now: float) -> None:
        """Record whether a call failed in the backend server itself."""
        share = self._read_failure_share(now)
        outcome = 1.0 if has_failed else 0.0
        self._failure_share = share + (outcome - share) * FAILURE_WEIGHT
        self._failure_share_at = now

    def record_failure(self, now: float) -> bool:
        """Count a call that got no answer.

        :returns: whether the backend server is due for ejection.
        """
        self._consecutive_failures += 1
        return self._consecutive_failures >= FAILURES_TO_EJECT

    def suspend(self, now: float) -> None:
        """Send no calls until an update of the member can have arrived."""
        self.ejected_until = max(self.ejected_until, now + SUSPENSION_S)

    def eject(self, now: float) -> float:
        """Eject the backend server and return the duration in seconds."""
        duration_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * (1 << self._ejections)
        )
        self._ejections += 1
        self._consecutive_failures = 0
        self.ejected_until = now + duration_s
        return duration_s

    def _read_rate_load(self, now: float) -> float:
        age_s = now - self._reported_at
        return self._rate_load * math.exp(-age_s / self._rate_load_decay_s)

    def _read_failure_share(self, now: float) -> float:
        age_s = now - self._failure_share_at
        share: float = self._failure_share * 0.5 ** (
            age_s / FAILURE_HALF_LIFE_S
        )
        return share
