"""Calls that wait for admission, in queues by importance."""

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import Final, NamedTuple

from merlintrail.protocol import SUBLEVELS, Importance, Refusal

#: Queues by importance and whether they are for nested calls, the one that is
#: served last first. Importance goes first, and within a class nested calls.
#: Nested calls of the lowest class go before others of the next one, because
#: their requests hold slots of other services until they are served.
_QUEUES: Final = (
    (Importance.LOW, False),
    (Importance.NORMAL, False),
    (Importance.LOW, True),
    (Importance.NORMAL, True),
    (Importance.HIGH, False),
    (Importance.HIGH, True),
    (Importance.CRITICAL, False),
    (Importance.CRITICAL, True),
)
_QUEUE_INDEXES: Final = {
    properties: index for index, properties in enumerate(_QUEUES)
}


class AdmissionRequest(NamedTuple):
    """The properties of a call that determine whether it is admitted."""

    priority: int
    #: Clock time at which the answer is due.
    deadline: float
    #: Whether a backend server makes the call while it serves a request.
    is_nested: bool = False
    #: Time in seconds within which an answer has its full value, if stated.
    objective_s: float | None = None
    #: Class of calls with a similar service time; each has its own average.
    call_class: str = ''

    @property
    def queue_index(self) -> int:
        """Index of the queue of the call; higher queues are served first."""
        importance = Importance(self.priority // SUBLEVELS)
        return _QUEUE_INDEXES[importance, self.is_nested]


class QueuedCall:
    """A call that waits for a slot."""

    def __init__(self, request: AdmissionRequest, latest_start: float) -> None:
        self.request = request
        #: Clock time after which the call is not expected to finish in time.
        self.latest_start = latest_start
        #: Resolves to ``None`` when the call gets a slot, or to a refusal.
        self.decision: asyncio.Future[Refusal | None]
        self.decision = asyncio.get_running_loop().create_future()


class CallQueues:
    """Two queues for each importance class, one of them for nested calls.

    Calls are served in last-in, first-out order while their queue holds more
    calls than there are slots. First-in, first-out order would then spend the
    slots on calls whose callers are about to time out. With nested calls, all
    requests would wait at each of their calls, and hardly any would finish;
    this way those whose first calls were served soon go through.
    """

    def __init__(self) -> None:
        self._queues: list[deque[QueuedCall]] = [deque() for _ in _QUEUES]

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(queue) for queue in self._queues)

    def append(self, call: QueuedCall) -> None:
        """Add a call."""
        self._queues[call.request.queue_index].append(call)

    def remove(self, call: QueuedCall) -> None:
        """Remove a call if it still waits."""
        queue = self._queues[call.request.queue_index]
        if call in queue:
            queue.remove(call)

    def count_ahead(self, request: AdmissionRequest) -> int:
        """Return how many waiting calls are served before a new one."""
        return sum(len(queue) for queue in self._queues[request.queue_index :])

    def take_next(self, slots: int) -> QueuedCall | None:
        """Remove and return the call that is to be served next."""
        for queue in reversed(self._queues):
            while queue:
                is_overloaded = len(queue) > slots
                call = queue.pop() if is_overloaded else queue.popleft()
                if not call.decision.done():
                    return call
        return None

    def take_all(self) -> Iterator[QueuedCall]:
        """Remove and yield all calls that are not decided yet."""
        for queue in self._queues:
            while queue:
                call = queue.popleft()
                if not call.decision.done():
                    yield call

    def take_lower(self, request: AdmissionRequest) -> Iterator[QueuedCall]:
        """Remove and yield the calls of lower importance, the lowest first.

        Nested calls are exempt.
        """
        own_class = request.priority // SUBLEVELS
        for importance in Importance:
            if importance >= own_class:
                return
            queue = self._queues[_QUEUE_INDEXES[importance, False]]
            while queue:
                yield queue.popleft()
