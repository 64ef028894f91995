"""Tests of target selection, ejection, warm-up and bandwidth limits."""

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
    """Target selection at a node in data centre ``a1``."""

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
        """Choose a target for a call of a priority."""
        return self.table.choose(RoutingRequest('svc', priority), tried)

    def find(self, node_id: str) -> Target:
        """Return the target of a node."""
        return next(
            target
            for target in self.table.list_targets('svc')
            if target.member.node_id == node_id
        )

    def assert_chosen(self, node_id: str, choice: Choice | NoTarget) -> None:
        """Assert that a choice is the target of a node."""
        assert isinstance(choice, Choice), choice
        self.assertEqual(choice.target.member.node_id, node_id)

    def test_nearest_tier_is_chosen(self) -> None:
        """Own data centre, then its region, then another region."""
        self.assert_chosen('near', self.choose(50))
        self.assert_chosen('region', self.choose(50, 'near'))
        self.assert_chosen('remote', self.choose(50, 'near', 'region'))

    def test_nested_call_refused_in_its_region(self) -> None:
        """It goes to another region that has room, however large it is.

        Its region has taken none of its attempts, and the work of its whole
        request would be wasted.
        """
        for in_flight in (0, 8):
            with self.subTest(in_flight=in_flight):
                self.find('remote').record_report(
                    _build_report(0, in_flight), 0.01, self.now
                )
                request = RoutingRequest('svc', 50, is_nested=True, size=6000.0)
                choice = self.table.choose(request, ('near', 'region'))
                self.assert_chosen('remote', choice)

    def test_request_refused_in_its_region(self) -> None:
        """Its bytes count: nothing is lost yet, and the caller comes back."""
        self.find('remote').record_report(_build_report(0, 4), 0.01, self.now)
        for size, is_sent in ((500.0, True), (8000.0, False)):
            with self.subTest(size=size):
                request = RoutingRequest('svc', 50, size=size)
                choice = self.table.choose(request, ('near', 'region'))
                self.assertEqual(isinstance(choice, Choice), is_sent)

    def test_refused_everywhere(self) -> None:
        """No call goes to another region whose servers are full too."""
        for is_nested in (False, True):
            with self.subTest(is_nested=is_nested):
                self.find('remote').record_report(
                    _build_report(0, 20), 0.01, self.now
                )
                request = RoutingRequest('svc', 50, is_nested=is_nested)
                choice = self.table.choose(request, ('near', 'region'))
                assert isinstance(choice, NoTarget), choice
                self.assertTrue(choice.is_shedding)

    def test_retry_of_failed_request(self) -> None:
        """It leaves the region where the request failed, if there is room."""
        request = RoutingRequest(
            'svc', 50, size=6000.0, failed_data_centre='a2'
        )
        self.assert_chosen('remote', self.table.choose(request, ()))
        self.find('remote').record_report(_build_report(0, 20), 0.01, self.now)
        self.assert_chosen('near', self.table.choose(request, ()))

    def test_retry_where_requests_fail_everywhere(self) -> None:
        """It stays near, as an overload of all regions fails it anyway."""
        for data_centre in ('a1', 'a2', 'b1'):
            for number in range(30):
                self.table.outcomes.record(
                    'kind', data_centre, has_failed=number % 2 == 0, now=100.0
                )
        request = RoutingRequest(
            'svc', 50, kind='kind', size=6000.0, failed_data_centre='a2'
        )
        choice = self.table.choose(request, ())
        assert isinstance(choice, Choice), choice
        self.assertNotEqual(choice.target.member.node_id, 'remote')

    def test_retry_of_request_that_failed_elsewhere(self) -> None:
        """The nearest server takes it, as it does any other request."""
        request = RoutingRequest('svc', 50, failed_data_centre='b1')
        self.assert_chosen('near', self.table.choose(request, ()))

    def test_loaded_data_centre_spills_into_the_region(self) -> None:
        """A full server in the own data centre is not chosen."""
        self.find('near').record_report(_build_report(0, 20), 0.01, self.now)
        self.assert_chosen('region', self.choose(50))

    def test_shedding_servers_are_avoided_by_priority(self) -> None:
        """The level applies to lower priorities only and decays."""
        for node_id in ('near', 'region', 'remote'):
            self.find(node_id).record_report(_build_report(60), 0.01, self.now)
        refused = self.choose(50)
        assert isinstance(refused, NoTarget)
        self.assertTrue(refused.is_shedding)
        self.assertEqual(refused.level, 60)
        self.assert_chosen('near', self.choose(60))
        self.now += 2
        self.assert_chosen('near', self.choose(0))

    def test_share_of_ejected_servers_is_limited(self) -> None:
        """At most half of the servers are ejected at a time."""
        ejections = 0.0
        for node_id in ('near', 'region', 'remote'):
            for _ in range(3):
                duration_s = self.table.record_failure(self.find(node_id))
                ejections += 1 if duration_s else 0
        self.assertEqual(ejections, 1)
        self.assert_chosen('region', self.choose(50))
        self.now += 1.1
        self.assert_chosen('near', self.choose(50))

    def test_cold_server_gets_a_small_share(self) -> None:
        """A new incarnation is warmed up once the initial members are set."""
        self.table.has_initial_members = True
        restarted = _build_member('near', 'a1', 2)._replace(incarnation=2)
        self.table.update_member(None, restarted)
        cold_load = self.find('near').compute_load(self.now, 10.0)
        self.now += 10
        warm_load = self.find('near').compute_load(self.now, 10.0)
        self.assertAlmostEqual(cold_load, warm_load * 10)

    def test_draining_server_is_not_chosen(self) -> None:
        """A call report or the membership can show that it is draining."""
        draining = _build_report()._replace(is_draining=True)
        self.find('near').record_report(draining, 0.01, self.now)
        self.assert_chosen('region', self.choose(50))
        member = _build_member('region', 'a2', 2)
        self.table.update_member(
            None, member._replace(status=MemberStatus.DRAINING)
        )
        self.assert_chosen('remote', self.choose(50))

    def test_exhausted_link_allowance_refuses_calls(self) -> None:
        """No call goes to another region until the bucket is refilled."""
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

    def test_link_rate_is_divided_among_nodes(self) -> None:
        """Each of ten nodes may send a tenth of the rate."""
        links = LinkAllowance()
        links.update({_PAIR: 1000.0}, nodes=10)
        links.spend(_PAIR, 0.0, 150)
        self.assertFalse(links.permits(_PAIR, 0.0))
        self.assertTrue(links.permits(_PAIR, 1.0))
