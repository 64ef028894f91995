"""Golden files: complete transcripts of scripted sessions.

``make golden`` regenerates them.
"""

import asyncio
import os
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from merlintrail.coordination.tests.fake_store import WriteFault
from merlintrail.node.tests.session import (
    BackendHandler,
    Session,
    answer_after,
    build_document,
    build_kind,
)
from merlintrail.protocol import CALL_HEADER
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_FOLDER = Path(__file__).parent / 'golden'
_DOCUMENT = build_document(
    {
        'fitadvisor': [
            build_kind('advice', importance='critical'),
            build_kind('credits', importance='high', idempotent=False),
        ],
        'chartdesk': [
            build_kind('charts', importance='high'),
            build_kind('sync', importance='low'),
        ],
    }
)


def _create_session() -> Session:
    session = Session(_DOCUMENT, ('ingress', 'advisor', 'desk'))

    async def advise(request: HttpRequest) -> HttpResponse:
        charts = await session.call_nested(
            'advisor', request, '/chartdesk/charts'
        )
        status = 200 if charts.status == 200 else 502
        return HttpResponse(status, (), b'advised ' + charts.body)

    session.add_backend('advisor', 'fitadvisor', advise, slots=1)
    session.add_backend('desk', 'chartdesk', answer_after(0.02), slots=1)
    return session


def _create_deep_session() -> Session:
    """Create a chain of 13 services on three nodes; the last one fails."""
    names = [f's{number:02d}' for number in range(13)]
    document = build_document(
        {name: [build_kind('x', deadline_ms=5000)] for name in names}
    )
    session = Session(document, ('ingress', 'a', 'b', 'c'))

    def create_hop(node: str, next_name: str | None) -> BackendHandler:
        async def run(request: HttpRequest) -> HttpResponse:
            if next_name is None:
                raise ConnectionAbortedError
            answer = await session.call_nested(node, request, f'/{next_name}/x')
            return HttpResponse(502, (), answer.body)

        return run

    for node in ('a', 'b', 'c'):
        for name, next_name in zip(names, (*names[1:], None), strict=True):
            session.add_backend(node, name, create_hop(node, next_name))
    return session


async def _run_deep(session: Session) -> None:
    """Send a request through 13 hops; two further attempts are made in all."""
    await session.call('ingress', '/s00/x', 'deep')


async def _run_chain(session: Session) -> None:
    """Send a valid request through two services, then invalid ones."""
    await session.call('ingress', '/fitadvisor/advice', 'size 38')
    await session.call('ingress', '/nowhere/advice')
    await session.call('ingress', '/UPPER')
    await session.call(
        'ingress', '/fitadvisor/advice', '', {'merlintrail-context': 'forged'}
    )
    await session.call(
        'ingress',
        '/fitadvisor/advice',
        'forged',
        {CALL_HEADER: '{"priority":127,"retries":99}'},
    )
    await session.call(
        'ingress',
        '/fitadvisor/advice',
        '',
        {'merlintrail-deadline-ms': 'soon', 'idempotency-key': ''},
    )
    await session.call('ingress', '/fitadvisor/advice', method='TRACE')


async def _run_overload(session: Session) -> None:
    """Fill the only slot with low-priority calls, then send critical ones."""
    calls = [
        asyncio.create_task(
            session.call('ingress', '/chartdesk/sync', f'sync {number}')
        )
        for number in range(30)
    ]
    await asyncio.sleep(0.005)
    calls.extend(
        asyncio.create_task(
            session.call('ingress', '/fitadvisor/advice', f'size {number}')
        )
        for number in range(3)
    )
    await asyncio.gather(*calls)


async def _run_keyed(session: Session) -> None:
    """Send a keyed request, resend it, reuse its key and fail the store."""
    headers = {'idempotency-key': 'credit-1'}
    await session.call('ingress', '/fitadvisor/credits', 'credit', headers)
    await session.call('desk', '/fitadvisor/credits', 'credit', headers)
    await session.call('advisor', '/fitadvisor/credits', 'other', headers)
    session.store.fault = WriteFault.REFUSED
    await session.call(
        'ingress',
        '/fitadvisor/credits',
        'late',
        {'idempotency-key': 'credit-2'},
    )


async def _run_faults(session: Session) -> None:
    """Lose a call on its connection, lose an answer, and drain a node."""
    session.network.dropping_requests.add('advisor:2')
    await session.call('ingress', '/fitadvisor/advice', 'swallowed')
    session.network.answers_to_lose['advisor:2'] = 1
    await session.call('ingress', '/fitadvisor/advice', 'answer lost')
    session.nodes['advisor'].gateway.is_draining = True
    await session.call('ingress', '/fitadvisor/advice', 'draining')


async def _run_operators(session: Session) -> None:
    """Apply a new generation with a shorter deadline, then an older one."""
    await session.call('ingress', '/chartdesk/sync', 'before')
    shorter = build_document(
        {
            'fitadvisor': [build_kind('advice', importance='critical')],
            'chartdesk': [build_kind('sync', deadline_ms=3)],
        }
    )
    session.apply(shorter, 2)
    await session.call('ingress', '/chartdesk/sync', 'after')
    session.apply(_DOCUMENT, 1)
    await session.call('ingress', '/chartdesk/sync', 'still after')


class _Script(NamedTuple):
    """A script and the session in which it runs."""

    run: Callable[[Session], Awaitable[None]]
    create: Callable[[], Session] = _create_session


_SCRIPTS = {
    'chain': _Script(_run_chain),
    'deep': _Script(_run_deep, _create_deep_session),
    'overload': _Script(_run_overload),
    'keyed': _Script(_run_keyed),
    'faults': _Script(_run_faults),
    'operators': _Script(_run_operators),
}


async def _record(script: _Script) -> str:
    session = script.create()
    with session.bind_log():
        await script.run(session)
    return session.build_transcript()


class GoldenSessionTest(unittest.TestCase):
    """Each session produces the recorded transcript."""

    def test_transcripts(self) -> None:
        """Transcripts hold answers, log lines and store calls."""
        for name, script in _SCRIPTS.items():
            with self.subTest(name):
                transcript = run_virtually(_record(script))
                path = _FOLDER / f'{name}.txt'
                if os.environ.get('GOLDEN_WRITE'):
                    path.write_text(transcript, encoding='utf-8')
                self.assertEqual(path.read_text(encoding='utf-8'), transcript)
