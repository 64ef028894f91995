"""Stand-in for the platform's key-value service.

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

from merlintrail.lab._store_state import (
    MAX_VALUE_BYTES,
    Faults,
    StoredKey,
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
_UNCHANGED: Final = HttpResponse(304, (), b'')
_NOT_FOUND: Final = HttpResponse(404, (), b'')
_CONFLICT: Final = HttpResponse(409, (), b'')
_LEASE_EXPIRED: Final = HttpResponse(410, (), b'')
_DOWN: Final = HttpResponse(503, (), b'')
_DONE: Final = HttpResponse(_OK, (), b'{}')
_CONTROL_PATHS: Final = frozenset(('/v1/faults', '/v1/counts'))


def _build_answer(document: Mapping[str, Any]) -> HttpResponse:
    return HttpResponse(
        _OK, (('content-type', 'application/json'),), encode_json(document)
    )


def _describe_key(known: StoredKey) -> HttpResponse:
    return _build_answer({'document': known.document, 'version': known.version})


class StoreService:
    """Answers the calls of the store's HTTP interface."""

    def __init__(self, state: StoreState, source: random.Random) -> None:
        self.state = state
        self._source = source

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call, after the faults that are switched on."""
        parts = urlsplit(request.target)
        if parts.path in _CONTROL_PATHS:
            return self._handle_control(request, parts.path)
        faults = self.state.faults
        self._count(request.method, parts.path)
        if faults.is_down:
            return _DOWN
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        answer = await self._serve(request, parts.path, parts.query)
        is_write = request.method != 'GET'
        if is_write and faults.loses_write_answers:
            if self._source.random() < faults.share:
                raise ConnectionAbortedError
        return answer

    async def _serve(
        self, request: HttpRequest, path: str, query: str
    ) -> HttpResponse:
        _, _, collection, *names = path.split('/')
        name = unquote(names[0]) if names else ''
        options = {key: texts[0] for key, texts in parse_qs(query).items()}
        if collection == 'keys':
            return await self._serve_key(request, name, options)
        if collection == 'watch':
            return await self._serve_watch(name, options)
        if collection == 'leases':
            return self._serve_lease(request, name)
        return _NOT_FOUND

    async def _serve_key(
        self, request: HttpRequest, key: str, options: Mapping[str, str]
    ) -> HttpResponse:
        if request.method == 'PUT':
            return await self._write_key(request, key)
        if request.method == 'DELETE':
            expected = int(options.get('expected_version', '0'))
            removed = await self.state.remove(key, expected)
            return _DONE if removed else _CONFLICT
        known = self.state.read(key)
        return _NOT_FOUND if known is None else _describe_key(known)

    async def _write_key(self, request: HttpRequest, key: str) -> HttpResponse:
        body = decode_json(request.body)
        if not isinstance(body, dict) or 'expected_version' not in body:
            return HttpResponse(400, (), b'')
        if len(request.body) > MAX_VALUE_BYTES:
            return HttpResponse(413, (), b'')
        lease = body.get('lease')
        if lease is not None and not self.state.has_lease(lease):
            return _LEASE_EXPIRED
        version = await self.state.write(
            key, body['document'], body['expected_version'], lease
        )
        if version is None:
            return _CONFLICT
        return _build_answer({'version': version})

    async def _serve_watch(
        self, key: str, options: Mapping[str, str]
    ) -> HttpResponse:
        found = await self.state.wait(
            key,
            int(options.get('known_version', '0')),
            float(options.get('timeout_s', '10')),
        )
        if self.state.faults.is_down:
            return _DOWN
        return _UNCHANGED if found is None else _describe_key(found)

    def _serve_lease(self, request: HttpRequest, lease: str) -> HttpResponse:
        if not lease:
            body = decode_json(request.body)
            granted = self.state.grant_lease(float(body['duration_s']))
            return _build_answer({'lease': granted})
        if request.method == 'DELETE':
            self.state.revoke_lease(lease)
            return _DONE
        return _DONE if self.state.renew_lease(lease) else _LEASE_EXPIRED

    def _handle_control(self, request: HttpRequest, path: str) -> HttpResponse:
        if path == '/v1/faults' and request.method == 'POST':
            self.state.faults = Faults(**decode_json(request.body))
            return _DONE
        return _build_answer(dict(self.state.counts))

    def _count(self, method: str, path: str) -> None:
        collection = path.split('/')[2]
        kind = collection
        if collection == 'keys':
            kind = 'read' if method == 'GET' else 'write'
        self.state.counts[kind] += 1


async def start_store(host: str, port: int) -> HttpServer:
    """Start a stand-in; port 0 takes a free one."""
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
