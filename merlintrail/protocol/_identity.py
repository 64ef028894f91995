"""Random identifiers, and the age of idempotency keys."""

import random
import uuid
from typing import Final

_ID_BITS: Final = 96
_UUIDV7_VERSION: Final = 7
#: Bits of a UUIDv7 below its timestamp in milliseconds.
_UUIDV7_TIMESTAMP_SHIFT: Final = 80
_MS_PER_S: Final = 1000


def create_id(rng: random.Random) -> str:
    """Create a random identifier of 24 hexadecimal digits."""
    return f'{rng.getrandbits(_ID_BITS):024x}'


def read_key_age_s(key: str, wall_time_s: float) -> float | None:
    """Return the age of a UUIDv7 key in seconds, from its timestamp.

    :returns: ``None`` for a key of another form.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUIDV7_VERSION:
        return None
    return wall_time_s - (parsed.int >> _UUIDV7_TIMESTAMP_SHIFT) / _MS_PER_S
