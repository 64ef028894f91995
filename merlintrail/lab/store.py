"""Fake of the platform's key-value service.

Run it with ``python -m merlintrail.lab.store --port=PORT``.
"""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

import uvloop
from absl import app, flags

from merlintrail.coordination import ERA_HEADER
from merlintrail.lab._store_state import (
    MAX_VALUE_BYTES,
    Faults,
    StoredEntry,
    StoreState,
)
from merlintrail.protocol import decode_json, encode_json
from merlintrail.transport import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
    start_server,
)

_PORT: Final = flags.DEFINE_integer('port', 7400, 'Port to listen on.')
_HOST: Final = flags.DEFINE_string('host', '127.0.0.1', 'Address.')

_OK: Final = 200
_HISTORY_LOST: Final = HttpResponse(410, (), b'')
_BUSY: Final = HttpResponse(429, (), b'')
_NOT_FOUND: Final = HttpResponse(404, (), b'')
_CONFLICT: Final = HttpResponse(409, (), b'')
_LEASE_EXPIRED: Final = HttpResponse(410, (), b'')
_UNAVAILABLE: Final = HttpResponse(503, (), b'')
_EMPTY_OK: Final = HttpResponse(_OK, (), b'{}')
#: Names under which requests to a collection are counted; others are
#: counted under the name of the collection.
_COUNT_NAMES: Final = {'keys': 'read', 'transactions': 'write'}
#: Largest number of keys in one page of a range.
PAGE_KEYS: Final = 500
#: Paths that control the fake store; faults do not apply to requests to them,
#: which are not counted either.
_CONTROL_PATHS: Final = frozenset(
    ('/v1/faults', '/v1/counts', '/v1/history', '/v1/copy')
)


def _build_answer(document: Mapping[str, Any]) -> HttpResponse:
    return HttpResponse(
        _OK, (('content-type', 'application/json'),), encode_json(document)
    )


def _build_entry_answer(entry: StoredEntry) -> HttpResponse:
    return _build_answer({'document': entry.document, 'version': entry.version})


class StoreService:
    """HTTP interface of the fake store."""

    def __init__(self, state: StoreState, rng: random.Random) -> None:
        self.state = state
        self._rng = rng
        self._copy = state.copy()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request, and state the era in the answer."""
        response = await self._handle(request)
        era = (ERA_HEADER, str(self.state.era))
        return response._replace(headers=(*response.headers, era))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request, subject to the active faults."""
        url = urlsplit(request.target)
        if url.path in _CONTROL_PATHS:
            return self._handle_control(request, url.path)
        faults = self.state.faults
        self._count_call(request.method, url.path)
        if faults.is_down or faults.is_busy:
            return _UNAVAILABLE if faults.is_down else _BUSY
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.method != 'GET' and self._should_lose_answer():
            asyncio.get_running_loop().call_later(
                faults.late_s, self._serve_write, request, url.path
            )
            raise ConnectionAbortedError
        query = {key: texts[0] for key, texts in parse_qs(url.query).items()}
        return await self._serve(request, url.path, query)

    def _should_lose_answer(self) -> bool:
        faults = self.state.faults
        return faults.loses_write_answers and self._rng.random() < faults.share

    async def _serve(
        self, request: HttpRequest, path: str, query: Mapping[str, str]
    ) -> HttpResponse:
        if request.method != 'GET':
            return self._serve_write(request, path)
        _, _, collection, *names = path.split('/')
        if collection == 'keys' and names:
            entry = self.state.read(unquote(names[0]))
            return _NOT_FOUND if entry is None else _build_entry_answer(entry)
        if collection == 'range':
            return self._serve_range(query)
        if collection == 'watch':
            return await self._serve_watch(query)
        return _NOT_FOUND

    def _serve_write(self, request: HttpRequest, path: str) -> HttpResponse:
        _, _, collection, *names = path.split('/')
        if collection == 'transactions':
            return self._serve_transaction(request)
        if collection == 'leases':
            return self._serve_lease(request, names[0] if names else '')
        return _NOT_FOUND

    def _serve_range(self, query: Mapping[str, str]) -> HttpResponse:
        matches = self.state.list_keys(
            query.get('prefix', ''), query.get('after', '')
        )
        page = list(matches.items())[:PAGE_KEYS]
        return _build_answer(
            {
                'items': [
                    {
                        'key': key,
                        'document': entry.document,
                        'version': entry.version,
                    }
                    for key, entry in page
                ],
                'position': self.state.version,
                'is_truncated': len(page) < len(matches),
            }
        )

    def _serve_transaction(self, request: HttpRequest) -> HttpResponse:
        body = decode_json(request.body)
        if not isinstance(body, dict) or 'expected' not in body:
            return HttpResponse(400, (), b'')
        if len(request.body) > MAX_VALUE_BYTES:
            return HttpResponse(413, (), b'')
        lease = body.get('lease')
        if lease is not None and not self.state.has_lease(lease):
            return _LEASE_EXPIRED
        version = self.state.transact(
            body['expected'],
            body.get('puts', {}),
            tuple(body.get('removals', ())),
            lease,
        )
        if version is None:
            return _CONFLICT
        return _build_answer({'version': version})

    async def _serve_watch(self, query: Mapping[str, str]) -> HttpResponse:
        changes = await self.state.wait(
            query.get('prefix', ''),
            int(query.get('position', '0')),
            float(query.get('timeout_s', '10')),
        )
        if self.state.faults.is_down:
            return _UNAVAILABLE
        if changes is None:
            return _HISTORY_LOST
        return _build_answer(
            {
                'items': [change._asdict() for change in changes],
                'position': self.state.version,
            }
        )

    def _serve_lease(self, request: HttpRequest, lease: str) -> HttpResponse:
        if not lease:
            body = decode_json(request.body)
            granted = self.state.grant_lease(float(body['duration_s']))
            return _build_answer({'lease': granted})
        if request.method == 'DELETE':
            self.state.revoke_lease(lease)
            return _EMPTY_OK
        return _EMPTY_OK if self.state.renew_lease(lease) else _LEASE_EXPIRED

    def _handle_control(self, request: HttpRequest, path: str) -> HttpResponse:
        if path == '/v1/faults' and request.method == 'POST':
            self.state.faults = Faults(**decode_json(request.body))
            return _EMPTY_OK
        if path == '/v1/history' and request.method == 'DELETE':
            self.state.drop_history()
            return _EMPTY_OK
        if path == '/v1/copy':
            return self._handle_copy(request)
        return _build_answer(dict(self.state.counts))

    def _handle_copy(self, request: HttpRequest) -> HttpResponse:
        """Copy the state with POST, and return to the copy with PUT."""
        if request.method == 'PUT':
            self.state.restore(self._copy)
        else:
            self._copy = self.state.copy()
        return _EMPTY_OK

    def _count_call(self, method: str, path: str) -> None:
        collection = path.split('/')[2]
        self.state.counts[_COUNT_NAMES.get(collection, collection)] += 1


async def start_store(host: str, port: int) -> HttpServer:
    """Start a fake store; port 0 selects a free port."""
    service = StoreService(StoreState(time.monotonic), random.Random(port))
    limits = ServerLimits(max_body_bytes=MAX_VALUE_BYTES * 2)
    return await start_server(service.handle, host, port, limits=limits)


async def _serve_forever(host: str, port: int) -> None:
    await start_store(host, port)
    await asyncio.Event().wait()


def _run(_: Sequence[str]) -> None:
    uvloop.run(_serve_forever(_HOST.value, _PORT.value))


if __name__ == '__main__':
    app.run(_run)
