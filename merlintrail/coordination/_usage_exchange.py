"""Exchange of the customers' use of their quotas between the nodes.

Each node reports to the usage collector of its data centre, and the collectors
report to each other. Nothing is sent while there are no customers.
"""

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from merlintrail.coordination._membership import Membership
from merlintrail.coordination._peers import PeerClient
from merlintrail.coordination._topology import compute_hash
from merlintrail.observability import create_logger, log_decision
from merlintrail.protocol import DecodeFailure
from merlintrail.state import (
    CustomerTable,
    FairOrder,
    FleetUsage,
    Member,
    MemberStatus,
    QuotaAnswer,
    QuotaLimiter,
    UsageCount,
    UsageReport,
)
from merlintrail.transport import TransportFailure

#: Seconds between reports while a customer asks for much of its quota.
BUSY_INTERVAL_S: Final = 0.25
#: Number of nodes in a data centre from which on its collector could not take
#: reports at that interval; with more of them it is longer in proportion.
MAX_FAST_REPORTERS: Final = 32
#: Seconds between reports otherwise.
IDLE_INTERVAL_S: Final = 1.0
#: Collectors to which one report is sent, until one of them answers.
MAX_REPORT_ATTEMPTS: Final = 2
#: Reports of all other nodes that have to be missing for a collector to count
#: as isolated.
MAX_MISSED_REPORTS: Final = 2.5
#: Seconds to wait for the answer to a report.
REPORT_TIMEOUT_S: Final = 0.4
#: Seconds for which a collector that did not answer is passed over. It is
#: longer than the members need to find out that a node is gone.
COLLECTOR_RETRY_S: Final = 8.0

#: Share of an interval from which on it counts as over, since ticks are late
#: by different times.
_TICK_TOLERANCE: Final = 0.9

_LOG: Final = create_logger('usage')


