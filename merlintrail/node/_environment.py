"""What a node takes from outside."""

import os
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from merlintrail.coordination import Store
from merlintrail.protocol import Dialect, NativeDialect
from merlintrail.transport import ConnectionPool, create_pool


class Environment(NamedTuple):
    """What a node takes from outside, so that tests can replace it."""

    store: Store
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    source: random.Random
    #: Creates pools of connections to nodes and backend servers.
    create_pool: Callable[[], ConnectionPool] = create_pool
    #: Contract with callers and backend servers.
    dialect: Dialect = NativeDialect()


def split_host_port(address: str) -> tuple[str, int]:
    """Split a listening address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def create_environment(
    store: Store, dialect: Dialect | None = None
) -> Environment:
    """Create the environment of a real process."""
    return Environment(
        store,
        time.monotonic,
        time.time,
        random.Random(os.urandom(16)),
        dialect=dialect or NativeDialect(),
    )
