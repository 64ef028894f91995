"""Stand-in for the platform's metadata store, over the lab's store state."""

import base64
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from merlintrail.lab._store_state import StoreState
from merlintrail.protocol import decode_json, encode_json
from merlintrail.transport import HttpRequest, HttpResponse

_NOT_FOUND: Final = HttpResponse(404, (), b'{}')
#: Items in one page of a range.
PAGE_ITEMS: Final = 3


def _answer(document: Any) -> HttpResponse:
    return HttpResponse(200, (), encode_json(document))


def _encode(content: Any) -> str:
    return base64.b64encode(encode_json(content)).decode()


class PlatformStore:
    """Answers the calls of the platform's store."""

    def __init__(self, state: StoreState) -> None:
        self.state = state

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        parts = urlsplit(request.target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        call = parts.path.strip('/').partition('/')
        if call[0] == 'kv-watch':
            return await self._watch(query)
        body = decode_json(request.body or b'{}')
        serve = getattr(self, f'_{call[0].replace("-", "_")}')
        answer: HttpResponse = serve(query, body, call[2])
        return answer

    def _kv_key(self, query: Any, body: Any, name: str) -> HttpResponse:
        known = self.state.read(query['Key'])
        if known is None:
            return _NOT_FOUND
        return _answer(self._describe(query['Key'], known.document))

    def _kv_range(self, query: Any, body: Any, name: str) -> HttpResponse:
        found = self.state.list_keys(query['Prefix'], query.get('after', ''))
        page = list(found.items())[:PAGE_ITEMS]
        return _answer(
            {
                'items': [
                    self._describe(key, known.document) for key, known in page
                ],
                'Truncated': len(page) < len(found),
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
            else self._describe(change.key, change.document)
            for change in changes
        ]
        return _answer({'events': events, 'AsOf': self.state.version})

    def _kv_txn(self, query: Any, body: Any, name: str) -> HttpResponse:
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
        return _answer({'Revision': version})

    def _kv_lease(self, query: Any, body: Any, name: str) -> HttpResponse:
        seconds = int(body['Ttl'].removesuffix('ms')) / 1000
        lease = self.state.grant_lease(seconds).removeprefix('lease-')
        return _answer({'Lease': int(lease), 'Ttl': body['Ttl']})

    def _kv_keep(self, query: Any, body: Any, name: str) -> HttpResponse:
        is_kept = self.state.renew_lease(f'lease-{name}')
        return _answer({'Ttl': '3000ms'}) if is_kept else _NOT_FOUND

    def _kv_lease_end(self, query: Any, body: Any, name: str) -> HttpResponse:
        self.state.revoke_lease(f'lease-{name}')
        return _answer({})

    def _describe(self, key: str, content: Any) -> dict[str, Any]:
        known = self.state.read(key)
        return {
            'Key': key,
            'Value': _encode(content),
            'Revision': 0 if known is None else known.version,
            'Created': 1,
            'Lease': 0,
            'AsOf': self.state.version,
        }
