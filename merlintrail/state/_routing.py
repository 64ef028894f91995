"""Selection of a backend server for a call."""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from merlintrail.state._data_centre_outcomes import DataCentreOutcomes
from merlintrail.state._demand import is_shed
from merlintrail.state._downstream_levels import DownstreamLevels
from merlintrail.state._links import LinkAllowance
from merlintrail.state._members import Member, MemberStatus, ServiceOffer
from merlintrail.state._routing_request import (
    Choice,
    NodeLocation,
    NoTarget,
    RoutingRequest,
    Tier,
)
from merlintrail.state._targets import Target

#: Load that is assumed for the backend servers of the region when there are
#: some but none can be chosen. A call goes to another region only if the
#: load there is not above it, for a request with the margin.
UNAVAILABLE_LOAD: Final = 1.5
#: Load that is added in the region where the same request failed before. It
#: exceeds the margins for messages of usual size, so that the retry goes to
#: another region that has room.
FAILED_BEFORE_LOAD: Final = 2.0
#: Factor on the failure shares of the other regions for such a retry. Where
#: requests fail as often, nothing is gained there.
FAILED_BEFORE_FACTOR: Final = 3.0
#: Seconds for which the median service time of a service is cached.
MEDIAN_CACHE_S: Final = 0.5
#: Largest share of a service's backend servers that may be ejected.
MAX_EJECTED_SHARE: Final = 0.5


class _CachedMedian(NamedTuple):
    """Median service time of a service's backend servers."""

    service_s: float
    computed_at: float


