"""Calls that a node has received, by identifier."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.protocol import InquiryState
from merlintrail.transport import HttpResponse

#: Seconds beyond a call's deadline for which an inquiry about it may arrive.
INQUIRY_MARGIN_S: Final = 5.0
#: Seconds for which the answer to a finished call is kept for inquiries.
ANSWER_RETENTION_S: Final = 15.0
#: Seconds for which a call is rejected after an inquiry that preceded it.
TOMBSTONE_RETENTION_S: Final = 120.0
#: Largest total memory in bytes of the kept answers, heads included; the
#: oldest are dropped first.
MAX_ANSWER_BYTES: Final = 8388608
#: Largest number of finished calls that are remembered, and of tombstones.
MAX_CALLS: Final = 20000


class CallRecord(NamedTuple):
    """State of one call, as an inquiry gets it."""

    state: InquiryState
    #: ``None`` unless the call finished and its answer is still kept.
    answer: HttpResponse | None = None


class _KeptAnswer(NamedTuple):
    """Answer to a finished call."""

    answer: HttpResponse
    kept_at: float
    #: Memory in bytes that it takes.
    size: int


_RUNNING: Final = CallRecord(InquiryState.RUNNING)
_TOMBSTONE: Final = CallRecord(InquiryState.TOMBSTONE)
_UNKNOWN: Final = CallRecord(InquiryState.UNKNOWN)


class CallTable:
    """Ensures that a call runs once and answers inquiries about it.

    A node that lost the answer to a call inquires about it. If the call is
    unknown, it is marked with a tombstone, which keeps it from running when
    it arrives late, so that the other node can safely send it again.

    That a call finished is remembered for as long as an inquiry may ask about
    it, also when its answer is no longer kept. When there are too many such
    calls, the oldest are forgotten, and inquiries about calls that are not
    known get no proof until none of those may be asked about.
    """

    def __init__(
        self, clock: Callable[[], float], max_calls: int = MAX_CALLS
    ) -> None:
        """Initialize an empty table.

        :param max_calls: limit on the finished calls that are remembered, and
            on the tombstones.
        """
        self._clock = clock
        self._max_calls = max_calls
        #: Clock time until which an inquiry may ask about each call.
        self._running: dict[str, float] = {}
        self._finished: set[str] = set()
        #: The same for finished calls, as a heap with their identifiers.
        self._asked_until: list[tuple[float, str]] = []
        self._answers: OrderedDict[str, _KeptAnswer] = OrderedDict()
        #: Clock time at which each tombstone was made.
        self._tombstones: OrderedDict[str, float] = OrderedDict()
        self._answer_bytes = 0
        #: Clock time until which forgotten calls may be asked about.
        self._incomplete_until = clock()
        #: Number of inquiries that could not be answered.
        self.unknown_inquiries = 0

    def begin(self, call_id: str, remaining_s: float) -> InquiryState | None:
        """Record the start of a call.

        :param remaining_s: seconds to the deadline of the call.
        :returns: ``None`` if the call may run, or the state that prevents
            it.
        """
        record = self._find(call_id)
        if record is not None:
            return record.state
        self._running[call_id] = self._clock() + remaining_s + INQUIRY_MARGIN_S
        return None

    def finish(self, call_id: str, answer: HttpResponse) -> None:
        """Record the answer to a running call for later inquiries."""
        self.abandon(call_id)
        kept = _KeptAnswer(answer, self._clock(), answer.estimate_bytes())
        if kept.size > MAX_ANSWER_BYTES:
            return
        # What is kept has a limit of its own.
        kept = kept._replace(answer=answer._replace(hold=None))
        self._answers[call_id] = kept
        self._answer_bytes += kept.size
        self._drop_answers()

    def abandon(self, call_id: str) -> None:
        """Record a running call as finished without an answer."""
        now = self._clock()
        asked_until = self._running.pop(call_id, now)
        self._finished.add(call_id)
        heapq.heappush(self._asked_until, (asked_until, call_id))
        while self._asked_until:
            first_until, first_id = self._asked_until[0]
            if first_until >= now and len(self._finished) <= self._max_calls:
                return
            heapq.heappop(self._asked_until)
            self._finished.discard(first_id)
            self._incomplete_until = max(self._incomplete_until, first_until)

    def find_or_tombstone(self, call_id: str) -> CallRecord:
        """Return the record of a call, a new tombstone if it never arrived.

        An unknown one is returned if it may have arrived and been forgotten,
        or if there is no room for a tombstone.
        """
        record = self._find(call_id)
        if record is not None:
            return record
        self._remove_expired_tombstones()
        is_full = len(self._tombstones) >= self._max_calls
        if is_full or self._clock() < self._incomplete_until:
            self.unknown_inquiries += 1
            return _UNKNOWN
        self._tombstones[call_id] = self._clock()
        return _TOMBSTONE

    def _find(self, call_id: str) -> CallRecord | None:
        if call_id in self._running:
            return _RUNNING
        if call_id in self._finished:
            kept = self._answers.get(call_id)
            return CallRecord(InquiryState.FINISHED, kept and kept.answer)
        return _TOMBSTONE if call_id in self._tombstones else None

    def _drop_answers(self) -> None:
        """Drop old answers, and the oldest above the limit of their size."""
        oldest = self._clock() - ANSWER_RETENTION_S
        while self._answers:
            first_id, first = next(iter(self._answers.items()))
            is_full = self._answer_bytes > MAX_ANSWER_BYTES
            if first.kept_at >= oldest and not is_full:
                return
            del self._answers[first_id]
            self._answer_bytes -= first.size

    def _remove_expired_tombstones(self) -> None:
        oldest = self._clock() - TOMBSTONE_RETENTION_S
        while self._tombstones:
            first_id, made_at = next(iter(self._tombstones.items()))
            if made_at >= oldest:
                return
            del self._tombstones[first_id]
