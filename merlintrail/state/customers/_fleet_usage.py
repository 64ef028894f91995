"""Use of the quotas over the whole fleet, as a usage collector knows it.

The nodes of a data centre report to its collector, and the collectors report
the sums of their data centres to each other.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from merlintrail.state.customers._customers import CustomerTable
from merlintrail.state.customers._quota import (
    MIN_SPAN_S,
    QuotaAnswer,
    TokenBucket,
    UsageCount,
    UsageReport,
)

#: Time constant in seconds of the estimated demand.
DEMAND_TIME_CONSTANT_S: Final = 1.0
#: The same of the estimate that shows a surge.
SURGE_TIME_CONSTANT_S: Final = 0.3
#: Standard deviations above the longer average that count as a surge.
SURGE_DEVIATIONS: Final = 3.0
#: Seconds by which counts are late. A bucket keeps the tokens of that time
#: beyond its burst, since requests that take them are yet to be counted.
REPORT_LAG_S: Final = 0.25
#: Seconds in which what is left of a burst may be used up.
BURST_TIME_S: Final = 1.0
#: Seconds over which a level below 0 is paid back. It is longer than the time
#: until a changed share shows in the counts, so that the level does not swing.
SETTLE_TIME_S: Final = 1.0
#: Seconds of collecting until the demand is known well enough to limit it.
WARMUP_S: Final = 1.5
#: Time constant in seconds with which a level below 0 is forgotten.
DEBT_TIME_CONSTANT_S: Final = 10.0
#: Smallest share of a customer's requests that is admitted. It shows that
#: requests still come, and some callers get through.
MIN_SHARE: Final = 0.02
#: Share of the quota from which on a customer is watched closely.
BUSY_SHARE: Final = 0.25
#: Number of the largest customers whose demands are told by name.
MAX_NAMED_DEMANDS: Final = 32
#: Requests per second below which a customer's demand counts as none.
MIN_DEMAND: Final = 0.05


class _Demand:
    """Requests per second of one customer, as a decaying average.

    A short average replaces the long one while it is higher by more than
    chance explains, so that a surge is known soon.
    """

    def __init__(self) -> None:
        self._long = 0.0
        self._short = 0.0
        self._updated_at = -math.inf

    def add(self, arrivals: int, span_s: float, now: float) -> None:
        """Count requests that arrived evenly within a span that ends now."""
        self._decay(now)
        rate = arrivals / max(span_s, MIN_SPAN_S)
        self._long += rate * _compute_weight(span_s, DEMAND_TIME_CONSTANT_S)
        self._short += rate * _compute_weight(span_s, SURGE_TIME_CONSTANT_S)

    def read(self, now: float) -> float:
        """Return the average."""
        self._decay(now)
        deviation = math.sqrt(self._long / SURGE_TIME_CONSTANT_S)
        if self._short > self._long + deviation * SURGE_DEVIATIONS:
            return self._short
        return self._long

    def _decay(self, now: float) -> None:
        age_s = now - self._updated_at
        self._updated_at = now
        self._long *= math.exp(-age_s / DEMAND_TIME_CONSTANT_S)
        self._short *= math.exp(-age_s / SURGE_TIME_CONSTANT_S)


def _compute_weight(span_s: float, time_constant_s: float) -> float:
    """Return the weight of a span in a decaying average."""
    return 1 - math.exp(-max(span_s, MIN_SPAN_S) / time_constant_s)


class FleetUsage:
    """Demand of each customer over the fleet, and the level of its quota."""

    def __init__(self) -> None:
        self._customers = CustomerTable()
        self._buckets: dict[str, TokenBucket] = {}
        self._demands: dict[str, _Demand] = {}
        #: Counts of the own data centre that each other one is yet to be told.
        self._untold: dict[str, dict[str, UsageCount]] = {}
        self._collecting_since: float | None = None
        #: Share of the nodes whose requests are known here.
        self._reach = 1.0
        self._decayed_at = -math.inf
        self._reported_at = -math.inf

    def is_collecting(self, now: float) -> bool:
        """Return whether nodes report to this one."""
        return now - self._reported_at < DEMAND_TIME_CONSTANT_S * 3

    def configure(self, customers: CustomerTable, now: float) -> None:
        """Set the customers; the bucket of a new one begins empty."""
        self._customers = customers
        buckets = {}
        for customer in customers:
            if customer.rate_per_s is None:
                continue
            rate = customer.rate_per_s * self._reach
            burst = max(customer.burst * self._reach, 1.0) + rate * REPORT_LAG_S
            bucket = self._buckets.get(customer.name)
            if bucket is None:
                bucket = TokenBucket(rate, burst, now)
                bucket.level = 0.0
            bucket.configure(rate, burst, now)
            buckets[customer.name] = bucket
        self._buckets = buckets
        for name in tuple(self._demands):
            if customers.find(name) is None:
                del self._demands[name]

    def update_reach(self, reach: float, now: float) -> None:
        """Set the share of the nodes whose requests are known here.

        Nodes that cannot be reached may use their part of each quota.
        """
        if reach == self._reach:
            return
        self._reach = reach
        self.configure(self._customers, now)

    def record_report(
        self,
        report: UsageReport,
        data_centres: Iterable[str],
        now: float,
    ) -> None:
        """Take in what a node of the own data centre counted.

        :param data_centres: the other data centres, which are to be told.
        """
        if not self.is_collecting(now):
            self._begin_collecting(now)
        self._reported_at = now
        self.record_sums(report, now)
        for data_centre in data_centres:
            self.restore_untold(data_centre, report.counts)

    def record_sums(self, report: UsageReport, now: float) -> None:
        """Take in what another collector counted in its data centre."""
        for name, count in report.counts.items():
            if self._customers.find(name) is None:
                continue
            demand = self._demands.setdefault(name, _Demand())
            demand.add(count.arrivals, report.span_s, now)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.refill(now)
                bucket.level = min(
                    bucket.burst, bucket.level - count.admissions
                )

    def take_untold(
        self, data_centre: str, now: float, *, is_complete: bool
    ) -> dict[str, UsageCount]:
        """Return and forget the counts that a data centre is yet to be told.

        :param is_complete: whether to return those of all customers, else only
            of those that ask for much of their quota.
        """
        untold = self._untold.pop(data_centre, {})
        if is_complete:
            return untold
        told = {
            name: count
            for name, count in untold.items()
            if self._is_busy(name, self._read_demand(name, now))
        }
        rest = {
            name: count for name, count in untold.items() if name not in told
        }
        if rest:
            self._untold[data_centre] = rest
        return told

    def restore_untold(
        self, data_centre: str, counts: Mapping[str, UsageCount]
    ) -> None:
        """Keep counts until a data centre is told of them."""
        untold = self._untold.setdefault(data_centre, {})
        for name, count in counts.items():
            untold[name] = untold.get(name, UsageCount()).add(count)

    def compute_demands(self, now: float) -> dict[str, float]:
        """Return the requests per second of each customer over the fleet."""
        demands = {
            name: demand.read(now) for name, demand in self._demands.items()
        }
        return {
            name: demand
            for name, demand in demands.items()
            if demand >= MIN_DEMAND
        }

    def compute_answer(self, now: float) -> QuotaAnswer:
        """Return what the nodes of the own data centre are told."""
        self._forget_debts(now)
        demands = self.compute_demands(now)
        since = self._collecting_since
        names = sorted(demands, key=demands.__getitem__, reverse=True)
        named = {name: demands[name] for name in names[:MAX_NAMED_DEMANDS]}
        return QuotaAnswer(
            self._compute_shares(demands, now),
            {name: round(demand, 2) for name, demand in named.items()},
            len(demands) - len(named),
            round(max(0.0, sum(demands.values()) - sum(named.values())), 2),
            is_busy=any(self._is_busy(name, demands[name]) for name in demands),
            is_warm=since is not None and now - since >= WARMUP_S,
        )

    def has_busy_customers(self, now: float) -> bool:
        """Return whether any customer asks for much of its quota."""
        return any(
            self._is_busy(name, demand)
            for name, demand in self.compute_demands(now).items()
        )

    def read_level(self, name: str, now: float) -> float | None:
        """Return the tokens left of a quota, ``None`` without one."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return None
        bucket.refill(now)
        return bucket.level

    def _begin_collecting(self, now: float) -> None:
        """Begin with empty buckets.

        What a collector before this one admitted is not known.
        """
        self._collecting_since = now
        self._untold.clear()
        for bucket in self._buckets.values():
            bucket.refill(now)
            bucket.level = 0.0

    def _forget_debts(self, now: float) -> None:
        """Let levels below 0 decay.

        Collectors that began at different times count different debts, which
        would otherwise set their shares apart for good.
        """
        factor = math.exp((self._decayed_at - now) / DEBT_TIME_CONSTANT_S)
        self._decayed_at = now
        for bucket in self._buckets.values():
            bucket.refill(now)
            if bucket.level < 0:
                bucket.level *= factor

    def _read_demand(self, name: str, now: float) -> float:
        demand = self._demands.get(name)
        return 0.0 if demand is None else demand.read(now)

    def _is_busy(self, name: str, demand: float) -> bool:
        bucket = self._buckets.get(name)
        if bucket is None:
            return False
        return demand > bucket.rate * BUSY_SHARE or bucket.level < 0

    def _compute_shares(
        self, demands: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return the shares that are below 1."""
        shares = {
            name: self._compute_share(name, demand, now)
            for name, demand in demands.items()
        }
        return {
            name: round(share, 4) for name, share in shares.items() if share < 1
        }

    def _compute_share(self, name: str, demand: float, now: float) -> float:
        """Return the share of a customer's requests that its quota permits."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return 1.0
        bucket.refill(now)
        level = min(bucket.level, bucket.burst - bucket.rate * REPORT_LAG_S)
        settle_s = BURST_TIME_S if level > 0 else SETTLE_TIME_S
        permitted = bucket.rate + level / settle_s
        return min(1.0, max(MIN_SHARE, permitted / demand))
