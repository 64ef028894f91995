"""A configuration with many routes that is put in force beside calls."""

import asyncio
import threading
import unittest
from typing import Any

from merlintrail.coordination._configuration_application import (
    MIN_LARGE_ENTRIES,
    apply_configuration,
)
from merlintrail.state import ConfigurationHolder, Envelope


def _build_envelope(generation: int, routes: int) -> Envelope:
    document: dict[str, Any] = {
        'format': 1,
        'services': [{'name': 'a'}],
        'regions': [{'name': 'r', 'data_centres': ['d']}],
        'routes': [
            {
                'name': f'r{number}',
                'host': 'h.example',
                'prefix': f'/{number}/',
                'service': 'a',
                'importance': 'normal',
                'idempotent': True,
                'timeout_ms': 1000,
            }
            for number in range(routes)
        ],
    }
    return Envelope(generation, f'c{generation}', 'op', 0.0, document)


class _SlowHolder(ConfigurationHolder):
    """Holder whose preparation of one generation waits for an event."""

    def __init__(self) -> None:
        super().__init__()
        self.may_go_on = threading.Event()
        self.threads: set[int] = set()

    def prepare(self, envelope: Envelope) -> Any:
        """Prepare a configuration, the second generation on demand."""
        self.threads.add(threading.get_ident())
        if envelope.generation == 2:
            self.may_go_on.wait()
        return super().prepare(envelope)


class LargeConfigurationTest(unittest.TestCase):
    """The event loop goes on meanwhile, and generations stay in order."""

    def test_change_of_many_routes_blocks_calls(self) -> None:
        """It is prepared on another thread, and overtaken by a later one."""

        async def scenario() -> None:
            holder = _SlowHolder()
            second = asyncio.create_task(
                apply_configuration(
                    holder, _build_envelope(2, MIN_LARGE_ENTRIES)
                )
            )
            await asyncio.sleep(0)
            third = await apply_configuration(
                holder, _build_envelope(3, MIN_LARGE_ENTRIES)
            )
            self.assertTrue(third)
            holder.may_go_on.set()
            self.assertFalse(await second)
            self.assertEqual(holder.generation, 3)
            self.assertNotIn(threading.get_ident(), holder.threads)

        asyncio.run(scenario())

    def test_small_change(self) -> None:
        """It is applied at once."""

        async def scenario() -> None:
            holder = _SlowHolder()
            envelope = _build_envelope(1, 1)
            self.assertTrue(await apply_configuration(holder, envelope))
            self.assertFalse(await apply_configuration(holder, envelope))
            self.assertEqual(holder.threads, {threading.get_ident()})

        asyncio.run(scenario())
