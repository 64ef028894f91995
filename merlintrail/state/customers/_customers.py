"""Customers that share the fleet, and the API keys that name them."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from merlintrail.protocol import Importance

#: Length in bytes of the digest of an API key.
KEY_DIGEST_BYTES: Final = 16


def hash_api_key(key: str) -> str:
    """Return the digest by which the configuration names an API key.

    The keys themselves are in no configuration, so that nothing that shows
    or carries one can reveal them.
    """
    digest = hashlib.blake2b(
        key.encode('utf-8', 'surrogateescape'), digest_size=KEY_DIGEST_BYTES
    )
    return digest.hexdigest()


class Customer(NamedTuple):
    """A customer whose callers are identified by API keys."""

    name: str
    #: Digests of the customer's keys, see :func:`hash_api_key`.
    key_digests: frozenset[str]
    #: Importance of all its requests, ``None`` for that of their kind.
    importance: Importance | None = None
    #: Requests per second that all nodes together accept, ``None`` for no
    #: quota.
    rate_per_s: float | None = None
    #: Requests that are accepted in addition after a time without any.
    burst: float = 0.0


class CustomerTable:
    """The customers of a configuration, by name and by API key."""

    def __init__(self, customers: Iterable[Customer] = ()) -> None:
        self._by_name = {customer.name: customer for customer in customers}
        self._by_digest = {
            digest: customer
            for customer in self._by_name.values()
            for digest in customer.key_digests
        }

    def __len__(self) -> int:
        """Return the number of customers."""
        return len(self._by_name)

    def __iter__(self) -> Iterator[Customer]:
        """Iterate over the customers in the order of the configuration."""
        return iter(self._by_name.values())

    def find(self, name: str) -> Customer | None:
        """Return the customer of a name, ``None`` if there is none."""
        return self._by_name.get(name)

    def identify(self, key: str | None) -> Customer | None:
        """Return the customer of an API key, ``None`` for an unknown one."""
        return None if key is None else self._by_digest.get(hash_api_key(key))
