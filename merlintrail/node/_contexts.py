"""Calls running in the local backend servers, by context token."""

import asyncio
import random
from typing import Final

from merlintrail.protocol import CallHeader, Dialect
from merlintrail.state import RetryAccount
from merlintrail.transport import HeaderList

#: Maximum depth of a chain of nested calls.
MAX_DEPTH: Final = 32


class ParentCall:
    """A call running in a backend server, the parent of its nested calls."""

    def __init__(self, token: str, header: CallHeader, deadline: float) -> None:
        #: Opaque context that the backend server copies to its nested calls.
        self.token = token
        self.header = header
        #: Clock time of the deadline.
        self.deadline = deadline
        #: Retries left to the nested calls.
        self.account = RetryAccount(header.retries)
        #: Shedding levels that the nested calls reported, by service and data
        #: centre.
        self.downstream_levels: dict[str, int] = {}
        #: Whether a nested call was refused or failed without an answer.
        self.has_failed_nested_call = False
        #: Whether the backend server's own answer says that it failed.
        self.has_failed = False
        #: Number of nested calls, over the whole call tree.
        self.nested_calls = 0
        #: Whether the call has ended, and its nested calls with it.
        self.has_ended = False
        #: Digests of the nested calls made so far.
        self.digests: set[str] = set()
        self._nested_tasks: set[asyncio.Task[object]] = set()
        self._nested_since: float | None = None
        self._nested_time_s = 0.0

    def begin_nested_call(self, now: float) -> None:
        """Record that a nested call begins in the current task."""
        task = asyncio.current_task()
        if task is not None:
            self._nested_tasks.add(task)
        if self._nested_since is None:
            self._nested_since = now

    def end_nested_call(self, now: float) -> None:
        """Record that the nested call in the current task has ended."""
        task = asyncio.current_task()
        if task is not None:
            self._nested_tasks.discard(task)
        if not self._nested_tasks and self._nested_since is not None:
            self._nested_time_s += now - self._nested_since
            self._nested_since = None

    def compute_own_time(self, duration_s: float) -> float:
        """Return the time not spent waiting for nested calls.

        :param duration_s: seconds for which the call ran.
        """
        return max(0.0, duration_s - self._nested_time_s)

    def cancel_nested_calls(self) -> None:
        """Cancel the nested calls in progress, as the call has ended."""
        self.has_ended = True
        for task in tuple(self._nested_tasks):
            task.cancel()


def get_call_class(header: CallHeader) -> str:
    """Return the class by which service times of calls are averaged."""
    return f'{header.kind} {header.depth}'


class ContextTable:
    """Running calls by context token, to find the parent of a nested call."""

    def __init__(self, dialect: Dialect, rng: random.Random) -> None:
        self._dialect = dialect
        self._rng = rng
        self._parents: dict[str, ParentCall] = {}

    def __len__(self) -> int:
        """Return the number of running calls."""
        return len(self._parents)

    def open(
        self, header: CallHeader, deadline: float, headers: HeaderList
    ) -> ParentCall:
        """Create the context of a call that starts in a backend server.

        :param headers: headers that are sent to the backend server.
        """
        token = self._dialect.create_token(headers, self._rng)
        parent = ParentCall(token, header, deadline)
        self._parents[token] = parent
        return parent

    def find(self, token: str) -> ParentCall | None:
        """Return the running call of a token, ``None`` if there is none."""
        return self._parents.get(token)

    def close(self, parent: ParentCall) -> None:
        """Remove a call that ended and cancel its nested calls."""
        if self._parents.get(parent.token) is parent:
            del self._parents[parent.token]
        parent.cancel_nested_calls()
