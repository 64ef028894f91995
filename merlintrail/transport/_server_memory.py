"""Memory that the servers of a node share."""

from typing import NamedTuple

from merlintrail.transport._body_budget import BodyBudget
from merlintrail.transport._untaken_answers import UntakenAnswers


class ServerMemory(NamedTuple):
    """Memory of requests and answers on all connections."""

    #: Room for the bodies of requests.
    bodies: BodyBudget
    #: What callers have not taken of their answers.
    answers: UntakenAnswers


def create_memory(
    bodies: BodyBudget | None = None, answers: UntakenAnswers | None = None
) -> ServerMemory:
    """Create the memory of some servers, with the default limits."""
    return ServerMemory(bodies or BodyBudget(), answers or UntakenAnswers())
