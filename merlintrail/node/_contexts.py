"""Calls running in the own backend server, by their context token."""

import asyncio
import random
from typing import Final

from merlintrail.protocol import CallHeader, Dialect
from merlintrail.state import RetryAccount
from merlintrail.transport import HeaderList

#: Calls that a request may be deep.
MAX_DEPTH: Final = 32


class ParentCall:
    """A call running in the backend server, parent of the calls it makes."""

    def __init__(self, token: str, header: CallHeader, deadline: float) -> None:
        #: Opaque context that the backend server copies.
        self.token = token
        self.header = header
        #: Clock time at which the answer is due.
        self.deadline = deadline
        #: Retries for the calls below.
        self.account = RetryAccount(header.retries)
        #: Shedding levels of services below, by name.
        self.path_levels: dict[str, int] = {}
        #: Whether a call below was refused or failed.
        self.has_failed_nested_call = False
        #: Whether the backend server's own answer says that it failed.
        self.has_failed = False
        #: Calls made below, over the whole tree.
        self.nested_calls = 0
        #: Digests of the calls made so far.
        self.digests: set[str] = set()
        self._nested_tasks: set[asyncio.Task[object]] = set()
        self._nested_since: float | None = None
        self._nested_time_s = 0.0

    def begin_nested_call(self, now: float) -> None:
        """Note that a call below begins in the current task."""
        task = asyncio.current_task()
        if task is not None:
            self._nested_tasks.add(task)
        if self._nested_since is None:
            self._nested_since = now

    def end_nested_call(self, now: float) -> None:
        """Note that the call below in the current task has ended."""
        task = asyncio.current_task()
        if task is not None:
            self._nested_tasks.discard(task)
        if not self._nested_tasks and self._nested_since is not None:
            self._nested_time_s += now - self._nested_since
            self._nested_since = None

    def compute_own_time(self, duration_s: float) -> float:
        """Return the time not spent waiting for calls below."""
        return max(0.0, duration_s - self._nested_time_s)

    def cancel_nested_calls(self) -> None:
        """End the calls below."""
        for task in tuple(self._nested_tasks):
            task.cancel()


def get_call_class(header: CallHeader) -> str:
    """Name the sort of a call: calls of one sort take about as long."""
    return f'{header.kind} {header.depth}'


class ContextTable:
    """Finds the parent of a call by the token that it carries."""

    def __init__(self, dialect: Dialect, rng: random.Random) -> None:
        self._dialect = dialect
        self._rng = rng
        self._parents: dict[str, ParentCall] = {}

    def __len__(self) -> int:
        """Return the number of calls running."""
        return len(self._parents)

    def open(
        self, header: CallHeader, deadline: float, headers: HeaderList
    ) -> ParentCall:
        """Begin a call in the backend server.

        :param headers: the headers that go to the backend server.
        """
        token = self._dialect.create_token(headers, self._rng)
        parent = ParentCall(token, header, deadline)
        self._parents[token] = parent
        return parent

    def find(self, token: str) -> ParentCall | None:
        """Return the call that a token stands for, while it runs."""
        return self._parents.get(token)

    def close(self, parent: ParentCall) -> None:
        """End a call and everything below it."""
        if self._parents.get(parent.token) is parent:
            del self._parents[parent.token]
        parent.cancel_nested_calls()
