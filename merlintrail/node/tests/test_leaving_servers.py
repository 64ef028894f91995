"""Backend servers that state in their answers that they are leaving."""

import asyncio
import unittest
from typing import Final

from merlintrail.coordination import find_slot_owner
from merlintrail.node.tests.notice_load import NoticeLoad
from merlintrail.protocol import OUTCOME_HEADER, Outcome
from merlintrail.testing import run_virtually

_OK: Final = 200
#: Seconds after its first statement in which calls may still arrive.
_NOTICE_S: Final = 0.2
_RATE: Final = 60.0


class LeavingServerTest(unittest.TestCase):
    """One server of two leaves; callers at all nodes."""

    async def begin_leaving(self, load: NoticeLoad) -> None:
        """Let the first server state that it leaves, until this is known."""
        await load.run(1.0, _RATE)
        load.servers['server-0'].leaving = '1'
        await load.run(_NOTICE_S, _RATE)

    def test_no_further_calls(self) -> None:
        """Others take over, and no request fails."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            await self.begin_leaving(load)
            since = asyncio.get_running_loop().time()
            await load.run(4.0, _RATE)
            await load.finish()
            self.assertEqual(load.servers['server-0'].count_since(since), 0)
            self.assertEqual(
                {answer.status for _, _, answer in load.answers}, {_OK}
            )

        run_virtually(scenario())

    def test_late_announcement(self) -> None:
        """An announcement that it is ready does not undo the statement."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            await self.begin_leaving(load)
            since = asyncio.get_running_loop().time()
            load.announce('server-0', 2)
            await load.run(2.0, _RATE)
            self.assertEqual(load.servers['server-0'].count_since(since), 0)

        run_virtually(scenario())

    def test_restart_beside_the_server(self) -> None:
        """Nodes that passed the statement on send it nothing."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            load.entries = load.entries[1:]
            await load.run(1.0, _RATE)
            await load.finish()
            load.servers['server-0'].leaving = '1'
            for name in load.entries:
                await load.pass_statement_on(name, 'server-0')
            since = asyncio.get_running_loop().time()
            load.restart_node('server-0')
            await load.run(2.0, _RATE)
            self.assertEqual(load.servers['server-0'].count_since(since), 0)

        run_virtually(scenario())

    def test_restart_of_a_keyed_requests_owner(self) -> None:
        """The owner of a key beside the server learns what others passed on."""

        async def scenario() -> None:
            load = NoticeLoad(2)
            first = next(iter(load.session.nodes.values()))
            configuration = first.holder.current
            assert configuration is not None
            owner = find_slot_owner(first.table, configuration, 0)
            assert owner is not None
            other = next(name for name in load.entries if name != owner.node_id)
            server = load.servers[owner.node_id]
            server.leaving = '1'
            await load.pass_statement_on(other, owner.node_id)
            since = asyncio.get_running_loop().time()
            load.restart_node(owner.node_id)
            await asyncio.gather(
                *(load.send_keyed(f'key-{key}', other) for key in range(8))
            )
            self.assertEqual(server.count_since(since), 0)

        run_virtually(scenario())

    def test_keyed_request_by_another_owner(self) -> None:
        """The owner elsewhere has passed on no statement of the server."""

        async def scenario() -> None:
            load = NoticeLoad(3)
            first = next(iter(load.session.nodes.values()))
            configuration = first.holder.current
            assert configuration is not None
            owner = find_slot_owner(first.table, configuration, 0)
            assert owner is not None
            entry, leaving = (
                name for name in load.entries if name != owner.node_id
            )
            server = load.servers[leaving]
            server.leaving = '1'
            await load.pass_statement_on(entry, leaving)
            since = asyncio.get_running_loop().time()
            load.restart_node(leaving)
            await asyncio.gather(
                *(load.send_keyed(f'key-{key}', entry) for key in range(12))
            )
            self.assertEqual(server.count_since(since), 0)

        run_virtually(scenario())

    def test_restart_after_a_departure(self) -> None:
        """An announcement delayed behind departure and restart is too late."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            load.entries = load.entries[1:]
            await load.run(1.0, _RATE)
            await load.finish()
            registry = load.session.nodes['server-0'].gateway.registry
            registry.record_departure('i-server-0', 1000)
            load.session.share_members()
            await load.run(1.0, _RATE)
            since = asyncio.get_running_loop().time()
            load.restart_node('server-0')
            await load.run(2.0, _RATE)
            self.assertEqual(load.servers['server-0'].count_since(since), 0)

        run_virtually(scenario())

    def test_own_requests_after_a_restart(self) -> None:
        """A restarted node sends its callers' requests to the server it let go.

        Others know of the departure; a late announcement comes before or
        after the node joins them.
        """
        for is_announced_first in (True, False):
            with self.subTest(is_announced_first=is_announced_first):
                run_virtually(self.restart_and_send(is_announced_first))

    async def restart_and_send(self, is_announced_first: bool) -> None:
        """Send requests to the node beside a server that has left."""
        load = NoticeLoad(2, entries=2)
        registry = load.session.nodes['server-0'].gateway.registry
        registry.record_departure('i-server-0', 1000)
        load.session.share_members()
        await asyncio.sleep(1)
        load.session.restart_node('server-0')
        node = load.session.nodes['server-0']
        if is_announced_first:
            load.announce('server-0')
        self.assertTrue(await node.heartbeats.join('server-1:2'))
        if not is_announced_first:
            load.announce('server-0')
        load.session.share_members()
        load.entries = ('server-0',)
        await load.run(2.0, _RATE, 'write')
        await load.finish()
        self.assertFalse(load.servers['server-0'].arrivals)
        self.assertEqual(
            {answer.status for _, _, answer in load.answers}, {_OK}
        )

    def test_new_run_under_the_same_identity(self) -> None:
        """A later run has said nothing yet and gets calls."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            await self.begin_leaving(load)
            load.servers['server-0'].leaving = None
            since = asyncio.get_running_loop().time()
            load.announce('server-0', started_at_ms=2000)
            await load.run(2.0, _RATE)
            self.assertGreater(load.servers['server-0'].count_since(since), 20)

        run_virtually(scenario())

    def test_all_servers_leaving(self) -> None:
        """Requests are refused as not run, and told when to return."""

        async def scenario() -> None:
            load = NoticeLoad(2, entries=4)
            for server in load.servers.values():
                server.leaving = '1'
            await load.run(1.0, _RATE)
            answer = await load.send('write')
            headers = dict(answer.headers)
            self.assertEqual(headers[OUTCOME_HEADER], Outcome.NOT_RUN.value)
            self.assertGreater(float(headers['retry-after']), 0)

        run_virtually(scenario())
