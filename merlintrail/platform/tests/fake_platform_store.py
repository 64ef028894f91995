"""Fake of the platform's metadata store, backed by the lab's store state."""

import base64
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from merlintrail.lab._store_state import StoreState
from merlintrail.protocol import decode_json, encode_json
from merlintrail.transport import HttpRequest, HttpResponse

_NOT_FOUND: Final = HttpResponse(404, (), b'{}')
#: Maximum number of items in one page of a range.
PAGE_ITEMS: Final = 3


def _build_answer(document: Any) -> HttpResponse:
    return HttpResponse(200, (), encode_json(document))


def _encode_value(content: Any) -> str:
    return base64.b64encode(encode_json(content)).decode()


class FakePlatformStore:
    """Serves the platform's store calls from a store state in memory.

    Methods named after a call serve it, such as ``_kv_key`` for ``/kv-key``.
    ``lease_id`` is the rest of the path, empty for calls without a lease.
    """

    def __init__(self, state: StoreState) -> None:
        self.state = state

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one call."""
        url = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        path_parts = url.path.strip('/').partition('/')
        if path_parts[0] == 'kv-watch':
            return await self._watch(query)
        body = decode_json(request.body or b'{}')
        handler = getattr(self, f'_{path_parts[0].replace("-", "_")}')
        answer: HttpResponse = handler(query, body, path_parts[2])
        return answer

    def _kv_key(self, query: Any, body: Any, lease_id: str) -> HttpResponse:
        stored = self.state.read(query['Key'])
        if stored is None:
            return _NOT_FOUND
        return _build_answer(self._build_item(query['Key'], stored.document))

    def _kv_range(self, query: Any, body: Any, lease_id: str) -> HttpResponse:
        matching = self.state.list_keys(query['Prefix'], query.get('after', ''))
        page = list(matching.items())[:PAGE_ITEMS]
        return _build_answer(
            {
                'items': [
                    self._build_item(key, stored.document)
                    for key, stored in page
                ],
                'Truncated': len(page) < len(matching),
                'AsOf': self.state.version,
            }
        )

    async def _watch(self, query: Any) -> HttpResponse:
        changes = await self.state.wait(
            query['Prefix'],
            int(query['after']),
            int(query['WaitMs']) / 1000,
        )
        if changes is None:
            return HttpResponse(410, (), b'{}')
        events = [
            {'Key': change.key, 'Revision': change.version, 'Tombstone': True}
            if change.document is None
            else self._build_item(change.key, change.document)
            for change in changes
        ]
        return _build_answer({'events': events, 'AsOf': self.state.version})

    def _kv_txn(self, query: Any, body: Any, lease_id: str) -> HttpResponse:
        leases = [
            f'lease-{put["Lease"]}' for put in body['Puts'] if put['Lease']
        ]
        if not all(map(self.state.has_lease, leases)):
            return _NOT_FOUND
        version = self.state.transact(
            {row['Key']: row['Revision'] for row in body['ExpectedRevision']},
            {
                put['Key']: decode_json(base64.b64decode(put['Value']))
                for put in body['Puts']
            },
            tuple(body['Remove']),
            leases[0] if leases else None,
        )
        if version is None:
            return HttpResponse(412, (), b'{"items":[]}')
        return _build_answer({'Revision': version})

    def _kv_lease(self, query: Any, body: Any, lease_id: str) -> HttpResponse:
        seconds = int(body['Ttl'].removesuffix('ms')) / 1000
        lease = self.state.grant_lease(seconds).removeprefix('lease-')
        return _build_answer({'Lease': int(lease), 'Ttl': body['Ttl']})

    def _kv_keep(self, query: Any, body: Any, lease_id: str) -> HttpResponse:
        is_kept = self.state.renew_lease(f'lease-{lease_id}')
        return _build_answer({'Ttl': '3000ms'}) if is_kept else _NOT_FOUND

    def _kv_lease_end(
        self, query: Any, body: Any, lease_id: str
    ) -> HttpResponse:
        self.state.revoke_lease(f'lease-{lease_id}')
        return _build_answer({})

    def _build_item(self, key: str, content: Any) -> dict[str, Any]:
        stored = self.state.read(key)
        return {
            'Key': key,
            'Value': _encode_value(content),
            'Revision': 0 if stored is None else stored.version,
            'Created': 1,
            'Lease': 0,
            'AsOf': self.state.version,
        }
