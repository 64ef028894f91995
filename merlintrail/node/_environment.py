"""External dependencies of a node: store, clocks, randomness, network."""

import os
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from merlintrail.coordination import Store
from merlintrail.protocol import Dialect, NativeDialect
from merlintrail.transport import ConnectionPool, create_pool


class Environment(NamedTuple):
    """External dependencies of a node, which tests can replace."""

    store: Store
    #: Monotonic clock in seconds.
    clock: Callable[[], float]
    #: Seconds since the epoch.
    wall_clock: Callable[[], float]
    rng: random.Random
    #: Creates pools of connections to nodes and backend servers.
    create_pool: Callable[[], ConnectionPool] = create_pool
    #: Protocol spoken with callers and backend servers.
    dialect: Dialect = NativeDialect()
    #: Monotonic clock in seconds that also counts while the machine is
    #: suspended; ``None`` if ``clock`` does.
    boot_clock: Callable[[], float] | None = None

    def read_boot_time(self) -> float:
        """Return the time by the clock that never stops."""
        return (self.boot_clock or self.clock)()


def split_host_port(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def create_environment(
    store: Store, dialect: Dialect | None = None
) -> Environment:
    """Create an environment with real clocks, randomness and connections."""
    return Environment(
        store,
        time.monotonic,
        time.time,
        random.Random(os.urandom(16)),
        dialect=dialect or NativeDialect(),
        boot_clock=lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
    )
