"""Backend servers that state how many requests a second they take."""

import asyncio
import unittest
from typing import Final

from merlintrail.lab.statement_rule import (
    LIMIT_NOTICE_S,
    compute_allowed,
    find_busiest_window,
)
from merlintrail.node.tests.notice_load import NoticeLoad, NoticeServer
from merlintrail.protocol import OUTCOME_HEADER
from merlintrail.testing import run_virtually

_OK: Final = 200
#: Largest number of nodes in a test, each with little traffic.
_NODES: Final = 40
#: Share of the calls that may reach a limited server's node in vain while
#: others have room.
_MAX_REFUSED_SHARE: Final = 0.05
#: Share of a limit that is used at least while more is asked for.
_MIN_USED_SHARE: Final = 0.8


class RateLimitTestCase(unittest.TestCase):
    """A fleet under load, and checks of what a limited server gets."""

    def check_limit(
        self, server: NoticeServer, rate_limit: float, since: float
    ) -> None:
        """Check the windows that begin when the limit binds."""
        times = [arrival.at for arrival in server.arrivals]
        busiest = find_busiest_window(times, since + LIMIT_NOTICE_S)
        self.assertLessEqual(busiest, compute_allowed(rate_limit))

    def check_use(
        self, server: NoticeServer, rate_limit: float, since: float
    ) -> None:
        """Check that a server gets most of what it takes."""
        now = asyncio.get_running_loop().time()
        self.assertGreaterEqual(
            server.count_since(since),
            _MIN_USED_SHARE * rate_limit * (now - since),
        )

    def check_refusals(self, load: NoticeLoad) -> None:
        """Check that what was refused never ran, and says when to return."""
        for _, _, answer in load.answers:
            if answer.status == _OK:
                continue
            headers = dict(answer.headers)
            self.assertEqual(headers[OUTCOME_HEADER], 'not-run')
            self.assertGreater(float(headers['retry-after']), 0)

    async def limit_servers(
        self, load: NoticeLoad, limited: int, kind: str = 'read'
    ) -> None:
        """Let some of the servers state 10 a second; they are asked for 40."""
        names = tuple(load.servers)[:limited]
        rate = 40.0 * len(load.servers)
        await load.run(2.0, rate, kind)
        since = asyncio.get_running_loop().time()
        load.state_limit('10', *names)
        await load.run(8.0, rate, kind)
        for name in names:
            self.check_limit(load.servers[name], 10.0, since)
            self.check_use(load.servers[name], 10.0, since + 1.0)
        await load.finish()
        self.check_refusals(load)


class LimitedServersTest(RateLimitTestCase):
    """Shares of the servers, sizes of the fleet and kinds of requests."""

    def test_one_some_all_servers(self) -> None:
        """The limit holds and is used however many servers state one."""
        for limited in (1, 2, 3):
            with self.subTest(limited):

                async def scenario(count: int = limited) -> None:
                    await self.limit_servers(NoticeLoad(3), count)

                run_virtually(scenario())

    def test_others_take_what_a_limited_server_does_not(self) -> None:
        """Callers notice nothing while the other servers have room."""

        async def scenario() -> None:
            load = NoticeLoad(3)
            load.state_limit('10', 'server-0')
            await load.run(6.0, 120.0)
            await load.finish()
            failed = [
                answer for _, _, answer in load.answers if answer.status != _OK
            ]
            self.assertEqual(failed, [])
            self.assertLessEqual(
                load.count_refused('rate-limited'),
                _MAX_REFUSED_SHARE * len(load.answers),
            )

        run_virtually(scenario())

    def test_many_nodes_with_little_traffic(self) -> None:
        """No node sees enough requests to know the rate by itself."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=_NODES - 1)
            await self.limit_servers(load, 1)

        run_virtually(scenario())

    def test_non_idempotent_requests(self) -> None:
        """Each runs once at most, and not at all if it is refused."""

        async def scenario() -> None:
            load = NoticeLoad(3)
            await self.limit_servers(load, 3, 'write')
            self.assertEqual(set(load.session.executions.values()), {1})
            succeeded = sum(
                answer.status == _OK for _, _, answer in load.answers
            )
            self.assertEqual(len(load.session.executions), succeeded)

        run_virtually(scenario())

    def test_entry_beside_the_server(self) -> None:
        """Requests that begin at the server's own node count as well."""

        async def scenario() -> None:
            load = NoticeLoad(1)
            await self.limit_servers(load, 1)

        run_virtually(scenario())

    def test_important_requests_first(self) -> None:
        """A limit is spent on what is most important."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=3)
            load.state_limit('10')
            await load.run(1.0, 40.0)
            vital = asyncio.create_task(load.run(6.0, 5.0, 'vital'))
            await load.run(6.0, 35.0)
            await vital
            await load.finish()
            vital_answers = [
                answer.status == _OK
                for _, kind, answer in load.answers
                if kind == 'vital'
            ]
            self.assertGreaterEqual(
                sum(vital_answers), 0.95 * len(vital_answers)
            )

        run_virtually(scenario())


class ChangingLimitTest(RateLimitTestCase):
    """Limits that are small, change, end or are no number."""

    def test_limit_below_one_a_second(self) -> None:
        """It is kept, and still used."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=9)
            server = load.servers['server-0']
            since = asyncio.get_running_loop().time()
            load.state_limit('0.5')
            await load.run(20.0, 40.0)
            self.check_limit(server, 0.5, since)
            self.assertGreaterEqual(server.count_since(since + 4.0), 6)

        run_virtually(scenario())

    def test_falling_limit(self) -> None:
        """Each lower limit binds in turn."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            for rate_limit in (20.0, 10.0, 4.0, 1.0):
                since = asyncio.get_running_loop().time()
                load.state_limit(str(rate_limit))
                await load.run(8.0, 100.0)
                for server in load.servers.values():
                    self.check_limit(server, rate_limit, since)

        run_virtually(scenario())

    def test_ended_limit(self) -> None:
        """A server gets its share again once it states no limit."""

        async def scenario() -> None:
            for text in ('10', '0.2', '0'):
                load = NoticeLoad(2, entries=4)
                load.state_limit(text, 'server-0')
                await load.run(12.0, 80.0)
                load.state_limit(None)
                await load.run(12.0, 80.0)
                since = asyncio.get_running_loop().time()
                await load.run(3.0, 80.0)
                self.check_use(load.servers['server-0'], 32.0, since)

        run_virtually(scenario())

    def test_values_that_are_no_number(self) -> None:
        """They neither set a limit nor end one."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=4)
            server = load.servers['server-0']
            for text in ('nan', '-1', '', 'inf', '1e9'):
                load.state_limit(text)
                await load.run(1.0, 40.0)
            self.check_use(server, 40.0, load.started_at)
            load.state_limit('5')
            since = asyncio.get_running_loop().time()
            await load.run(4.0, 40.0)
            for text in ('nan', '-1', '', 'inf', '1e9', 'none'):
                load.state_limit(text)
                await load.run(2.0, 40.0)
            self.check_limit(server, 5.0, since)

        run_virtually(scenario())


