"""Nearest first, levels, ejection with a floor, slow start, links."""

import random
import unittest

from merlintrail.protocol import CallReport
from merlintrail.state import (
    Choice,
    LinkAllowance,
    Member,
    MemberStatus,
    NodeLocation,
    NoTarget,
    RoutingRequest,
    RoutingTable,
    ServiceOffer,
    Target,
    Tier,
)

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
_PAIR = frozenset(('a', 'b'))


def _build_member(node_id: str, data_centre: str, version: int = 1) -> Member:
    return Member(
        node_id,
        1,
        version,
        MemberStatus.ALIVE,
        data_centre,
        '',
        '',
        (ServiceOffer('svc', 10),),
    )


def _build_report(level: int = 0, in_flight: int = 0) -> CallReport:
    return CallReport(
        'call', 'completed', '', 0, level, {}, in_flight, 1.0, False
    )


class RoutingTest(unittest.TestCase):
    """Choices of one node in data centre a1."""

    def setUp(self) -> None:
        self.now = 100.0
        self.table = RoutingTable(
            NodeLocation('self', 'a1'), lambda: self.now, random.Random(1)
        )
        self.table.update_regions(_REGIONS)
        for node_id, data_centre in (
            ('near', 'a1'),
            ('region', 'a2'),
            ('remote', 'b1'),
        ):
            self.table.update_member(None, _build_member(node_id, data_centre))

    def choose(self, priority: int, *tried: str) -> Choice | NoTarget:
        """Choose for a call."""
        return self.table.choose(RoutingRequest('svc', priority), tried)

    def find(self, node_id: str) -> Target:
        """Return the target at a node."""
        return next(
            target
            for target in self.table.list_targets('svc')
            if target.member.node_id == node_id
        )

    def assert_chosen(self, node_id: str, choice: Choice | NoTarget) -> None:
        """Check that a node was chosen."""
        assert isinstance(choice, Choice), choice
        self.assertEqual(choice.target.member.node_id, node_id)

    def test_nearest_first(self) -> None:
        """Own data centre, region, other region."""
        self.assert_chosen('near', self.choose(50))
        self.assert_chosen('region', self.choose(50, 'near'))
        self.assert_chosen('remote', self.choose(50, 'near', 'region'))

    def test_spills_into_the_region_when_loaded(self) -> None:
        """A full server in the own data centre is passed over."""
        self.find('near').record_report(_build_report(0, 20), 0.01, self.now)
        self.assert_chosen('region', self.choose(50))

    def test_shedding_servers_are_avoided_by_priority(self) -> None:
        """The level counts for lesser calls only, and falls back."""
        for node_id in ('near', 'region', 'remote'):
            self.find(node_id).record_report(_build_report(60), 0.01, self.now)
        refused = self.choose(50)
        assert isinstance(refused, NoTarget)
        self.assertTrue(refused.is_shedding)
        self.assertEqual(refused.level, 60)
        self.assert_chosen('near', self.choose(60))
        self.now += 2
        self.assert_chosen('near', self.choose(0))

    def test_ejection_keeps_a_floor(self) -> None:
        """Never more than half of the servers are out."""
        ejected = 0.0
        for node_id in ('near', 'region', 'remote'):
            for _ in range(3):
                pause_s = self.table.record_failure(self.find(node_id))
                ejected += 1 if pause_s else 0
        self.assertEqual(ejected, 1)
        self.assert_chosen('region', self.choose(50))
        self.now += 1.1
        self.assert_chosen('near', self.choose(50))

    def test_cold_server_gets_a_small_share(self) -> None:
        """A new incarnation starts slowly once the table is settled."""
        self.table.has_initial_members = True
        colder = _build_member('near', 'a1', 2)._replace(incarnation=2)
        self.table.update_member(None, colder)
        cold_load = self.find('near').compute_load(self.now, 10.0)
        self.now += 10
        warm_load = self.find('near').compute_load(self.now, 10.0)
        self.assertAlmostEqual(cold_load, warm_load * 10)

    def test_draining_server_is_not_chosen(self) -> None:
        """Neither by its report nor by its membership."""
        draining = _build_report()._replace(is_draining=True)
        self.find('near').record_report(draining, 0.01, self.now)
        self.assert_chosen('region', self.choose(50))
        member = _build_member('region', 'a2', 2)
        self.table.update_member(
            None, member._replace(status=MemberStatus.DRAINING)
        )
        self.assert_chosen('remote', self.choose(50))

    def test_link_allowance_closes_the_way(self) -> None:
        """No call crosses once the bytes are used up."""
        self.table.links.update({_PAIR: 1000.0}, nodes=1)
        self.assert_chosen('remote', self.choose(50, 'near', 'region'))
        self.table.links.spend(_PAIR, self.now, 5000)
        refused = self.choose(50, 'near', 'region')
        assert isinstance(refused, NoTarget)
        self.assertIn('allowance', refused.reason)
        self.now += 5
        choice = self.choose(50, 'near', 'region')
        assert isinstance(choice, Choice)
        self.assertEqual(choice.tier, Tier.REMOTE)

    def test_link_share_is_divided_among_nodes(self) -> None:
        """Twice the nodes, half the bytes each."""
        links = LinkAllowance()
        links.update({_PAIR: 1000.0}, nodes=10)
        links.spend(_PAIR, 0.0, 150)
        self.assertFalse(links.permits(_PAIR, 0.0))
        self.assertTrue(links.permits(_PAIR, 1.0))
