"""Memory that the servers of a node share."""

from typing import Final, NamedTuple

from merlintrail.transport._memory_budget import MemoryBudget
from merlintrail.transport._untaken_answers import UntakenAnswers


#: Connections of a server that are open at the same time, by default.
MAX_CONNECTIONS: Final = 1640
#: Bytes that an accepted connection receives before they are read.
RECEIVE_BUFFER_BYTES: Final = 65536


class ServerMemory(NamedTuple):
    """Memory of requests and answers on all connections, and their number."""

    #: Room for everything that connections hold.
    budget: MemoryBudget
    #: What callers have not taken of their answers.
    answers: UntakenAnswers
    #: Connections of a server that are open at the same time.
    max_connections: int = MAX_CONNECTIONS
    #: Bytes that each of them receives before they are read.
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES


def create_memory(
    budget: MemoryBudget | None = None, answers: UntakenAnswers | None = None
) -> ServerMemory:
    """Create the memory of some servers, with the default limits."""
    budget = budget or MemoryBudget()
    return ServerMemory(
        budget, answers or UntakenAnswers(budget.limit_bytes // 2)
    )