class DisturbedLimitTest(RateLimitTestCase):
    """Nodes that lose what they knew, or are cut off, around a limit."""

    def test_restart_and_a_value_that_is_no_number(self) -> None:
        """It does not end the limit that another node tells."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=1)
            load.state_limit('5')
            await load.send('read', 'entry-0')
            load.state_limit('nan')
            load.restart_node('server-0')
            await load.send('read', 'entry-0')
            gateway = load.session.nodes['server-0'].gateway
            self.assertEqual(gateway.gates['svc'].rate_limit, 5.0)

        run_virtually(scenario())

    def test_restarts_beside_the_server(self) -> None:
        """Other nodes that passed the limit on are still bound by it."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=9)
            load.entries = load.entries[1:]
            server = load.servers['server-0']
            load.state_limit('5')
            await load.run(4.0, 300.0)
            for _ in range(6):
                load.restart_node('server-0')
                await load.run(1.3, 300.0)
            self.check_limit(server, 5.0, load.started_at)

        run_virtually(scenario())

    def test_restarts_of_callers_nodes(self) -> None:
        """A node that lost the limit adds nothing to what the server gets."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=9)
            server = load.servers['server-0']
            load.state_limit('5')
            await load.run(3.0, 100.0)
            for name in load.entries[1:]:
                load.restart_node(name)
                await load.run(0.7, 100.0)
            self.check_limit(server, 5.0, load.started_at)

        run_virtually(scenario())

    def test_cut_off_node(self) -> None:
        """Requests that waited for the server's node do not come at once."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=9)
            load.entries = load.entries[1:]
            server = load.servers['server-0']
            load.state_limit('5')
            await load.run(4.0, 100.0)
            load.session.network.partitions['server-0'] = 1
            await load.run(2.0, 100.0)
            load.session.network.partitions.clear()
            await load.run(4.0, 100.0)
            self.check_limit(server, 5.0, load.started_at)
            since = load.started_at + 8.0
            self.assertGreater(server.count_since(since), 5)

        run_virtually(scenario())

    def test_health_polls_do_not_end_a_limit(self) -> None:
        """An endpoint need not repeat what the answers to calls state."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=4)
            server = load.servers['server-0']
            load.announce('server-0', 2, health_path='/health')
            load.state_limit('5')
            await load.run(2.0, 40.0)
            await load.finish()
            gateway = load.session.nodes['server-0'].gateway
            server.rate_limit = None
            for _ in range(5):
                await gateway.refresh_hints()
                await asyncio.sleep(1.0)
            limit = gateway.gates['svc'].admission.rate_limit
            self.assertEqual(limit.rate, 5.0)

        run_virtually(scenario())

    def test_health_polls_count(self) -> None:
        """What the node itself asks of a server is part of the limit."""

        async def scenario() -> None:
            load = NoticeLoad(1, entries=4)
            server = load.servers['server-0']
            load.announce('server-0', 2, health_path='/health')
            load.state_limit('0')
            await load.run(2.0, 40.0)
            gateway = load.session.nodes['server-0'].gateway
            for _ in range(20):
                await gateway.refresh_hints()
                await load.run(0.5, 40.0)
            self.check_limit(server, 0.0, load.started_at)

        run_virtually(scenario())
