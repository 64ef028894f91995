"""Admission control of a backend server: slots, queues and deadlines."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.protocol import (
    SUBLEVELS,
    Importance,
    Outcome,
    Reason,
    Refusal,
)
from merlintrail.state._call_queues import (
    AdmissionRequest,
    CallQueues,
    QueuedCall,
)
from merlintrail.state._demand import is_shed
from merlintrail.state._limits import ConcurrencyLimit
from merlintrail.state._rate_limit import RateLimit
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
#: Seconds after which a caller is asked to retry at least after an overload.
MIN_OVERLOAD_PAUSE_S: Final = 1.0
#: Longest time in seconds after which a refused caller is asked to retry.
MAX_RETRY_AFTER_S: Final = 5.0


class AdmissionController:
    """Admits calls to one backend server.

    Calls that find no free slot, or the stated rate limit used up, wait in
    queues by importance (see :class:`CallQueues`). Nested calls may wait
    longer than other calls and are never evicted, because the work already
    done for their request would be wasted.

    A call that finds the queue full evicts the oldest waiting call of the
    lowest importance below its own that is not nested. If calls of its own
    and higher precedence fill the queue, it is refused instead.
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
        #: Calls per second that the backend server states to take.
        self.rate_limit = RateLimit()
        #: Starts waiting calls when the rate limit permits the next one.
        self._start_timer: asyncio.TimerHandle | None = None
        self._queues = CallQueues()

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queues)

    async def admit(self, request: AdmissionRequest) -> Refusal | None:
        """Wait for a slot.

        :returns: ``None`` if the call got a slot, which has to be released
            after it, or a refusal.
        """
        now = self._clock()
        self.shedder.record_arrival(now, request.priority)
        self.rate_limit.record_arrival(now)
        refusal = self._check_arrival(now, request)
        if refusal is not None:
            return refusal
        if self._can_start(now) and not self.queued:
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

    def update_rate_limit(self, rate: float | None) -> None:
        """Set the calls per second that may start, ``None`` for no limit."""
        self.rate_limit.update(rate, self._clock())
        self.shedder.rate_limit = self.rate_limit.rate
        self.start_waiting()
        self._report_occupancy()

    def start_waiting(self) -> None:
        """Start waiting calls, as slots and the rate limit permit."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        while self.running < self.limit.limit and self.queued:
            delay_s = self.rate_limit.compute_delay(self._clock())
            if delay_s > 0:
                self._start_timer = asyncio.get_running_loop().call_later(
                    delay_s, self.start_waiting
                )
                return
            call = self._queues.take_next(self.limit.limit)
            if call is None:
                return
            if call.latest_start < self._clock():
                # Its timer is late, as after a pause of the process.
                self._expire(call)
                continue
            self._take_slot()
            call.decision.set_result(None)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse all waiting calls."""
        for call in self._queues.take_all():
            call.decision.set_result(self._refuse(reason))

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
        ahead = self._queues.count_ahead(request)
        rate_delay_s = self.rate_limit.compute_delay(self._clock(), ahead)
        if self.running < self.limit.limit and not ahead:
            return rate_delay_s
        return max(
            rate_delay_s, (ahead + 1) * self.service_s / self.limit.limit
        )

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
        is_free = self._can_start(now) and not self.queued
        if request.is_nested or is_free:
            return None
        if is_shed(request.priority, level):
            return self._refuse(Reason.OVERLOAD)
        return None

    def _can_start(self, now: float) -> bool:
        """Return whether a slot is free and the rate limit not used up."""
        return (
            self.running < self.limit.limit
            and self.rate_limit.compute_delay(now) <= 0
        )

    async def _wait(self, request: AdmissionRequest) -> Refusal | None:
        service_s = self.estimate_min_service_time(request.call_class)
        call = QueuedCall(request, request.deadline - service_s)
        if not self._make_room(call):
            self.shedder.record_overflow()
            return self._refuse(Reason.OVERLOAD)
        self._queues.append(call)
        self.start_waiting()
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
        max_wait_s = self._compute_max_wait(call)
        # What is served within the longest wait (Little's law).
        capacity = max(1, int(max_wait_s * self._compute_throughput()))
        ahead = self._queues.count_ahead(call.request)
        rate_delay_s = self.rate_limit.compute_delay(self._clock(), ahead)
        if ahead >= capacity or rate_delay_s > max_wait_s:
            self._evict_lower_classes(call.request)
            return False
        if self.queued >= capacity:
            self._evict_lowest(call.request)
        return True

    def _evict_lowest(self, request: AdmissionRequest) -> None:
        """Refuse the oldest waiting call of the lowest importance."""
        evicted = next(self._queues.take_lower(request), None)
        if evicted is not None:
            self.shedder.record_overflow()
            evicted.decision.set_result(self._refuse(Reason.OVERLOAD))

    def _evict_lower_classes(self, request: AdmissionRequest) -> None:
        """Refuse waiting calls of lower importance than a refused call.

        Otherwise they would be served although a more important call was
        refused. Nested calls are exempt.
        """
        for call in self._queues.take_lower(request):
            call.decision.set_result(self._refuse(Reason.OVERLOAD))

    def _compute_throughput(self) -> float:
        """Return the calls per second that slots and rate limit permit."""
        throughput = self.limit.limit / self.service_s
        if self.rate_limit.rate is None:
            return throughput
        return min(throughput, self.rate_limit.rate)

    def _compute_max_wait(self, call: QueuedCall) -> float:
        """Return the longest time in seconds that a call may wait.

        It is a share of the remaining time, which is larger for nested calls.
        Calls that are neither nested nor critical are further limited by
        their objective, or by the configured queue limit, which is raised to
        half of the average service time when that is longer.
        """
        request = call.request
        remaining_s = call.latest_start - self._clock()
        max_wait_s = remaining_s * MAX_WAIT_SHARE
        if request.is_nested:
            max_wait_s = remaining_s * MAX_NESTED_WAIT_SHARE
        elif request.priority < Importance.CRITICAL * SUBLEVELS:
            wait_limit_s = max(self.queue_limit_s, self.service_s / 2)
            if request.objective_s is not None:
                wait_limit_s = request.objective_s * OBJECTIVE_WAIT_SHARE
            max_wait_s = min(wait_limit_s, max_wait_s)
        return max_wait_s

    def _expire(self, call: QueuedCall) -> None:
        """Refuse a call that has waited until its latest start."""
        if not call.decision.done():
            self._queues.remove(call)
            self.shedder.record_overflow()
            call.decision.set_result(self._refuse(Reason.DEADLINE_UNREACHABLE))

    def _handle_cancellation(self, call: QueuedCall) -> None:
        """Release the slot of a cancelled call or remove it from its queue."""
        if call.decision.done() and not call.decision.cancelled():
            if call.decision.result() is None:
                self.release()
        else:
            self._queues.remove(call)

    def _refuse(self, reason: Reason) -> Refusal:
        """Return a refusal whose retry time grows with the queue.

        An overload that is due to the rate limit is named so.
        """
        now = self._clock()
        is_rate_used_up = self.rate_limit.compute_delay(now) > 0
        if reason == Reason.OVERLOAD and is_rate_used_up:
            reason = Reason.RATE_LIMITED
        pause_s = max(
            (self.queued + 1) / self._compute_throughput(),
            self.rate_limit.compute_delay(now, self.queued),
        )
        if reason != Reason.RATE_LIMITED:
            pause_s += MIN_OVERLOAD_PAUSE_S
        return Refusal(
            Outcome.NOT_RUN,
            reason,
            retry_after_s=min(MAX_RETRY_AFTER_S, pause_s),
        )

    def _take_slot(self) -> None:
        self.running += 1
        self.rate_limit.record_start(self._clock())
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
