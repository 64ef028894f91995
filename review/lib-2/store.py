"""The platform's metadata store, as the users' pages tell it.

Kept in memory; one revision for all changes, leases that remove their keys,
and a watch that answers as soon as there is an event.

    python3 store.py PORT
"""

import asyncio
import sys
import time
from urllib.parse import parse_qs, urlsplit

from http11 import encode_answer, encode_json, read_message

import json

HISTORY_S = 20.0


class Store:
    """Keys, leases and history."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.next_lease = 100
        self.history = []
        self.first_kept = 0
        self.changed = asyncio.Event()

    def expire(self):
        """End the leases that have run out."""
        now = time.monotonic()
        for lease, (_, ends_at) in list(self.leases.items()):
            if ends_at <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item['Lease'] == lease]
        if gone:
            self.apply({}, gone)

    def apply(self, puts, removals):
        """Make a change."""
        self.revision += 1
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.record({'Key': key, 'Revision': self.revision, 'Tombstone': True})
        for key, (value, lease) in puts.items():
            created = self.items[key]['Created'] if key in self.items else self.revision
            item = {
                'Key': key, 'Value': value, 'Revision': self.revision,
                'Created': created, 'Lease': lease,
            }
            self.items[key] = item
            self.record(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def record(self, event):
        """Keep an event for the watches."""
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            _, old = self.history.pop(0)
            self.first_kept = old['Revision']

    def list_range(self, prefix, after):
        """Return the items of a range."""
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return [self.items[key] for key in keys[:500]], len(keys) > 500


async def watch(store, query):
    """Serve a watch."""
    prefix, after = query['Prefix'], int(query['after'])
    ends_at = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
    if after < store.first_kept or after > store.revision:
        return 410, {}
    while True:
        events = [
            event for _, event in store.history
            if event['Revision'] > after and event['Key'].startswith(prefix)
        ]
        left = ends_at - time.monotonic()
        if events or left <= 0:
            return 200, {'events': events, 'AsOf': store.revision}
        try:
            await asyncio.wait_for(store.changed.wait(), left)
        except TimeoutError:
            pass


def transact(store, body):
    """Serve a transaction."""
    rows = body.get('ExpectedRevision') or []
    for row in rows:
        item = store.items.get(row['Key'])
        if (item['Revision'] if item else 0) != row['Revision']:
            current = [store.items[r['Key']] for r in rows if r['Key'] in store.items]
            return 412, {'items': current}
    puts = {}
    for put in body.get('Puts') or []:
        lease = put.get('Lease') or 0
        if lease and lease not in store.leases:
            return 404, {}
        puts[put['Key']] = (put['Value'], lease)
    store.apply(puts, body.get('Remove') or [])
    return 200, {'Revision': store.revision}


async def answer(store, method, target, body):
    """Serve one call."""
    store.expire()
    url = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    document = json.loads(body) if body else {}
    call, _, rest = url.path.strip('/').partition('/')
    if call == 'kv-key':
        item = store.items.get(query['Key'])
        return (200, {**item, 'AsOf': store.revision}) if item else (404, {})
    if call == 'kv-range':
        items, truncated = store.list_range(query['Prefix'], query.get('after', ''))
        return 200, {'items': items, 'Truncated': truncated, 'AsOf': store.revision}
    if call == 'kv-watch':
        return await watch(store, query)
    if call == 'kv-txn':
        return transact(store, document)
    if call == 'kv-lease':
        seconds = read_seconds(document['Ttl'])
        store.next_lease += 1
        store.leases[store.next_lease] = (seconds, time.monotonic() + seconds)
        return 200, {'Lease': store.next_lease, 'Ttl': document['Ttl']}
    lease = int(rest or 0)
    if call == 'kv-keep':
        if lease not in store.leases:
            return 404, {}
        seconds, _ = store.leases[lease]
        store.leases[lease] = (seconds, time.monotonic() + seconds)
        return 200, {'Ttl': f'{int(seconds * 1000)}ms'}
    if call == 'kv-lease-end':
        store.end_lease(lease)
        return 200, {}
    return 404, {}


def read_seconds(text):
    """Read a time."""
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])


async def serve(store, reader, writer):
    """Serve a connection."""
    try:
        while True:
            message = await read_message(reader)
            if message is None:
                return
            start, _, body = message
            method, target, _ = start.split(' ')
            status, document = await answer(store, method, target, body)
            writer.write(
                encode_answer(
                    status,
                    [('Content-Type', 'application/json')],
                    encode_json(document),
                )
            )
            await writer.drain()
    except (OSError, ValueError):
        pass
    finally:
        writer.close()


async def main():
    """Run the store."""
    store = Store()
    server = await asyncio.start_server(
        lambda reader, writer: serve(store, reader, writer),
        '127.0.0.1',
        int(sys.argv[1]),
    )
    asyncio.get_running_loop().call_later(0, lambda: None)

    async def sweep():
        while True:
            await asyncio.sleep(0.1)
            store.expire()

    task = asyncio.create_task(sweep())
    async with server:
        await server.serve_forever()
    task.cancel()


asyncio.run(main())
