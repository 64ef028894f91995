"""Putting configurations in force without holding up the event loop."""

import asyncio
from typing import Final

from merlintrail.state import ConfigurationHolder, Envelope

#: Routes and customers from which on a document is checked and built on
#: another thread. Fewer take less than 5 ms.
MIN_LARGE_ENTRIES: Final = 500


async def apply_configuration(
    holder: ConfigurationHolder, envelope: Envelope
) -> bool:
    """Apply a configuration if its generation is higher.

    :returns: whether it was applied.
    """
    if envelope.generation <= holder.generation:
        return False
    if _count_entries(envelope) < MIN_LARGE_ENTRIES:
        return holder.apply_if_newer(envelope)
    prepared = await asyncio.to_thread(holder.prepare, envelope)
    return holder.apply_prepared(prepared)


def _count_entries(envelope: Envelope) -> int:
    lists = [envelope.document.get(name) for name in ('routes', 'customers')]
    return sum(len(entries) for entries in lists if isinstance(entries, list))
