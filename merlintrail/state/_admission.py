"""AdmissionController to a backend server: slots, a queue by importance, deadlines."""

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
from merlintrail.state._limits import ConcurrencyLimit
from merlintrail.state._shedding import SheddingController, is_shed

#: Weight of a new sample in the mean service time. A rise is followed
#: faster than a fall, so that the queue shortens as soon as calls slow down.
RISE_WEIGHT: Final = 0.2
FALL_WEIGHT: Final = 0.05
#: Weight of a new sample in the service time of one sort of calls.
SORT_WEIGHT: Final = 0.1
#: Part of the usual service time that must be left to begin a call; many
#: calls take less than usual.
MIN_TIME_LEFT: Final = 0.7
#: Service time assumed before the first call, in seconds.
INITIAL_SERVICE_S: Final = 0.005
#: Share of the remaining time that may pass in the queue.
MAX_WAIT_SHARE: Final = 0.5
#: The same for a call below another, whose work would be lost with it.
MAX_WAIT_SHARE_BELOW: Final = 0.8
#: Wait of calls below others, in service times, that shows an overload.
OVERLOAD_WAIT: Final = 0.5
#: Share of the objective that a call may wait before it is refused.
OBJECTIVE_WAIT_SHARE: Final = 0.125
#: Sorts of calls whose service times are kept.
MAX_SORTS: Final = 256
#: Longest pause that a refused caller is asked for, in seconds.
MAX_RETRY_AFTER_S: Final = 5.0


class AdmissionRequest(NamedTuple):
    """What decides on the admission of a call."""

    priority: int
    #: Clock time at which the answer is due.
    deadline: float
    #: Whether the call was made for another that is running.
    is_nested: bool = False
    #: Seconds within which an answer is worth most, if stated.
    objective_s: float | None = None
    #: Sort of call whose service time is kept apart.
    sort: str = ''

    @property
    def queue(self) -> int:
        """NodeLocation of its queue: by class, calls below others first in each."""
        return self.priority // SUBLEVELS * 2 + int(self.is_nested)


class QueuedCall:
    """A call that waits for a slot."""

    def __init__(self, claim: AdmissionRequest, latest_start: float) -> None:
        self.claim = claim
        #: Clock time after which the call could not finish in time.
        self.latest_start = latest_start
        #: Resolves to ``None`` with a slot, or to a refusal.
        self.decision: asyncio.Future[Refusal | None]
        self.decision = asyncio.get_running_loop().create_future()


