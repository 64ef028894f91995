"""Memory and descriptors that the servers of a node share."""

from typing import Final, NamedTuple

from merlintrail.transport._descriptor_budget import (
    DescriptorBudget,
    create_unlimited_budget,
)
from merlintrail.transport._memory_budget import MemoryBudget
from merlintrail.transport._untaken_answers import UntakenAnswers

#: Connections of a server that are open at the same time, by default.
MAX_CONNECTIONS: Final = 1640
#: Bytes that an accepted connection receives before they are read.
RECEIVE_BUFFER_BYTES: Final = 65536


class PipelineLimits(NamedTuple):
    """Limits on requests that arrive behind others of their connection."""

    #: Requests of all connections that are served beside others of their own.
    #: Each may bring a large answer.
    early_requests: int = 70
    #: Requests a second of all connections that keep others back.
    deep_requests_per_s: float = 250


class ServerMemory(NamedTuple):
    """Memory of requests and answers on all connections, and their number."""

    #: Room for everything that connections hold.
    budget: MemoryBudget
    #: What callers have not taken of their answers.
    answers: UntakenAnswers
    #: Descriptors of all connections, accepted and opened.
    descriptors: DescriptorBudget
    #: Connections of a server that are open at the same time.
    max_connections: int = MAX_CONNECTIONS
    #: Bytes that each of them receives before they are read.
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES
    pipelines: PipelineLimits = PipelineLimits()

    def reserve(self, max_connections: int) -> 'ServerMemory':
        """Return the same memory with descriptors that others cannot take.

        Requests are served in their turn, so that a connection with many of
        them can give way between two.
        """
        return self._replace(
            max_connections=max_connections,
            descriptors=create_unlimited_budget(),
            pipelines=self.pipelines._replace(early_requests=0),
        )


def create_memory(
    budget: MemoryBudget | None = None,
    answers: UntakenAnswers | None = None,
    descriptors: DescriptorBudget | None = None,
) -> ServerMemory:
    """Create the memory of some servers, with the default limits.

    :param descriptors: unlimited by default.
    """
    budget = budget or MemoryBudget()
    return ServerMemory(
        budget,
        answers or UntakenAnswers(budget.limit_bytes // 2),
        descriptors or create_unlimited_budget(),
    )
