"""Load on backend servers that state a rate limit or that they leave."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from merlintrail.node.backend._backend import Announcement
from merlintrail.node.tests.session import Session, build_document, build_kind
from merlintrail.protocol import (
    IDEMPOTENCY_KEY_HEADER,
    LEAVING_HEADER,
    RATE_LIMIT_HEADER,
)
from merlintrail.transport import HttpRequest, HttpResponse

#: Seconds between two exchanges of the member records.
GOSSIP_INTERVAL_S: Final = 0.25
#: Seconds for which a backend server works on a call.
WORK_S: Final = 0.05
_OK: Final = 200


class Arrival(NamedTuple):
    """A call that reached a backend server."""

    at: float
    #: Node at which the request of the call began.
    origin: str


class NoticeServer:
    """A backend server that states what the test sets."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        #: Texts of the headers, ``None`` for no header.
        self.rate_limit: str | None = None
        self.leaving: str | None = None
        self.arrivals: list[Arrival] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Work on a call and answer it with the statements of that time."""
        origin = request.headers.get('x-origin', '')
        self.arrivals.append(Arrival(self._loop.time(), origin))
        await asyncio.sleep(WORK_S)
        stated = {
            RATE_LIMIT_HEADER: self.rate_limit,
            LEAVING_HEADER: self.leaving,
        }
        headers = [
            (name, text) for name, text in stated.items() if text is not None
        ]
        return HttpResponse(_OK, headers, request.body)

    def count_since(self, since: float) -> int:
        """Count the calls that arrived later than a loop time."""
        return sum(1 for arrival in self.arrivals if arrival.at > since)


class CallerAnswer(NamedTuple):
    """An answer to a request, as its caller saw it."""

    sent_at: float
    kind: str
    answer: HttpResponse


class NoticeLoad:
    """Nodes with servers of one service, and callers at all nodes."""

    def __init__(self, servers: int, entries: int = 0, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self.started_at = self._loop.time()
        document = build_document(
            {
                'svc': [
                    build_kind('read', deadline_ms=2000),
                    build_kind('write', idempotent=False, deadline_ms=2000),
                    build_kind('vital', importance='critical'),
                ]
            }
        )
        names = [f'server-{number}' for number in range(servers)]
        others = [f'entry-{number}' for number in range(entries)]
        self.session = Session(document, (*names, *others))
        self.servers: dict[str, NoticeServer] = {}
        for name in names:
            server = NoticeServer()
            self.servers[name] = server
            self.session.add_backend(name, 'svc', server.handle, 32)
            self.announce(name)
        self.session.share_members()
        #: Nodes at which requests begin.
        self.entries: Sequence[str] = (*names, *others)
        self.answers: list[CallerAnswer] = []
        self._tasks: set[asyncio.Task[HttpResponse]] = set()

    def state_limit(self, text: str | None, *names: str) -> None:
        """Let servers, by default all, state a limit from now on."""
        for name in names or tuple(self.servers):
            self.servers[name].rate_limit = text

    def announce(self, name: str, sequence: int = 1, **changes: object) -> None:
        """Let a server announce itself to its node."""
        announcement = Announcement(
            'svc',
            f'{name}:svc',
            32,
            ttl_s=1.0e6,
            identity=f'i-{name}',
            started_at_ms=1000,
            sequence=sequence,
        )
        self.session.nodes[name].gateway.registry.announce(
            announcement._replace(**changes)  # type: ignore[arg-type]
        )

    def restart_node(self, name: str) -> None:
        """Replace a node by a new process that knows nothing."""
        self.session.restart_node(name)
        self.announce(name)
        self.session.share_members()

    async def run(
        self, seconds: float, rate: float, kind: str = 'read'
    ) -> None:
        """Send requests at random times to random nodes."""
        end_at = self._loop.time() + seconds
        next_gossip_at = self._loop.time()
        while self._loop.time() < end_at:
            await asyncio.sleep(self._rng.expovariate(rate))
            if self._loop.time() >= next_gossip_at:
                self.session.share_members()
                next_gossip_at += GOSSIP_INTERVAL_S
            task = self._loop.create_task(self.send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def send(self, kind: str, name: str | None = None) -> HttpResponse:
        """Send one request, by default to a random node."""
        origin = name or self._rng.choice(self.entries)
        sent_at = self._loop.time()
        headers = {'x-origin': origin}
        body = str(self._rng.getrandbits(64)).encode()
        answer = await self.session.nodes[origin].local_service.handle(
            HttpRequest('POST', f'/svc/{kind}', headers, body, '1.1.1.1')
        )
        self.answers.append(CallerAnswer(sent_at, kind, answer))
        return answer

    async def send_keyed(self, key: str, name: str) -> HttpResponse:
        """Send a non-idempotent request with a key to a node."""
        return await self.session.nodes[name].local_service.handle(
            HttpRequest(
                'POST',
                '/svc/write',
                {IDEMPOTENCY_KEY_HEADER: key},
                key.encode(),
                '1.1.1.1',
            )
        )

    async def pass_statement_on(self, entry: str, server: str) -> None:
        """Let a node send a request to each server, and pass on what they state.

        The node of the one that makes a statement has forgotten it before.
        """
        self.restart_node(server)
        arrivals = len(self.servers[server].arrivals)
        await asyncio.gather(*(self.send('read', entry) for _ in self.servers))
        assert len(self.servers[server].arrivals) > arrivals

    def count_refused(self, reason: str) -> int:
        """Count the calls that the nodes of servers refused for a reason."""
        label = f'merlintrail_reason="{reason}"'
        count = 0
        for node in self.session.nodes.values():
            for line in node.metrics.render_text().decode().splitlines():
                if line.startswith('merlintrail_calls') and label in line:
                    count += int(float(line.rpartition(' ')[2]))
        return count

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)
