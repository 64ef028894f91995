"""Quotas of customers: which requests a node admits.

The load that this answers: one customer sends several times its usual rate, at
any number of nodes.
"""

import enum
from collections.abc import Mapping
from typing import Final, NamedTuple

from merlintrail.state.customers._customers import Customer, CustomerTable

#: Seconds for which usage collectors do not answer after which a node keeps to
#: what it admitted last.
MAX_SILENCE_S: Final = 0.8
#: Ratio of the rate of a node without any answer yet to its even part.
INITIAL_RATIO: Final = 2.0
#: Smallest burst in requests of a node that has to keep to a part of the rate.
MIN_PART_BURST: Final = 2.0
#: Time constant in seconds of the rate that a node admitted.
ADMITTED_TIME_CONSTANT_S: Final = 2.0
#: Fewest requests of a customer that may show a surge.
MIN_SURGE_REQUESTS: Final = 2
#: Shortest time in seconds over which a rate is computed.
MIN_SPAN_S: Final = 0.1
#: Shortest and longest time in seconds after which a caller whose request
#: exceeded the quota is asked to retry.
MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 5.0


class TokenBucket:
    """A rate with a burst; each admitted request takes one token."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self._updated_at = now

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self.level = min(self.burst, self.level + elapsed_s * self.rate)

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def try_take(self, now: float) -> bool:
        """Take one token if there is one."""
        self.refill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True


class UsageCount(NamedTuple):
    """Requests of one customer within a span of time."""

    arrivals: int = 0
    admissions: int = 0

    def add(self, other: 'UsageCount') -> 'UsageCount':
        """Return the sum of two counts."""
        return UsageCount(
            self.arrivals + other.arrivals, self.admissions + other.admissions
        )


class UsageReport(NamedTuple):
    """Requests by customer within a span of time."""

    counts: Mapping[str, UsageCount]
    #: Length of the span in seconds.
    span_s: float


class QuotaAnswer(NamedTuple):
    """What the usage collector tells the nodes of its data centre."""

    #: Share of the requests to admit, by customer; 1 for those left out.
    shares: Mapping[str, float]
    #: Requests per second over the fleet of the largest customers.
    demands: Mapping[str, float]
    #: Number of the other customers with requests, and the sum of theirs.
    others: int = 0
    others_demand: float = 0.0
    #: Whether any customer asks for much of its quota.
    is_busy: bool = False
    #: Whether the collector has collected for long enough to state shares.
    is_warm: bool = True


class LimitedBy(enum.StrEnum):
    """What keeps a request from being admitted."""

    NOTHING = 'nothing'
    #: The share of the customer's requests that is admitted at all nodes.
    SHARE = 'share'
    #: The part of a node that no collector answers.
    PART = 'part'
    #: The whole quota, which no node exceeds alone.
    NODE = 'node'


class QuotaVerdict(NamedTuple):
    """Whether a request is within the quota, and why it is not."""

    is_admitted: bool
    limited_by: LimitedBy
    #: Share of the customer's requests that are admitted.
    share: float
    #: Seconds since the last answer of the collector, ``None`` without any.
    age_s: float | None
    retry_after_s: float = 0.0


class _CustomerState:
    """What a node remembers of one customer with a quota."""

    def __init__(self, customer: Customer, now: float) -> None:
        rate = customer.rate_per_s or 0.0
        burst = max(customer.burst, 1.0)
        #: The whole quota, which no node exceeds alone.
        self.whole = TokenBucket(rate, burst, now)
        #: The node's part while it has no fresh answer, ``None`` with one.
        self.part: TokenBucket | None = None
        #: Fraction of a request that the share has left over.
        self.credit = 0.0
        #: Average of the requests per second admitted here until the last
        #: answer came.
        self.admitted_rate = 0.0


class QuotaLimiter:
    """Decides at one node which requests of customers are admitted."""

    def __init__(self) -> None:
        self._customers = CustomerTable()
        self._states: dict[str, _CustomerState] = {}
        self._counts: dict[str, UsageCount] = {}
        self._counted_since = 0.0
        self._nodes = 1
        self._answered_at: float | None = None
        #: Since when collectors have not answered, ``None`` if one did.
        self._silent_since: float | None = None
        self._shares: Mapping[str, float] = {}
        #: Whether any customer asked for much of its quota lately.
        self.is_busy = False

    def may_surge(self, now: float) -> bool:
        """Return whether a customer's requests here suggest a surge.

        If they are as frequent at all nodes, they exceed its quota.
        """
        span_s = max(now - self._counted_since, MIN_SPAN_S)
        for name, count in self._counts.items():
            state = self._states.get(name)
            if state is None or count.arrivals < MIN_SURGE_REQUESTS:
                continue
            if count.arrivals / span_s * self._nodes > state.whole.rate:
                return True
        return False

    @property
    def has_shares(self) -> bool:
        """Whether a collector has stated shares since this node started."""
        return self._answered_at is not None

    @property
    def counts(self) -> Mapping[str, UsageCount]:
        """Requests counted since the last report, by customer."""
        return self._counts

    def configure(
        self, customers: CustomerTable, nodes: int, now: float
    ) -> None:
        """Set the customers and the number of nodes that share the quotas."""
        self._customers = customers
        self._nodes = max(1, nodes)
        for name, state in tuple(self._states.items()):
            customer = customers.find(name)
            if customer is None or customer.rate_per_s is None:
                del self._states[name]
                continue
            burst = max(customer.burst, 1.0)
            if customer.rate_per_s != state.whole.rate:
                state.part = None
            state.whole.configure(customer.rate_per_s, burst, now)

    def admit(self, customer: Customer, now: float) -> QuotaVerdict:
        """Count a request and decide whether it is within the quota."""
        verdict = self._decide(customer, now)
        self._count(customer.name, UsageCount(1, int(verdict.is_admitted)))
        return verdict

    def cancel(self, customer: Customer, now: float) -> None:
        """Return the token of an admitted request that did not run.

        A caller that was refused for lack of room comes back within its quota.
        """
        self._count(customer.name, UsageCount(0, -1))
        state = self._states.get(customer.name)
        if state is not None:
            state.whole.refill(now)
            state.whole.level = min(state.whole.burst, state.whole.level + 1)

    def read_share(self, name: str) -> float:
        """Return the share of a customer's requests that are admitted."""
        return self._shares.get(name, 1.0)

    def take_report(self, now: float) -> UsageReport:
        """Return and reset the counts."""
        report = UsageReport(self._counts, now - self._counted_since)
        self._counts = {}
        self._counted_since = now
        return report

    def record_silence(self, report: UsageReport, now: float) -> None:
        """Record that a collector did not answer a report.

        What the report contained is counted again.
        """
        if self._silent_since is None:
            self._silent_since = now
        for name, count in report.counts.items():
            self._count(name, count)
        self._counted_since -= report.span_s

    def apply_answer(
        self,
        answer: QuotaAnswer,
        report: UsageReport,
        now: float,
    ) -> None:
        """Take over the shares of the collector.

        One that has only just begun leaves the shares as they are.

        :param report: what it was told.
        """
        self._silent_since = None
        self.is_busy = answer.is_busy
        if not answer.is_warm:
            return
        self._answered_at = now
        self._shares = answer.shares
        for name, state in self._states.items():
            state.part = None
            admissions = report.counts.get(name, UsageCount()).admissions
            rate = admissions / max(report.span_s, MIN_SPAN_S)
            weight = min(1.0, report.span_s / ADMITTED_TIME_CONSTANT_S)
            state.admitted_rate += (rate - state.admitted_rate) * weight

    def _count(self, name: str, count: UsageCount) -> None:
        self._counts[name] = self._counts.get(name, UsageCount()).add(count)

    def _decide(self, customer: Customer, now: float) -> QuotaVerdict:
        age_s = None if self._answered_at is None else now - self._answered_at
        if customer.rate_per_s is None:
            return QuotaVerdict(
                is_admitted=True,
                limited_by=LimitedBy.NOTHING,
                share=1.0,
                age_s=age_s,
            )
        state = self._states.get(customer.name)
        if state is None:
            state = _CustomerState(customer, now)
            self._states[customer.name] = state
        share = self._shares.get(customer.name, 1.0)
        limited_by = LimitedBy.NOTHING
        if not self._is_in_share(state, share):
            limited_by = LimitedBy.SHARE
        elif not self._is_in_part(state, age_s, now):
            limited_by = LimitedBy.PART
        elif not state.whole.try_take(now):
            limited_by = LimitedBy.NODE
        is_admitted = limited_by == LimitedBy.NOTHING
        return QuotaVerdict(
            is_admitted,
            limited_by,
            share,
            age_s,
            0.0 if is_admitted else _compute_retry_after(share),
        )

    def _is_in_share(self, state: _CustomerState, share: float) -> bool:
        """Return whether a request is among the share to admit."""
        if share >= 1:
            return True
        state.credit += share
        if state.credit < 1:
            return False
        state.credit -= 1
        return True

    def _is_in_part(
        self, state: _CustomerState, age_s: float | None, now: float
    ) -> bool:
        """Return whether a request is within the part of a node on its own.

        It has one only while no collector answers.
        """
        is_silent = (
            self._silent_since is not None
            and now - self._silent_since > MAX_SILENCE_S
        )
        if age_s is not None and not is_silent:
            return True
        if state.part is None:
            state.part = self._create_part(state, age_s, now)
        return state.part.try_take(now)

    def _create_part(
        self, state: _CustomerState, age_s: float | None, now: float
    ) -> TokenBucket:
        whole = state.whole
        even_rate = whole.rate / self._nodes
        if age_s is None:
            rate = min(whole.rate, even_rate * INITIAL_RATIO)
        else:
            rate = min(whole.rate, max(even_rate, state.admitted_rate))
        burst = max(MIN_PART_BURST, whole.burst * rate / max(whole.rate, 1e-9))
        return TokenBucket(rate, min(burst, whole.burst), now)


def _compute_retry_after(share: float) -> float:
    """Return when a refused caller may find room.

    The smaller the admitted share, the longer: callers that come back at once
    would only be refused again.
    """
    pause_s = MIN_RETRY_AFTER_S / max(share, 1e-3)
    return min(MAX_RETRY_AFTER_S, pause_s)
