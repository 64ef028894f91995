"""Soak of the ends of connections under planned stops and changes.

Callers of several kinds use their connections until they are closed, while
nodes are stopped and started, their settings are reloaded and routes change in
series and at the same time. What callers got is compared with what backend
servers ran. Run it with ``python -m merlintrail.bench.connection_soak``.
"""

from merlintrail.bench.connection_soak._run import (
    ConnectionSoakResult,
    run_connection_soak,
)

__all__ = ('ConnectionSoakResult', 'run_connection_soak')
