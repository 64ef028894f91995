"""Wire format of the platform's metadata store."""

import base64
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlencode

from merlintrail.coordination import (
    CONFIGURATION_KEY,
    StoreCall,
    StoreFault,
    StoreItem,
    StoreItems,
    StorePage,
    StoreValue,
    StoreWire,
    Transaction,
    add_faults,
    find_last_key,
    ignore_answer,
    read_entries,
    read_name,
    read_version,
)
from merlintrail.node import PlatformSettings
from merlintrail.platform._configuration import build_envelope
from merlintrail.protocol import DecodeFailure, decode_json, encode_json

#: Key of the configuration that operators write on the platform.
_OPERATOR_CONFIGURATION_KEY: Final = 'op/config'
#: Prefix of merlintrail's own keys.
_MERLINTRAIL_KEY_PREFIX: Final = 'merlintrail/'
#: Longest time in milliseconds for which a watch may wait for changes.
_MAX_WATCH_MS: Final = 30000
_MS_PER_S: Final = 1000
#: Header that states the era of the store.
_ERA_HEADER: Final = 'Store-Era'


class PlatformStoreWire(StoreWire):
    """Encodes store calls as HTTP requests to the platform's store.

    The configuration is read from the platform's own key and translated into
    a merlintrail document. All other keys carry merlintrail's prefix.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        #: Platform settings that complete the configuration: regions and retry
        #: budget.
        self.settings = settings

    @property
    def era_header(self) -> str:
        """Name of the header that states the era in each answer."""
        return _ERA_HEADER

    def build_read(self, key: str) -> StoreCall[StoreValue]:
        """Build the call that reads one key."""
        query = urlencode({'Key': _encode_key(key)})
        return StoreCall(
            'GET',
            f'/kv-key?{query}',
            self._read_value,
            faults=add_faults(s404=StoreFault.NOT_FOUND),
            is_repeatable=True,
        )

    def build_range(
        self, prefix: str, after: str | None, *, may_be_stale: bool
    ) -> StoreCall[StorePage]:
        """Build the call that reads one page of the keys under a prefix."""
        query: dict[str, str | int] = {'Prefix': _encode_key(prefix)}
        if after is not None:
            query['after'] = _encode_key(after)
        if may_be_stale:
            query['AllowStale'] = 1
        return StoreCall(
            'GET',
            f'/kv-range?{urlencode(query)}',
            self._read_page,
            is_repeatable=True,
        )

    def build_transaction(self, transaction: Transaction) -> StoreCall[int]:
        """Build the call that makes a transaction."""
        # The platform's leases are numbers; 0 stands for no lease.
        lease = int(transaction.lease or 0)
        puts = [
            {
                'Key': _encode_key(key),
                'Value': base64.b64encode(encode_json(document)).decode(),
                'Lease': lease,
            }
            for key, document in transaction.puts.items()
        ]
        body = {
            'ExpectedRevision': [
                {'Key': _encode_key(key), 'Revision': version}
                for key, version in transaction.expected.items()
            ],
            'Puts': puts,
            'Remove': [_encode_key(key) for key in transaction.removals],
        }
        return StoreCall(
            'POST',
            '/kv-txn',
            lambda answer: int(answer['Revision']),
            body=body,
            faults=add_faults(
                s412=StoreFault.CONFLICT, s404=StoreFault.LEASE_EXPIRED
            ),
        )

    def build_watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> StoreCall[StoreItems]:
        """Build the call that waits for changes under a prefix.

        :param position: store revision after which changes are returned.
        """
        query = urlencode(
            {
                'Prefix': _encode_key(prefix),
                'after': position,
                'WaitMs': min(_MAX_WATCH_MS, int(timeout_s * _MS_PER_S)),
            }
        )
        return StoreCall(
            'GET',
            f'/kv-watch?{query}',
            lambda answer: self._read_items(answer, 'events'),
            faults=add_faults(s410=StoreFault.HISTORY_LOST),
            wait_s=timeout_s,
        )

    def build_grant(self, duration_s: float) -> StoreCall[str]:
        """Build the call that obtains a lease."""
        return StoreCall(
            'POST',
            '/kv-lease',
            lambda answer: str(answer['Lease']),
            body={'Ttl': f'{int(duration_s * _MS_PER_S)}ms'},
        )

    def build_renewal(self, lease: str) -> StoreCall[None]:
        """Build the call that renews a lease."""
        return StoreCall(
            'POST',
            f'/kv-keep/{lease}',
            ignore_answer,
            faults=add_faults(s404=StoreFault.LEASE_EXPIRED),
            is_repeatable=True,
        )

    def build_revocation(self, lease: str) -> StoreCall[None]:
        """Build the call that ends a lease."""
        return StoreCall('DELETE', f'/kv-lease-end/{lease}', ignore_answer)

    def _read_value(self, answer: Any) -> StoreValue:
        item = self._read_item(answer)
        if isinstance(item.document, DecodeFailure):
            raise ValueError(item.document.reason)
        return StoreValue(item.document, item.version)

    def _read_page(self, answer: Any) -> StorePage:
        """Read one page; a truncated one continues after its last key."""
        listing = self._read_items(answer, 'items')
        is_last = not answer['Truncated']
        return StorePage(
            listing, None if is_last else find_last_key(listing.entries)
        )

    def _read_items(self, answer: Any, list_field: str) -> StoreItems:
        """Read items; ``AsOf`` is the revision from which to watch on."""
        return StoreItems(
            read_entries(answer[list_field], self._read_item),
            read_version(answer['AsOf']),
        )

    def _read_item(self, entry: Any) -> StoreItem:
        """Read one item; the document of a removed key is ``None``.

        :raises LookupError, TypeError, ValueError: without a readable key or
            revision.
        """
        if not isinstance(entry, Mapping):
            raise TypeError('not an object')
        key = _decode_key(read_name(entry['Key']))
        version = read_version(entry['Revision'])
        if entry.get('Tombstone'):
            return StoreItem(key, None, version)
        return StoreItem(key, self._read_content(key, entry), version)

    def _read_content(
        self, key: str, entry: Mapping[str, Any]
    ) -> Any | DecodeFailure:
        """Decode the document of an item."""
        try:
            content = decode_json(base64.b64decode(entry['Value']))
        except (LookupError, TypeError, ValueError) as error:
            return DecodeFailure(f'unreadable value: {error!r}')
        if key != CONFIGURATION_KEY or isinstance(content, DecodeFailure):
            return content
        try:
            return build_envelope(content, self.settings)
        except (LookupError, TypeError, ValueError) as error:
            return DecodeFailure(f'unreadable configuration: {error!r}')


def _encode_key(key: str) -> str:
    return (
        _OPERATOR_CONFIGURATION_KEY
        if key == CONFIGURATION_KEY
        else f'{_MERLINTRAIL_KEY_PREFIX}{key}'
    )


def _decode_key(key: str) -> str:
    if key == _OPERATOR_CONFIGURATION_KEY:
        return CONFIGURATION_KEY
    return key.removeprefix(_MERLINTRAIL_KEY_PREFIX)
