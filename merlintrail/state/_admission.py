"""Admission control of a backend server: slots, queues and deadlines."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.protocol import (
    SUBLEVELS,
    Importance,
    Outcome,
    Reason,
    Refusal,
)
from merlintrail.state._demand import is_shed
from merlintrail.state._limits import ConcurrencyLimit
from merlintrail.state._shedding import SheddingController

#: Weights of a new sample in the moving average of the service time. An
#: increase is followed faster than a decrease, so that the queue becomes
#: shorter as soon as calls slow down.
INCREASE_WEIGHT: Final = 0.2
DECREASE_WEIGHT: Final = 0.05
#: Weight of a new sample in the average service time of one call class.
CALL_CLASS_WEIGHT: Final = 0.1
#: Share of the average service time that must remain before the deadline
#: for a call to start. It is below 1 because many calls take less time than
#: the average.
MIN_SERVICE_TIME_SHARE: Final = 0.7
#: Average service time in seconds that is assumed before the first sample.
INITIAL_SERVICE_S: Final = 0.005
#: Largest share of its remaining time that a call may wait in the queue.
MAX_WAIT_SHARE: Final = 0.5
#: The same for a nested call. It is larger because the refusal of a nested
#: call wastes the work already done for its request.
MAX_NESTED_WAIT_SHARE: Final = 0.8
#: Largest share of its objective that a call may wait in the queue.
OBJECTIVE_WAIT_SHARE: Final = 0.125
#: Number of call classes above which the averages by class are discarded.
MAX_CALL_CLASSES: Final = 256
#: Longest time in seconds after which a refused caller is asked to retry.
MAX_RETRY_AFTER_S: Final = 5.0


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


class AdmissionController:
    """Admits calls to one backend server.

    Calls that find no free slot wait in queues, two for each importance
    class, of which one is for nested calls (see ``_QUEUES``). Nested calls
    may also wait longer than other calls and are never evicted, because the
    work already done for their request would be wasted.

    A call that finds the queue full evicts the oldest waiting call of the
    lowest importance below its own that is not nested. If calls of its own
    and higher precedence fill the queue, it is refused instead.

    Calls that are not nested are served in last-in, first-out order while
    their queue holds more calls than there are slots. First-in, first-out
    order would then spend the slots on calls whose callers are about to
    time out.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        shedder: SheddingController,
        clock: Callable[[], float],
        queue_limit_s: float,
    ) -> None:
        self.limit = limit
        self.shedder = shedder
        #: Configured limit in seconds on the wait of a call that is neither
        #: nested nor critical and states no objective.
        self.queue_limit_s = queue_limit_s
        #: Number of calls that hold a slot.
        self.running = 0
        #: Average time in seconds for which a call holds its slot.
        self.service_s = INITIAL_SERVICE_S
        self._clock = clock
        self._service_by_class: dict[str, float] = {}
        self._waiting_nested = 0
        self._queues: list[deque[QueuedCall]] = [deque() for _ in _QUEUES]

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return sum(len(queue) for queue in self._queues)

    async def admit(self, request: AdmissionRequest) -> Refusal | None:
        """Wait for a slot.

        :returns: ``None`` if the call got a slot, which has to be released
            after it, or a refusal.
        """
        now = self._clock()
        self.shedder.record_arrival(now, request.priority)
        refusal = self._check_arrival(now, request)
        if refusal is not None:
            return refusal
        if self.running < self.limit.limit and not self.queued:
            self._take_slot()
            return None
        if not request.is_nested:
            return await self._wait(request)
        self._update_waiting_nested(1)
        try:
            return await self._wait(request)
        finally:
            self._update_waiting_nested(-1)

    def release(self) -> None:
        """Release a slot and start waiting calls."""
        self.running -= 1
        self.start_waiting()
        self._report_occupancy()

    def start_waiting(self) -> None:
        """Assign free slots to waiting calls."""
        while self.running < self.limit.limit:
            call = self._take_next()
            if call is None:
                return
            self._take_slot()
            call.decision.set_result(None)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse all waiting calls."""
        for queue in self._queues:
            while queue:
                waiting = queue.popleft()
                if not waiting.decision.done():
                    waiting.decision.set_result(self._refuse(reason))

    def record_service(self, held_s: float, call_class: str = '') -> None:
        """Record the time for which a completed call held its slot."""
        self.shedder.record_completion(held_s)
        self.service_s = _update_average(self.service_s, held_s)
        if len(self._service_by_class) > MAX_CALL_CLASSES:
            self._service_by_class.clear()
        average_s = self._service_by_class.get(call_class, held_s)
        self._service_by_class[call_class] = (
            average_s + (held_s - average_s) * CALL_CLASS_WEIGHT
        )

    def estimate_min_service_time(self, call_class: str) -> float:
        """Return the least time in seconds that a call is expected to take."""
        average_s = self._service_by_class.get(call_class, self.service_s)
        return average_s * MIN_SERVICE_TIME_SHARE

    def estimate_wait(self, request: AdmissionRequest) -> float:
        """Return the expected time in seconds until a call gets a slot."""
        ahead = sum(len(queue) for queue in self._queues[request.queue_index :])
        if self.running < self.limit.limit and not ahead:
            return 0.0
        return (ahead + 1) * self.service_s / self.limit.limit

    def _check_arrival(
        self, now: float, request: AdmissionRequest
    ) -> Refusal | None:
        """Refuse a call that would miss its deadline or is shed.

        Nested calls are never shed, nor are calls that find a free slot.
        """
        wait_s = self.estimate_wait(request)
        service_s = self.estimate_min_service_time(request.call_class)
        if now + wait_s + service_s > request.deadline:
            if wait_s > 0:
                self.shedder.record_overflow()
                self._evict_lower_classes(request)
            return self._refuse(Reason.DEADLINE_UNREACHABLE)
        level = self.shedder.read_level(now)
        is_free = self.running < self.limit.limit and not self.queued
        if request.is_nested or is_free:
            return None
        if is_shed(request.priority, level):
            return self._refuse(Reason.OVERLOAD)
        return None

    async def _wait(self, request: AdmissionRequest) -> Refusal | None:
        service_s = self.estimate_min_service_time(request.call_class)
        call = QueuedCall(request, request.deadline - service_s)
        if not self._make_room(call):
            self.shedder.record_overflow()
            return self._refuse(Reason.OVERLOAD)
        self._queues[request.queue_index].append(call)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            max(0.0, call.latest_start - self._clock()),
            self._expire,
            call,
        )
        try:
            return await call.decision
        except asyncio.CancelledError:
            self._handle_cancellation(call)
            raise
        finally:
            timer.cancel()

    def _make_room(self, call: QueuedCall) -> bool:
        """Make room for a call in the queue, if need be by an eviction.

        :returns: ``False`` if the calls that would be served before it
            already fill the queue.
        """
        capacity = self._compute_queue_capacity(call)
        ahead = sum(
            len(queue) for queue in self._queues[call.request.queue_index :]
        )
        if ahead >= capacity:
            self._evict_lower_classes(call.request)
            return False
        lower = [
            queue for queue in self._list_lower_queues(call.request) if queue
        ]
        if self.queued >= capacity and lower:
            self.shedder.record_overflow()
            evicted = lower[0].popleft()
            evicted.decision.set_result(self._refuse(Reason.OVERLOAD))
        return True

    def _list_lower_queues(
        self, request: AdmissionRequest
    ) -> list[deque[QueuedCall]]:
        """Return the queues of lower importance without nested calls."""
        own_class = request.priority // SUBLEVELS
        return [
            self._queues[_QUEUE_INDEXES[importance, False]]
            for importance in Importance
            if importance < own_class
        ]

    def _evict_lower_classes(self, request: AdmissionRequest) -> None:
        """Refuse waiting calls of lower importance than a refused call.

        Otherwise they would be served although a more important call was
        refused. Nested calls are exempt.
        """
        for queue in self._list_lower_queues(request):
            while queue:
                call = queue.popleft()
                call.decision.set_result(self._refuse(Reason.OVERLOAD))

    def _compute_queue_capacity(self, call: QueuedCall) -> int:
        """Return the number of waiting calls at which the queue is full.

        It is the number of calls that the slots are expected to serve within
        the longest wait permitted to the call (Little's law). That wait is a
        share of the remaining time, which is larger for nested calls. Calls
        that are neither nested nor critical are further limited by their
        objective or by the configured queue limit.
        """
        request = call.request
        remaining_s = call.latest_start - self._clock()
        max_wait_s = remaining_s * MAX_WAIT_SHARE
        if request.is_nested:
            max_wait_s = remaining_s * MAX_NESTED_WAIT_SHARE
        elif request.priority < Importance.CRITICAL * SUBLEVELS:
            max_wait_s = min(self._compute_wait_limit(request), max_wait_s)
        return max(1, int(max_wait_s * self.limit.limit / self.service_s))

    def _compute_wait_limit(self, request: AdmissionRequest) -> float:
        """Return the wait in seconds that the objective or settings permit.

        The configured limit is raised to half of the average service time
        when that is longer.
        """
        if request.objective_s is not None:
            return request.objective_s * OBJECTIVE_WAIT_SHARE
        return max(self.queue_limit_s, self.service_s / 2)

    def _take_next(self) -> QueuedCall | None:
        """Remove and return the call that is to be served next."""
        for (_, is_nested), queue in zip(
            reversed(_QUEUES), reversed(self._queues), strict=True
        ):
            while queue:
                is_overloaded = len(queue) > self.limit.limit and not is_nested
                call = queue.pop() if is_overloaded else queue.popleft()
                if not call.decision.done():
                    return call
        return None

    def _expire(self, call: QueuedCall) -> None:
        """Refuse a call that has waited until its latest start."""
        if not call.decision.done():
            self._remove(call)
            self.shedder.record_overflow()
            call.decision.set_result(self._refuse(Reason.DEADLINE_UNREACHABLE))

    def _handle_cancellation(self, call: QueuedCall) -> None:
        """Release the slot of a cancelled call or remove it from its queue."""
        if call.decision.done() and not call.decision.cancelled():
            if call.decision.result() is None:
                self.release()
        else:
            self._remove(call)

    def _remove(self, call: QueuedCall) -> None:
        queue = self._queues[call.request.queue_index]
        if call in queue:
            queue.remove(call)

    def _refuse(self, reason: Reason) -> Refusal:
        """Return a refusal whose retry time grows with the queue."""
        pause_s = self.service_s * (self.queued + 1) / self.limit.limit
        return Refusal(
            Outcome.NOT_RUN,
            reason,
            retry_after_s=min(MAX_RETRY_AFTER_S, 1.0 + pause_s),
        )

    def _take_slot(self) -> None:
        self.running += 1
        self._report_occupancy()

    def _update_waiting_nested(self, change: int) -> None:
        self._waiting_nested += change
        self._report_occupancy()

    def _report_occupancy(self) -> None:
        self.shedder.record_occupancy(
            self._clock(), self.running, self._waiting_nested, self.limit.limit
        )


def _update_average(average_s: float, sample_s: float) -> float:
    """Return a moving average that follows increases faster."""
    difference = sample_s - average_s
    weight = INCREASE_WEIGHT if difference > 0 else DECREASE_WEIGHT
    return average_s + difference * weight
