"""Log of entries in the store that cannot be read."""

import functools
from typing import Final

from merlintrail.observability import create_logger

#: Number of entries that are remembered so that each is logged only once.
MAX_REMEMBERED_ENTRIES: Final = 1024

_LOG: Final = create_logger('store')


@functools.lru_cache(maxsize=MAX_REMEMBERED_ENTRIES)
def log_unreadable_entry(key: str, version: int | None, reason: str) -> None:
    """Log that an entry cannot be read, unless it was logged before.

    :param version: version of the entry, ``None`` if that is unreadable too.
    """
    _LOG.error(
        'stored entry unreadable',
        extra={'key': key, 'version': version, 'reason': reason},
    )
