"""Memory that the servers of a node share."""

from typing import NamedTuple

from merlintrail.transport._memory_budget import MemoryBudget
from merlintrail.transport._untaken_answers import UntakenAnswers


class ServerMemory(NamedTuple):
    """Memory of requests and answers on all connections."""

    #: Room for everything that connections hold.
    budget: MemoryBudget
    #: What callers have not taken of their answers.
    answers: UntakenAnswers


def create_memory(
    budget: MemoryBudget | None = None, answers: UntakenAnswers | None = None
) -> ServerMemory:
    """Create the memory of some servers, with the default limits."""
    budget = budget or MemoryBudget()
    return ServerMemory(
        budget, answers or UntakenAnswers(budget.limit_bytes // 2)
    )