class UsageExchange:
    """Reports to the usage collector; collects the reports of others."""

    def __init__(
        self,
        membership: Membership,
        peers: PeerClient,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        #: Decides which requests of customers this node admits.
        self.limiter = QuotaLimiter()
        #: Order in which requests of customers are shed.
        self.fair_order = FairOrder()
        #: What this node has collected.
        self.usage = FleetUsage()
        self._customers = CustomerTable()
        self._has_customers = asyncio.Event()
        #: Until when nodes that did not answer are passed over.
        self._unreachable_until: dict[str, float] = {}
        self._reported_at = -math.inf
        #: When another node was last heard of; at first, the start.
        self._heard_at = clock()
        #: When each data centre was last told of this one.
        self._told_at: dict[str, float] = {}
        #: When the counts of all customers were last told to others.
        self._completed_at = -math.inf
        #: Nodes of each data centre in the order in which they collect.
        self._candidates: dict[str, list[Member]] = {}
        self._candidates_digest = -1
        #: Customers whose requests are admitted in part.
        self._limited: frozenset[str] = frozenset()
        self._sums: set[asyncio.Task[None]] = set()
        #: Data centres whose collectors did not answer last.
        self._silent_data_centres: set[str] = set()

    def configure(self, customers: CustomerTable) -> None:
        """Set the customers of the configuration now in force."""
        now = self._clock()
        self._customers = customers
        if customers:
            self._has_customers.set()
        else:
            self._has_customers.clear()
        self.limiter.configure(customers, self._count_known(), now)
        self.usage.configure(customers, now)

    async def run(self) -> None:
        """Report periodically while there are customers, until cancelled."""
        while True:
            await self._has_customers.wait()
            await asyncio.sleep(BUSY_INTERVAL_S)
            await self.exchange()

    async def exchange(self) -> None:
        """Report what this node has counted and collected, if it is due."""
        now = self._clock()
        if self._is_report_due(now):
            self._reported_at = now
            await self._report(now)
        if self.usage.is_collecting(now):
            self._send_sums(now)

    def handle_report(
        self, document: dict[str, Any]
    ) -> QuotaAnswer | DecodeFailure:
        """Take in the report of a node and answer with the shares."""
        report = self._read_report(document)
        if report is None:
            return DecodeFailure('usage: no counts')
        self._heard_at = self._clock()
        return self._collect(report)

    def handle_sums(
        self, document: dict[str, Any]
    ) -> Mapping[str, Any] | DecodeFailure:
        """Take in the sums of another collector."""
        report = self._read_report(document)
        if report is None:
            return DecodeFailure('usage-sums: no counts')
        self._heard_at = self._clock()
        self.usage.record_sums(report, self._heard_at)
        return {}

    def _collect(self, report: UsageReport) -> QuotaAnswer:
        """Take in the counts of a node of the own data centre."""
        now = self._clock()
        self.usage.update_reach(self._compute_reach(), now)
        self.usage.record_report(report, self._list_other_data_centres(), now)
        return self.usage.compute_answer(now)

    def _is_report_due(self, now: float) -> bool:
        """Return whether to report, also without any requests.

        The answers keep the shares known for requests that are yet to come.
        """
        interval_s = self._scale(IDLE_INTERVAL_S)
        if (
            self.limiter.is_busy
            or not self.limiter.has_shares
            or self.limiter.may_surge(now)
        ):
            interval_s = self._scale(BUSY_INTERVAL_S)
        return now - self._reported_at >= interval_s * _TICK_TOLERANCE

    def _scale(self, interval_s: float) -> float:
        """Return an interval as it is in this data centre."""
        self._update_candidates()
        own = self._membership.own.data_centre
        reporters = len(self._candidates.get(own, ()))
        return interval_s * max(1.0, reporters / MAX_FAST_REPORTERS)

    async def _report(self, now: float) -> None:
        """Report to the collector, or to the next if it does not answer."""
        report = self.limiter.take_report(now)
        for _ in range(MAX_REPORT_ATTEMPTS):
            collector = self._choose_collector(self._membership.own.data_centre)
            answer = await self._report_to(collector, report)
            if answer is not None:
                self.limiter.apply_answer(answer, report, self._clock())
                self.fair_order.update(answer)
                self._log_limited(answer)
                return
        self.limiter.record_silence(report, self._clock())

    async def _report_to(
        self, collector: Member | None, report: UsageReport
    ) -> QuotaAnswer | None:
        """Report to a collector, which may be this node.

        :returns: ``None`` if it does not answer, or if it is this node and no
            other one has reported to it for some time.
        """
        own = self._membership.own
        if collector is None or collector.node_id == own.node_id:
            return None if self._is_isolated() else self._collect(report)
        return _read_answer(await self._send(collector, 'usage', report))

    def _is_isolated(self) -> bool:
        """Return whether all other nodes are silent.

        This node then knows nothing of their requests.
        """
        if self._count_known() < 2:
            return False
        silence_s = self._clock() - self._heard_at
        return silence_s > self._scale(IDLE_INTERVAL_S) * MAX_MISSED_REPORTS

    def _send_sums(self, now: float) -> None:
        """Tell the other data centres what this one counted.

        A data centre that does not answer delays neither the others nor the
        next report.
        """
        is_complete = (
            now - self._completed_at >= IDLE_INTERVAL_S * _TICK_TOLERANCE
        )
        if is_complete:
            self._completed_at = now
        for data_centre in self._list_other_data_centres():
            task = asyncio.create_task(
                self._send_sum(data_centre, now, is_complete=is_complete)
            )
            self._sums.add(task)
            task.add_done_callback(self._sums.discard)

    async def _send_sum(
        self, data_centre: str, now: float, *, is_complete: bool
    ) -> None:
        counts = self.usage.take_untold(
            data_centre, now, is_complete=is_complete
        )
        if not counts and not is_complete:
            return
        collector = self._choose_collector(data_centre)
        if collector is None:
            self.usage.restore_untold(data_centre, counts)
            return
        span_s = now - self._told_at.get(data_centre, now - BUSY_INTERVAL_S)
        self._told_at[data_centre] = now
        report = UsageReport(counts, span_s)
        answer = await self._send(collector, 'usage-sums', report)
        if isinstance(answer, TransportFailure):
            self.usage.restore_untold(data_centre, counts)
            self._silent_data_centres.add(data_centre)
        else:
            self._silent_data_centres.discard(data_centre)
            self._heard_at = self._clock()

    async def _send(
        self, collector: Member, subject: str, report: UsageReport
    ) -> Any:
        """Send a message; a collector that does not answer is passed over."""
        answer = await self._peers.send_request(
            collector.peer_address,
            subject,
            report._asdict(),
            timeout_s=REPORT_TIMEOUT_S,
        )
        if isinstance(answer, TransportFailure):
            self._unreachable_until[collector.node_id] = (
                self._clock() + COLLECTOR_RETRY_S
            )
            _LOG.warning(
                'usage collector lost',
                extra={'instance': collector.node_id, 'reason': answer.reason},
            )
        return answer

    def _compute_reach(self) -> float:
        """Return the share of the nodes whose requests can be known here.

        The rest may use its part of the quotas.
        """
        self._update_candidates()
        reached = sum(
            len(nodes)
            for name, nodes in self._candidates.items()
            if name not in self._silent_data_centres
        )
        return reached / max(1, self._count_known())

    def _count_known(self) -> int:
        """Return the number of nodes that have not left.

        A node that counts as dead may only be cut off from this one.
        """
        return sum(
            1
            for member in self._membership.table
            if member.status != MemberStatus.LEFT
        )

    def _list_other_data_centres(self) -> Sequence[str]:
        self._update_candidates()
        own = self._membership.own.data_centre
        return [name for name in self._candidates if name != own]

    def _choose_collector(self, data_centre: str) -> Member | None:
        """Return the first node of a data centre by hash that is reachable."""
        self._update_candidates()
        now = self._clock()
        for member in self._candidates.get(data_centre, ()):
            if self._unreachable_until.get(member.node_id, 0.0) <= now:
                return member
        return None

    def _update_candidates(self) -> None:
        """Order the nodes of each data centre anew if the members changed."""
        digest = self._membership.table.digest
        if digest == self._candidates_digest:
            return
        self._candidates_digest = digest
        self._candidates = {}
        now = self._clock()
        self._unreachable_until = {
            node_id: until
            for node_id, until in self._unreachable_until.items()
            if until > now
        }
        members = self._membership.table.list_active()
        for member in sorted(members, key=_hash_collector):
            group = self._candidates.setdefault(member.data_centre, [])
            group.append(member)

    def _log_limited(self, answer: QuotaAnswer) -> None:
        """Log when customers begin or cease to be limited."""
        limited = frozenset(answer.shares)
        if limited == self._limited:
            return
        self._limited = limited
        log_decision(
            'quota',
            shares=dict(answer.shares),
            demands={name: answer.demands.get(name) for name in answer.shares},
        )

    def _read_report(self, document: dict[str, Any]) -> UsageReport | None:
        """Read a report; customers that are not configured are left out.

        :returns: ``None`` for a document of another shape.
        """
        counts = document.get('counts')
        span_s = document.get('span_s')
        if not isinstance(counts, dict) or not _is_number(span_s):
            return None
        return UsageReport(
            {
                name: UsageCount(*pair)
                for name, pair in counts.items()
                if _is_pair(pair) and self._customers.find(name) is not None
            },
            max(0.0, float(span_s or 0.0)),
        )


def _hash_collector(member: Member) -> int:
    return compute_hash(f'usage {member.node_id}')


def _is_pair(pair: object) -> bool:
    return (
        isinstance(pair, list)
        and len(pair) == 2
        and all(isinstance(number, int) for number in pair)
    )


def _is_number(number: object) -> bool:
    if isinstance(number, bool) or not isinstance(number, int | float):
        return False
    return math.isfinite(number)


def _read_answer(document: object) -> QuotaAnswer | None:
    """Read a collector's answer, ``None`` for anything else."""
    if not isinstance(document, dict):
        return None
    shares = document.get('shares')
    demands = document.get('demands')
    others = document.get('others')
    others_demand = document.get('others_demand')
    if not isinstance(shares, dict) or not isinstance(demands, dict):
        return None
    numbers = (*shares.values(), *demands.values(), others_demand)
    if not all(_is_number(number) for number in numbers):
        return None
    if not isinstance(others, int) or not isinstance(
        others_demand, int | float
    ):
        return None
    return QuotaAnswer(
        shares,
        demands,
        others,
        others_demand,
        is_busy=document.get('is_busy') is True,
        is_warm=document.get('is_warm') is True,
    )
