"""How long a node that has just started holds a request that it cannot serve.

After a restart of the whole fleet, callers send at their usual rate while
every node still lacks the configuration and the backend servers of the other
nodes. Both arrive within a fraction of a second, whereas a refused caller
comes back later and may have no further attempt left. A nested call is held
longer, because its refusal wastes the work done for its request.
"""

from typing import Final

#: Seconds after the start of a node within which what it lacks is expected
#: to arrive.
STARTUP_PERIOD_S: Final = 2.0
#: Share of the objective, or of the remaining time where it is shorter, that a
#: request may be held. What remains suffices to serve it in time.
MAX_HELD_SHARE: Final = 0.5
#: Longest time in seconds that a request is held whose objective is unknown,
#: since there is no configuration yet.
MAX_UNCONFIGURED_S: Final = 0.5


def compute_startup_wait(
    age_s: float,
    remaining_s: float,
    objective_s: float | None,
    *,
    is_nested: bool,
) -> float:
    """Return for how many seconds a request may be held, 0 to refuse it.

    :param age_s: seconds since the start of the node.
    :param remaining_s: seconds until the deadline of the request.
    :param objective_s: latency objective of the request in seconds, ``None``
        if it has none or is unknown.
    :param is_nested: whether a backend server makes the call while it serves
        a request.
    """
    limit_s = remaining_s
    if objective_s is not None and not is_nested:
        limit_s = min(limit_s, objective_s)
    return max(0.0, min(STARTUP_PERIOD_S - age_s, limit_s * MAX_HELD_SHARE))
