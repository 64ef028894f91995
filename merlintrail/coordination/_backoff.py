"""Repetition of an attempt with growing random pauses."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Backoff(NamedTuple):
    """Pauses between attempts, each random by up to half of its length."""

    #: Seconds of the first pause; each further one is twice as long.
    first_s: float
    #: Upper limit of the doubled pause in seconds.
    limit_s: float


async def repeat_until_done(
    attempt: Callable[[], Awaitable[bool]], backoff: Backoff, rng: random.Random
) -> None:
    """Repeat an attempt until it returns that it succeeded."""
    pause_s = backoff.first_s
    while not await attempt():
        await asyncio.sleep(pause_s * rng.uniform(0.5, 1.5))
        pause_s = min(backoff.limit_s, pause_s * 2)
