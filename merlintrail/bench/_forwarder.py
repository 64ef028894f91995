"""Forwarder without overload control, the baseline of overload benchmarks.

It takes the place of a node. Calls go to the servers of a service in
round-robin order, and a failed call is retried up to three times at each hop.
"""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import orjson
import uvloop
from absl import app, flags

from merlintrail.node import split_host_port
from merlintrail.protocol import (
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    OUTCOME_HEADER,
    encode_json,
)
from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    create_pool,
    start_server,
)

_PLAN: Final = flags.DEFINE_string(
    'plan', '{}', 'Plan of the forwarder as JSON.'
)
#: Maximum number of retries of a call at each hop.
MAX_RETRIES: Final = 3
#: Timeout of a call without a deadline.
DEFAULT_TIMEOUT_S: Final = 2.0
_MIN_FAILURE_STATUS: Final = 500
_MS_PER_S: Final = 1000


class ForwarderPlan(NamedTuple):
    """Addresses of a forwarder and its peers, passed to its process as JSON."""

    call_address: str
    peer_address: str
    backend_address: str
    #: Peer addresses by service.
    table: Mapping[str, Sequence[str]]


class Forwarder:
    """Forwards calls without overload control."""

    def __init__(self, plan: ForwarderPlan) -> None:
        self._plan = plan
        self._pool = create_pool()
        self._round_robin = {
            service: itertools.cycle(addresses)
            for service, addresses in plan.table.items()
        }
        self._retries = 0

    async def handle_call(self, request: HttpRequest) -> HttpResponse:
        """Forward a call from a caller or from the backend server.

        ``/-/retries`` returns the number of retries, any other path under
        ``/-/`` an empty object.
        """
        if request.target == '/-/retries':
            return HttpResponse(200, (), encode_json(self._retries))
        if request.target.startswith('/-/'):
            return HttpResponse(200, (), b'{}')
        _, service, rest = request.target.split('/', 2)
        answer = HttpResponse(503, (), b'')
        for attempt in range(MAX_RETRIES + 1):
            self._retries += 1 if attempt else 0
            answer = await self._send(
                next(self._round_robin[service]), f'/{rest}', request
            )
            if answer.status < _MIN_FAILURE_STATUS:
                break
        return answer

    async def handle_peer(self, request: HttpRequest) -> HttpResponse:
        """Forward a call from another forwarder to the backend server."""
        return await self._send(
            self._plan.backend_address, request.target, request
        )

    async def _send(
        self, address: str, target: str, request: HttpRequest
    ) -> HttpResponse:
        headers = [
            (name, text)
            for name, text in request.headers.items()
            if name not in HOP_BY_HOP_HEADERS
        ]
        deadline_ms = request.headers.get(DEADLINE_HEADER)
        timeout_s = DEFAULT_TIMEOUT_S
        if deadline_ms is not None:
            timeout_s = float(deadline_ms) / _MS_PER_S
        answer = await self._pool.exchange(
            address,
            request.method,
            target,
            headers,
            request.body,
            timeout_s=timeout_s,
        )
        if isinstance(answer, HttpResponse):
            return HttpResponse(answer.status, (), answer.body)
        return HttpResponse(504, ((OUTCOME_HEADER, 'may-have-run'),), b'')


async def _serve_forever(plan: ForwarderPlan) -> None:
    forwarder = Forwarder(plan)
    host, port = split_host_port(plan.call_address)
    await start_server(forwarder.handle_call, host, port)
    host, port = split_host_port(plan.peer_address)
    await start_server(forwarder.handle_peer, host, port)
    await asyncio.Event().wait()


def _run(_: Sequence[str]) -> None:
    document: dict[str, Any] = orjson.loads(str(_PLAN.value))
    uvloop.run(_serve_forever(ForwarderPlan(**document)))


if __name__ == '__main__':
    app.run(_run)