class AdmissionController:
    """Admits calls to one backend server.

    Calls below others go first within their class and wait longer: with
    them the work already done for their request would be lost. An arrival
    that finds the queue full pushes out the least important call that
    waits. Within a class the newest call goes first while the queue is
    overloaded, so that the queue does not serve calls whose callers are
    about to give up.
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
        self.queue_limit_s = queue_limit_s
        #: Calls that hold a slot.
        self.running = 0
        #: Mean time in seconds for which a call holds its slot.
        self.service_s = INITIAL_SERVICE_S
        self._clock = clock
        self._service_by_sort: dict[str, float] = {}
        self._waiting_below = 0
        self._queues: list[deque[QueuedCall]] = [
            deque() for _ in range(len(Importance) * 2)
        ]

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return sum(len(queue) for queue in self._queues)

    async def admit(self, claim: AdmissionRequest) -> Refusal | None:
        """Wait for a slot.

        :returns: ``None`` with a slot that must be released, or a refusal.
        """
        now = self._clock()
        self.shedder.record_arrival(now, claim.priority)
        refusal = self._check_arrival(now, claim)
        if refusal is not None:
            return refusal
        if self.running < self.limit.limit and not self.queued:
            self._take_slot()
            return None
        self.shedder.record_saturation()
        if not claim.is_nested:
            return await self._wait(claim)
        self._count_waiting(1)
        try:
            return await self._wait(claim)
        finally:
            self._count_waiting(-1)

    def release(self) -> None:
        """Give a slot back and start what waits."""
        self.running -= 1
        self.start_waiting()
        self._observe()

    def start_waiting(self) -> None:
        """Give free slots to waiting calls."""
        while self.running < self.limit.limit:
            call = self._take_next()
            if call is None:
                return
            self._take_slot()
            call.decision.set_result(None)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse every call that waits."""
        for queue in self._queues:
            while queue:
                waiting = queue.popleft()
                if not waiting.decision.done():
                    waiting.decision.set_result(self._refuse(reason))

    def record_service(self, held_s: float, sort: str = '') -> None:
        """Take the time for which a completed call held its slot."""
        self.shedder.record_completion(self.service_s)
        self.service_s = _follow(self.service_s, held_s)
        if len(self._service_by_sort) > MAX_SORTS:
            self._service_by_sort.clear()
        known_s = self._service_by_sort.get(sort, held_s)
        self._service_by_sort[sort] = known_s + (held_s - known_s) * SORT_WEIGHT

    def estimate_least_service(self, sort: str) -> float:
        """Estimate the seconds that a call needs at least."""
        usual_s = self._service_by_sort.get(sort, self.service_s)
        return usual_s * MIN_TIME_LEFT

    def estimate_wait(self, claim: AdmissionRequest) -> float:
        """Estimate the seconds until a call would start."""
        ahead = sum(len(queue) for queue in self._queues[claim.queue :])
        if self.running < self.limit.limit and not ahead:
            return 0.0
        return (ahead + 1) * self.service_s / self.limit.limit

    def _check_arrival(
        self, now: float, claim: AdmissionRequest
    ) -> Refusal | None:
        wait_s = self.estimate_wait(claim)
        if claim.is_nested and wait_s > self.service_s * OVERLOAD_WAIT:
            self.shedder.record_overflow()
        service_s = self.estimate_least_service(claim.sort)
        if now + wait_s + service_s > claim.deadline:
            if wait_s > 0:
                self.shedder.record_overflow()
                self._give_up_lesser(claim)
            return self._refuse(Reason.DEADLINE)
        level = self.shedder.read_level(now)
        is_free = self.running < self.limit.limit and not self.queued
        if claim.is_nested or is_free:
            return None
        if is_shed(claim.priority, level):
            return self._refuse(Reason.OVERLOAD)
        return None

    async def _wait(self, claim: AdmissionRequest) -> Refusal | None:
        service_s = self.estimate_least_service(claim.sort)
        call = QueuedCall(claim, claim.deadline - service_s)
        if not self._make_room(call):
            self.shedder.record_overflow()
            return self._refuse(Reason.OVERLOAD)
        self._queues[claim.queue].append(call)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            max(0.0, call.latest_start - self._clock()),
            self._expire,
            call,
        )
        try:
            return await call.decision
        except asyncio.CancelledError:
            self._abandon(call)
            raise
        finally:
            timer.cancel()

    def _make_room(self, call: QueuedCall) -> bool:
        """Push out lesser calls, or refuse when as important ones fill it."""
        room = self._compute_room(call)
        ahead = sum(len(queue) for queue in self._queues[call.claim.queue :])
        if ahead >= room:
            self._give_up_lesser(call.claim)
            return False
        lesser = [queue for queue in self._list_lesser(call.claim) if queue]
        if self.queued >= room and lesser:
            self.shedder.record_overflow()
            pushed_out = lesser[0].popleft()
            pushed_out.decision.set_result(self._refuse(Reason.OVERLOAD))
        return True

    def _list_lesser(self, claim: AdmissionRequest) -> list[deque[QueuedCall]]:
        """Return the queues of lesser classes, but of calls below others."""
        own_class = claim.priority // SUBLEVELS
        return self._queues[: own_class * 2 : 2]

    def _give_up_lesser(self, claim: AdmissionRequest) -> None:
        """Refuse what waits behind calls that are refused themselves."""
        for queue in self._list_lesser(claim):
            while queue:
                call = queue.popleft()
                call.decision.set_result(self._refuse(Reason.OVERLOAD))

    def _compute_room(self, call: QueuedCall) -> int:
        """Return how many calls may wait before the call is refused.

        The most important calls may spend a share of their remaining time
        in the queue, and calls below others a larger one; others only a
        share of their objective or the configured wait, or one service time
        when calls take longer than that.
        """
        claim = call.claim
        remaining_s = call.latest_start - self._clock()
        allowed_s = remaining_s * MAX_WAIT_SHARE
        if claim.is_nested:
            allowed_s = remaining_s * MAX_WAIT_SHARE_BELOW
        elif claim.priority < Importance.CRITICAL * SUBLEVELS:
            allowed_s = min(self._limit_wait(claim), allowed_s)
        return max(1, int(allowed_s * self.limit.limit / self.service_s))

    def _limit_wait(self, claim: AdmissionRequest) -> float:
        if claim.objective_s is not None:
            return claim.objective_s * OBJECTIVE_WAIT_SHARE
        return max(self.queue_limit_s, self.service_s / 2)

    def _take_next(self) -> QueuedCall | None:
        for place in range(len(self._queues) - 1, -1, -1):
            queue = self._queues[place]
            is_nested = place % 2 == 1
            while queue:
                is_overloaded = len(queue) > self.limit.limit and not is_nested
                call = queue.pop() if is_overloaded else queue.popleft()
                if not call.decision.done():
                    return call
        return None

    def _expire(self, call: QueuedCall) -> None:
        if not call.decision.done():
            self._remove(call)
            self.shedder.record_overflow()
            call.decision.set_result(self._refuse(Reason.DEADLINE))

    def _abandon(self, call: QueuedCall) -> None:
        if call.decision.done() and not call.decision.cancelled():
            if call.decision.result() is None:
                self.release()
        else:
            self._remove(call)

    def _remove(self, call: QueuedCall) -> None:
        queue = self._queues[call.claim.queue]
        if call in queue:
            queue.remove(call)

    def _refuse(self, reason: Reason) -> Refusal:
        pause_s = self.service_s * (self.queued + 1) / self.limit.limit
        return Refusal(
            Outcome.NOT_RUN,
            reason,
            retry_after_s=min(MAX_RETRY_AFTER_S, 1.0 + pause_s),
        )

    def _take_slot(self) -> None:
        self.running += 1
        self._observe()

    def _count_waiting(self, change: int) -> None:
        self._waiting_below += change
        self._observe()

    def _observe(self) -> None:
        self.shedder.record_occupancy(
            self._clock(), self.running, self._waiting_below, self.limit.limit
        )


def _follow(mean_s: float, sample_s: float) -> float:
    """Return a mean that follows a rise faster than a fall."""
    difference = sample_s - mean_s
    weight = RISE_WEIGHT if difference > 0 else FALL_WEIGHT
    return mean_s + difference * weight
