"""Background work that goes on after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from merlintrail.observability import create_logger

#: Seconds until work that failed is started again.
RESTART_DELAY_S: Final = 1.0

_LOG: Final = create_logger('supervision')


async def run_supervised(
    name: str, work: Callable[[], Awaitable[None]]
) -> None:
    """Run work until it returns or is cancelled.

    An unexpected error, such as one that a malformed message causes, is logged
    and the work is started again.

    :param name: name of the work, for the log.
    """
    while True:
        try:
            return await work()
        except Exception as error:
            _LOG.error(
                'background work failed',
                extra={'work': name, 'reason': repr(error)},
            )
        await asyncio.sleep(RESTART_DELAY_S)
