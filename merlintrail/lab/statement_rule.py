"""What a backend server may get after it made a statement in its answers."""

from collections.abc import Iterable
from typing import Final

#: Seconds after the first statement of a limit from which it binds.
LIMIT_NOTICE_S: Final = 3.0
#: Length in seconds of the windows in which requests are counted.
WINDOW_S: Final = 4.0
#: What a backend server may get in a window: the rate that it states times
#: the factor, and some requests more.
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5
#: Seconds after the first statement of leaving within which requests may still
#: be sent.
LEAVING_NOTICE_S: Final = 2.5


def compute_allowed(rate_limit: float) -> float:
    """Return the requests allowed in a window at a limit per second."""
    return LIMIT_FACTOR * rate_limit * WINDOW_S + LIMIT_SLACK


def find_busiest_window(times: Iterable[float], binding_from: float) -> int:
    """Return the most requests in any window from a time on.

    :param times: when requests arrived, in seconds.
    """
    binding = [at for at in times if at >= binding_from]
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in binding)
            for start in binding
        ),
        default=0,
    )
