"""Choice of a backend server for a call."""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from merlintrail.state._data_centre_outcomes import DataCentreOutcomes
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
from merlintrail.state._shedding import is_shed
from merlintrail.state._targets import Target

#: Load that the nearest backend servers count as having when none of them
#: can be chosen.
ABSENT_LOAD: Final = 1.5
#: Seconds for which the usual service time of a service is not looked up
#: again.
USUAL_TIME_MEMORY_S: Final = 0.5
#: Largest share of a service's backend servers that may be ejected.
MAX_EJECTED_SHARE: Final = 0.5


class _UsualTime(NamedTuple):
    """Median service time of a service, and when it was found."""

    service_s: float
    found_at: float


class RoutingTable:
    """Backend servers by service, kept up to date from the members."""

    def __init__(
        self,
        place: NodeLocation,
        clock: Callable[[], float],
        source: random.Random,
    ) -> None:
        self._place = place
        self._clock = clock
        self._source = source
        self._targets: dict[str, dict[str, Target]] = {}
        self._regions: Mapping[str, str] = {}
        #: Backend servers of each service in the own data centre.
        self._near: dict[str, list[Target]] = {}
        self._usual_times: dict[str, _UsualTime] = {}
        #: Shedding levels on the way of each request kind.
        self.downstream_levels = DownstreamLevels()
        #: How requests fare in each data centre.
        self.outcomes = DataCentreOutcomes()
        #: Allowance of bytes between regions.
        self.links = LinkAllowance()
        #: Whether members that appear are new rather than newly learnt.
        self.has_initial_members = False

    def update_regions(self, regions: Mapping[str, str]) -> None:
        """Set the region of each data centre."""
        self._regions = regions

    def update_member(self, known: Member | None, member: Member) -> None:
        """Take a change of a member."""
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
        """Tell whether any backend server of the service is known."""
        return bool(self._targets.get(service))

    def choose(
        self, demand: RoutingRequest, tried: Collection[str]
    ) -> Choice | NoTarget:
        """Choose a backend server.

        The own data centre first; another one of the region when that has
        clearly more room; another region only when neither can take the
        call and the link's allowance permits.

        :param tried: identifiers of nodes that were tried already.
        """
        now = self._clock()
        near = self._choose_near(demand, tried, now)
        if near is not None:
            return near
        targets = self._targets.get(demand.service, {}).values()
        available = [
            target
            for target in targets
            if target.is_available(now) and target.member.node_id not in tried
        ]
        if not available:
            return self._explain_absence(targets, now)
        willing = [
            target
            for target in available
            if self._is_willing(target, demand, now)
        ]
        if not willing:
            return NoTarget(
                is_shedding=True,
                level=min(
                    self._read_level(target, demand, now)
                    for target in available
                ),
                reason='every server sheds',
            )
        return self._choose_nearest(willing, demand, now)

    def record_failure(self, target: Target) -> float:
        """Count a failure; eject the server if the floor permits.

        :returns: seconds of ejection, 0 for none.
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
        """Return the distance of a member."""
        if member.data_centre == self._place.data_centre:
            return Tier.DATA_CENTRE
        own_region = self._regions.get(self._place.data_centre)
        if self._regions.get(member.data_centre) == own_region:
            return Tier.REGION
        return Tier.REMOTE

    def find_region_pair(self, member: Member) -> frozenset[str]:
        """Return the regions of this node and of a member."""
        return frozenset(
            (
                self._regions.get(self._place.data_centre, ''),
                self._regions.get(member.data_centre, ''),
            )
        )

    def _update_offer(self, member: Member, offer: ServiceOffer) -> None:
        targets = self._targets.setdefault(offer.service, {})
        target = targets.get(member.node_id)
        if target is None or target.member.incarnation != member.incarnation:
            warm_since = self._clock() if self.has_initial_members else 0.0
            target = Target(member, offer, warm_since)
            targets[member.node_id] = target
        elif offer.is_ready and not target.offer.is_ready:
            target.warm_since = self._clock()
        target.member = member
        target.offer = offer
        target.is_draining = member.status != MemberStatus.ALIVE

    def _is_willing(
        self, target: Target, demand: RoutingRequest, now: float
    ) -> bool:
        """Tell whether a call is not shed on its way through a server."""
        if demand.is_nested:
            return True
        level = self._read_level(target, demand, now)
        return not is_shed(demand.priority, level)

    def _read_level(
        self, target: Target, demand: RoutingRequest, now: float
    ) -> int:
        """Return the highest level that a call meets through a server."""
        below = self.downstream_levels.read(
            demand.kind, target.member.data_centre, now
        )
        return max(target.read_level(now), below)

    def _choose_near(
        self, demand: RoutingRequest, tried: Collection[str], now: float
    ) -> Choice | None:
        """Choose in the own data centre without looking at all servers.

        :returns: ``None`` when two random ones do not settle it.
        """
        near = self._near.get(demand.service)
        if near is None:
            near = [
                target
                for target in self._targets.get(demand.service, {}).values()
                if target.member.data_centre == self._place.data_centre
            ]
            self._near[demand.service] = near
        choice = self._choose_of_two(near, Tier.DATA_CENTRE, demand, now)
        if choice is None or choice.load > demand.rule.near_load:
            return None
        target = choice.target
        is_free = (
            target.is_available(now) and target.member.node_id not in tried
        )
        if is_free and self._is_willing(target, demand, now):
            return choice
        return None

    def _explain_absence(
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
        self, targets: Sequence[Target], demand: RoutingRequest, now: float
    ) -> Choice | NoTarget:
        by_tier: dict[Tier, list[Target]] = {tier: [] for tier in Tier}
        for target in targets:
            by_tier[self.find_tier(target.member)].append(target)
        near = self._choose_of_two(
            by_tier[Tier.DATA_CENTRE], Tier.DATA_CENTRE, demand, now
        )
        rule = demand.rule
        if near is not None and near.load <= rule.near_load:
            return near
        region = self._choose_of_two(
            by_tier[Tier.REGION], Tier.REGION, demand, now
        )
        best = _prefer_nearer(near, region, rule.region_margin)
        if best is not None and best.load <= rule.near_load:
            return best
        remote = self._choose_remote(by_tier[Tier.REMOTE], demand, now)
        if isinstance(remote, NoTarget):
            return best or remote
        if best is None and self._has_region_server(demand.service, now):
            if remote.load + rule.remote_margin > ABSENT_LOAD:
                return NoTarget(
                    is_shedding=True, level=0, reason='no room in the region'
                )
        return _prefer_nearer(best, remote, rule.remote_margin) or remote

    def _has_region_server(self, service: str, now: float) -> bool:
        return any(
            target.is_available(now)
            and self.find_tier(target.member) != Tier.REMOTE
            for target in self._targets.get(service, {}).values()
        )

    def _choose_remote(
        self, targets: Sequence[Target], demand: RoutingRequest, now: float
    ) -> Choice | NoTarget:
        permitted = [
            target
            for target in targets
            if self.links.permits(self.find_region_pair(target.member), now)
        ]
        choice = self._choose_of_two(permitted, Tier.REMOTE, demand, now)
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
        demand: RoutingRequest,
        now: float,
    ) -> Choice | None:
        if not targets:
            return None
        pair = targets if len(targets) <= 2 else self._source.sample(targets, 2)
        usual_s = self._find_usual_service_time(demand.service, now)
        loads = [
            (
                target.compute_load(now, demand.warmup_s, usual_s)
                + self._find_place_load(target, demand, now),
                index,
            )
            for index, target in enumerate(pair)
        ]
        load, index = min(loads)
        return Choice(pair[index], tier, load)

    def _find_place_load(
        self, target: Target, demand: RoutingRequest, now: float
    ) -> float:
        """Return the load that failing requests in a place stand for."""
        if demand.is_nested:
            return 0.0
        return self.outcomes.compute_load(
            demand.kind, target.member.data_centre, now
        )

    def _find_usual_service_time(self, service: str, now: float) -> float:
        """Return the median service time of a service's backend servers."""
        known = self._usual_times.get(service)
        if known is not None and now - known.found_at < USUAL_TIME_MEMORY_S:
            return known.service_s
        times = sorted(
            target.service_s
            for target in self._targets.get(service, {}).values()
            if target.service_s > 0
        )
        usual_s = times[len(times) // 2] if len(times) > 2 else 0.0
        self._usual_times[service] = _UsualTime(usual_s, now)
        return usual_s


def _prefer_nearer(
    nearer: Choice | None, farther: Choice | None, margin: float
) -> Choice | None:
    """Return the nearer choice unless the farther has clearly more room."""
    if nearer is None or farther is None:
        return nearer or farther
    return farther if farther.load + margin < nearer.load else nearer
