"""Promises that a soak of connections checks."""

import abc
from collections.abc import Iterator, Mapping, Sequence
from typing import Final, NamedTuple

from merlintrail.bench.connection_soak._requests import (
    RequestEnd,
    SoakRequest,
)

#: Seconds after its last byte within which the close of a connection may have
#: crossed a request.
CROSSING_S: Final = 0.2
_LOST_ENDS: Final = frozenset(
    (
        RequestEnd.CUT,
        RequestEnd.UNANSWERED,
        RequestEnd.BEHIND,
        RequestEnd.TIMED_OUT,
    )
)


class ConnectionHistory(NamedTuple):
    """What callers saw and what backend servers ran."""

    requests: Sequence[SoakRequest]
    #: Times that each request began to run, by its label.
    runs: Mapping[str, int]


class Rule(abc.ABC):
    """A promise and how a history breaks it."""

    @abc.abstractmethod
    def find(self, history: ConnectionHistory) -> Iterator[str]:
        """Describe each request for which the promise is broken."""


class LostRule(Rule):
    """A request that was taken gets a whole answer.

    One that was not passed on, and that the close of its connection crossed or
    that stood behind others, may go without.
    """

    def find(self, history: ConnectionHistory) -> Iterator[str]:
        """Describe the requests that were lost."""
        for request in history.requests:
            if request.end not in _LOST_ENDS:
                continue
            waited_s = request.ended_at - request.sent_at
            is_first = request.number == 1 and waited_s > CROSSING_S
            if is_first or history.runs.get(request.label):
                yield f'lost: {request.describe()}'


class RefusedRule(Rule):
    """A request that was refused as not run does not run."""

    def find(self, history: ConnectionHistory) -> Iterator[str]:
        """Describe the requests that ran although they were refused."""
        for request in history.requests:
            if request.is_refused and history.runs.get(request.label):
                yield f'ran although refused: {request.describe()}'


class TwiceRule(Rule):
    """A request that is not idempotent runs once."""

    def __init__(self, callers: frozenset[str]) -> None:
        """Initialize the rule.

        :param callers: kinds of callers whose requests are not idempotent.
        """
        self._callers = callers

    def find(self, history: ConnectionHistory) -> Iterator[str]:
        """Describe the requests that ran more than once."""
        for request in history.requests:
            runs = history.runs.get(request.label, 0)
            if request.caller in self._callers and runs > 1:
                yield f'ran {runs} times: {request.describe()}'


def create_rules() -> Sequence[Rule]:
    """Create all rules."""
    return (
        LostRule(),
        RefusedRule(),
        TwiceRule(frozenset(('kept', 'slow-body'))),
    )
