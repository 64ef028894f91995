"""What a backend server states of itself in its answers."""

import math
import re
from collections.abc import Sequence
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


class RunNotice(NamedTuple):
    """What one run of a backend server states, as nodes pass it on."""

    #: Identity of the backend server, ``None`` if it announces none.
    identity: str | None
    #: Start of the run in milliseconds since the epoch, 0 if unknown.
    started_at_ms: int
    #: Requests per second that it takes, ``None`` for no limit.
    rate_limit: float | None
    is_leaving: bool


def read_run_notice(record: object) -> RunNotice | None:
    """Read a notice from a JSON array in the order of the fields.

    :returns: ``None`` for anything else.
    """
    if not isinstance(record, Sequence) or len(record) < len(RunNotice._fields):
        return None
    notice = RunNotice(*record[: len(RunNotice._fields)])
    is_valid = (
        isinstance(notice.identity, str | None)
        and isinstance(notice.started_at_ms, int)
        and isinstance(notice.is_leaving, bool)
        and _is_rate(notice.rate_limit)
    )
    return notice if is_valid else None


def _is_rate(number: object) -> bool:
    if number is None:
        return True
    if isinstance(number, bool) or not isinstance(number, int | float):
        return False
    return 0 <= number < math.inf
