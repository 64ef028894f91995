"""What a backend server states of itself in its answers."""

import re
from typing import Final, NamedTuple

from merlintrail.protocol._codec import DecodeFailure

#: A decimal number without sign or exponent.
_RATE_PATTERN: Final = re.compile('[0-9]{1,12}([.][0-9]{0,12})?|[.][0-9]{1,12}')
#: Characters of an invalid value that are repeated in a finding.
_MAX_QUOTED_CHARS: Final = 40


class BackendNotice(NamedTuple):
    """Statements of a backend server that hold until its next answer."""

    #: Requests per second that it takes from all nodes together, ``None`` if
    #: it states no limit. A value that is no number neither sets nor ends one.
    rate_limit: float | DecodeFailure | None = None
    #: Whether it is about to end and takes no new requests.
    is_leaving: bool = False


def parse_rate_limit(text: str | None) -> float | DecodeFailure | None:
    """Parse a number of requests per second.

    :returns: ``None`` for a missing value.
    """
    if text is None:
        return None
    if _RATE_PATTERN.fullmatch(text):
        return float(text)
    return DecodeFailure(f'not a decimal number: {text[:_MAX_QUOTED_CHARS]!r}')