class RoutingTable:
    """The backend servers of each service, as the members offer them.

    A call goes to the nearest tier (own data centre, region, other regions)
    that has capacity; see :class:`SpilloverRule`. Within a tier it goes to
    the less loaded of two random backend servers (power of two choices).
    Backend servers that fail repeatedly are temporarily ejected (outlier
    ejection).
    """

    def __init__(
        self,
        location: NodeLocation,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._location = location
        self._clock = clock
        self._rng = rng
        self._targets: dict[str, dict[str, Target]] = {}
        self._regions: Mapping[str, str] = {}
        #: Cached backend servers of each service in the own data centre.
        self._near: dict[str, list[Target]] = {}
        self._median_service_times: dict[str, _CachedMedian] = {}
        #: Shedding levels of the services that each request kind calls.
        self.downstream_levels = DownstreamLevels()
        #: Failure shares of requests in each data centre.
        self.outcomes = DataCentreOutcomes()
        #: Bandwidth limits between regions.
        self.links = LinkAllowance()
        #: Whether the initial list of members is complete. From then on a
        #: backend server that appears is assumed to have just started, and is
        #: warmed up.
        self.has_initial_members = False

    def update_regions(self, regions: Mapping[str, str]) -> None:
        """Set the region of each data centre."""
        self._regions = regions

    def update_member(self, previous: Member | None, member: Member) -> None:
        """Apply the new state of a member; a listener of the member table."""
        self._near.clear()
        offers = () if member.has_departed else member.offers
        offered = {offer.service for offer in offers}
        for service, targets in self._targets.items():
            if service not in offered:
                targets.pop(member.node_id, None)
        for offer in offers:
            self._update_offer(member, offer)

    def list_targets(self, service: str) -> list[Target]:
        """Return the backend servers of a service."""
        return list(self._targets.get(service, {}).values())

    def has_service(self, service: str) -> bool:
        """Return whether any backend server of a service is known."""
        return bool(self._targets.get(service))

    def choose(
        self, request: RoutingRequest, tried: Collection[str]
    ) -> Choice | NoTarget:
        """Choose a backend server.

        The own data centre has precedence, then another data centre of the
        region if its load is lower by a margin. Another region is used only
        if its load is lower by a larger margin and the bandwidth limit of
        the link permits.

        :param tried: identifiers of nodes that were tried before.
        """
        now = self._clock()
        near = self._choose_near(request, tried, now)
        if near is not None:
            return near
        targets = self._targets.get(request.service, {}).values()
        available = [
            target
            for target in targets
            if target.is_available(now) and target.member.node_id not in tried
        ]
        if not available:
            return self._explain_unavailability(targets, now)
        accepting = [
            target
            for target in available
            if self._accepts(target, request, now)
        ]
        if not accepting:
            return NoTarget(
                is_shedding=True,
                level=min(
                    self._read_level(target, request, now)
                    for target in available
                ),
                reason='every server sheds',
            )
        return self._choose_nearest(accepting, request, now)

    def record_failure(self, target: Target) -> float:
        """Count a failure and eject the backend server if it is due.

        No more than ``MAX_EJECTED_SHARE`` of the backend servers are ejected
        at a time.

        :returns: duration of the ejection in seconds, 0 for none.
        """
        now = self._clock()
        if not target.record_failure(now):
            return 0.0
        targets = self._targets.get(target.offer.service, {}).values()
        ejected = sum(1 for other in targets if other.ejected_until > now)
        if ejected + 1 > len(targets) * MAX_EJECTED_SHARE:
            return 0.0
        return target.eject(now)

    def find_tier(self, member: Member) -> Tier:
        """Return the distance of a member from this node."""
        if member.data_centre == self._location.data_centre:
            return Tier.DATA_CENTRE
        own_region = self._regions.get(self._location.data_centre)
        if self._regions.get(member.data_centre) == own_region:
            return Tier.REGION
        return Tier.REMOTE

    def find_region_pair(self, member: Member) -> frozenset[str]:
        """Return the regions of this node and of a member."""
        return frozenset(
            (
                self._regions.get(self._location.data_centre, ''),
                self._regions.get(member.data_centre, ''),
            )
        )

    def _update_offer(self, member: Member, offer: ServiceOffer) -> None:
        """Add or update a backend server.

        A backend server that becomes ready is warmed up, and so is a new
        one unless it belongs to the initial members.
        """
        targets = self._targets.setdefault(offer.service, {})
        target = targets.get(member.node_id)
        if target is None or target.member.incarnation != member.incarnation:
            warmup_started_at = (
                self._clock() if self.has_initial_members else 0.0
            )
            target = Target(member, offer, warmup_started_at)
            targets[member.node_id] = target
        elif offer.is_ready and not target.offer.is_ready:
            target.warmup_started_at = self._clock()
        target.member = member
        target.offer = offer
        target.is_draining = member.status != MemberStatus.ALIVE

    def _accepts(
        self, target: Target, request: RoutingRequest, now: float
    ) -> bool:
        """Return whether a target and its downstream services accept a call.

        Nested calls are never shed.
        """
        if request.is_nested:
            return True
        level = self._read_level(target, request, now)
        return not is_shed(request.priority, level)

    def _read_level(
        self, target: Target, request: RoutingRequest, now: float
    ) -> int:
        """Return the highest level of a target and its downstream services."""
        downstream = self.downstream_levels.read(
            request.kind, target.member.data_centre, now
        )
        return max(target.read_level(now), downstream)

    def _choose_near(
        self, request: RoutingRequest, tried: Collection[str], now: float
    ) -> Choice | None:
        """Choose from two random targets in the own data centre.

        This fast path does not examine every backend server.

        :returns: ``None`` if the better of the two cannot take the call.
        """
        near = self._near.get(request.service)
        if near is None:
            near = [
                target
                for target in self._targets.get(request.service, {}).values()
                if target.member.data_centre == self._location.data_centre
            ]
            self._near[request.service] = near
        choice = self._choose_of_two(near, Tier.DATA_CENTRE, request, now)
        if choice is None or choice.load > request.rule.max_near_load:
            return None
        target = choice.target
        is_eligible = (
            target.is_available(now) and target.member.node_id not in tried
        )
        if is_eligible and self._accepts(target, request, now):
            return choice
        return None

    def _explain_unavailability(
        self, targets: Collection[Target], now: float
    ) -> NoTarget:
        if not targets:
            return NoTarget(
                is_shedding=False, level=0, reason='no backend server is known'
            )
        level = min(target.read_level(now) for target in targets)
        return NoTarget(
            is_shedding=level > 0,
            level=level,
            reason='every backend server was tried or is out',
        )

    def _choose_nearest(
        self, targets: Sequence[Target], request: RoutingRequest, now: float
    ) -> Choice | NoTarget:
        """Choose from the targets by tier and load."""
        by_tier: dict[Tier, list[Target]] = {tier: [] for tier in Tier}
        for target in targets:
            by_tier[self.find_tier(target.member)].append(target)
        near = self._choose_of_two(
            by_tier[Tier.DATA_CENTRE], Tier.DATA_CENTRE, request, now
        )
        rule = request.rule
        if near is not None and near.load <= rule.max_near_load:
            return near
        region = self._choose_of_two(
            by_tier[Tier.REGION], Tier.REGION, request, now
        )
        best = _prefer_nearer(near, region, rule.region_margin)
        if best is not None and best.load <= rule.max_near_load:
            return best
        remote = self._choose_remote(by_tier[Tier.REMOTE], request, now)
        if isinstance(remote, NoTarget):
            return best or remote
        if best is None and self._has_region_server(request.service, now):
            margin = 0.0 if request.is_nested else rule.remote_margin
            if remote.load + margin > UNAVAILABLE_LOAD:
                return NoTarget(
                    is_shedding=True, level=0, reason='no room in the region'
                )
        return _prefer_nearer(best, remote, rule.remote_margin) or remote

    def _has_region_server(self, service: str, now: float) -> bool:
        """Return whether the region has an available backend server."""
        return any(
            target.is_available(now)
            and self.find_tier(target.member) != Tier.REMOTE
            for target in self._targets.get(service, {}).values()
        )

    def _choose_remote(
        self, targets: Sequence[Target], request: RoutingRequest, now: float
    ) -> Choice | NoTarget:
        permitted = [
            target
            for target in targets
            if self.links.permits(self.find_region_pair(target.member), now)
        ]
        choice = self._choose_of_two(permitted, Tier.REMOTE, request, now)
        if choice is None:
            return NoTarget(
                is_shedding=True,
                level=0,
                reason='the allowance between regions is used up',
            )
        return choice

    def _choose_of_two(
        self,
        targets: Sequence[Target],
        tier: Tier,
        request: RoutingRequest,
        now: float,
    ) -> Choice | None:
        """Choose the less loaded of two random targets."""
        if not targets:
            return None
        pair = targets if len(targets) <= 2 else self._rng.sample(targets, 2)
        median_s = self._find_median_service_time(request.service, now)
        loads = [
            (
                target.compute_load(now, request.warmup_s, median_s)
                + self._compute_failure_load(target, request, now),
                index,
            )
            for index, target in enumerate(pair)
        ]
        load, index = min(loads)
        return Choice(pair[index], tier, load)

    def _compute_failure_load(
        self, target: Target, request: RoutingRequest, now: float
    ) -> float:
        """Return the load added for request failures in a data centre."""
        if request.is_nested:
            return 0.0
        load = self.outcomes.compute_load(
            request.kind, target.member.data_centre, now
        )
        if not request.failed_data_centre:
            return load
        is_same_region = self._is_same_region(
            request.failed_data_centre, target.member.data_centre
        )
        if is_same_region:
            return load + FAILED_BEFORE_LOAD
        return load * FAILED_BEFORE_FACTOR

    def _is_same_region(self, data_centre: str, other: str) -> bool:
        region = self._regions.get(data_centre, data_centre)
        return region == self._regions.get(other, other)

    def _find_median_service_time(self, service: str, now: float) -> float:
        """Return the median service time of a service in seconds.

        :returns: 0 if fewer than three backend servers have reported one.
        """
        cached = self._median_service_times.get(service)
        if cached is not None and now - cached.computed_at < MEDIAN_CACHE_S:
            return cached.service_s
        times = sorted(
            target.service_s
            for target in self._targets.get(service, {}).values()
            if target.service_s > 0
        )
        median_s = times[len(times) // 2] if len(times) > 2 else 0.0
        self._median_service_times[service] = _CachedMedian(median_s, now)
        return median_s


def _prefer_nearer(
    nearer: Choice | None, farther: Choice | None, margin: float
) -> Choice | None:
    """Return the farther choice if its load is lower by the margin."""
    if nearer is None or farther is None:
        return nearer or farther
    return farther if farther.load + margin < nearer.load else nearer
