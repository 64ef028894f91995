"""Addresses in messages and entries that cannot be connected to."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from merlintrail.coordination import StoreFailure, create_store_client
from merlintrail.transport import create_pool

#: Longest label of a domain name, in characters.
_MAX_LABEL: int = 63
_LABEL = st.text(
    st.characters(min_codepoint=33, max_codepoint=126, exclude_characters=':.')
)
_LONG_LABEL = _LABEL.map(lambda label: (label or 'a') * (_MAX_LABEL + 1))
_HOST = st.tuples(_LABEL, _LONG_LABEL, _LABEL).map('.'.join)


class OddAddressesTest(unittest.TestCase):
    """They are failures like others, and raise nothing."""

    @settings(max_examples=50, deadline=None)
    @given(_HOST | st.text(), st.integers(-1, 70000))
    def test_address_that_cannot_be_encoded_raises(
        self, host: str, port: int
    ) -> None:
        """Hosts with a label over 63 characters, and any other text."""
        if '.' not in host and host.isascii():
            host = f'{host}..'

        async def scenario() -> bool:
            return await create_pool().can_connect(f'{host}:{port}')

        self.assertFalse(asyncio.run(scenario()))

    def test_store_address_that_cannot_be_encoded_raises(self) -> None:
        """A read and a watch of the store fail."""
        label = 'a' * (_MAX_LABEL + 1)
        client = create_store_client([f'{label}.example:1'])
        self.assertIsInstance(client.read('key'), StoreFailure)
        self.assertIsInstance(client.watch('key', 1, 0.1), StoreFailure)
