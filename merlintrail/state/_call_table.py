"""Calls that a node has received, by identifier."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.protocol import InquiryState
from merlintrail.transport import HttpResponse

#: Seconds for which a finished call and its answer are kept for inquiries.
FINISHED_RETENTION_S: Final = 15.0
#: Seconds for which a call is rejected after an inquiry that preceded it.
TOMBSTONE_RETENTION_S: Final = 120.0
#: Largest total size in bytes of the kept answers.
MAX_ANSWER_BYTES: Final = 4194304
#: Largest number of finished calls, and of tombstones; the oldest are
#: removed first.
MAX_CALLS: Final = 20000


class CallRecord(NamedTuple):
    """State of one call."""

    state: InquiryState
    recorded_at: float
    #: ``None`` unless the call finished with an answer.
    answer: HttpResponse | None = None


class CallTable:
    """Ensures that a call runs once and answers inquiries about it.

    A node that lost the answer to a call inquires about it. If the call is
    unknown, it is marked with a tombstone, which keeps it from running when
    it arrives late, so that the other node can safely send it again.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._running: set[str] = set()
        self._finished: OrderedDict[str, CallRecord] = OrderedDict()
        self._tombstones: OrderedDict[str, CallRecord] = OrderedDict()
        self._answer_bytes = 0

    def begin(self, call_id: str) -> InquiryState | None:
        """Record the start of a call.

        :returns: ``None`` if the call may run, or the state that prevents
            it.
        """
        if call_id in self._running:
            return InquiryState.RUNNING
        record = self._find(call_id)
        if record is not None:
            return record.state
        self._running.add(call_id)
        return None

    def finish(self, call_id: str, answer: HttpResponse) -> None:
        """Record the answer to a running call for later inquiries."""
        self._running.discard(call_id)
        self._answer_bytes += len(answer.body)
        self._put_finished(call_id, answer)

    def abandon(self, call_id: str) -> None:
        """Record a cancelled call as finished, because it may have run."""
        self._running.discard(call_id)
        self._put_finished(call_id, None)

    def find_or_tombstone(self, call_id: str) -> CallRecord:
        """Return the record of a call, a new tombstone if it is unknown."""
        if call_id in self._running:
            return CallRecord(InquiryState.RUNNING, self._clock())
        record = self._find(call_id)
        if record is None:
            record = CallRecord(InquiryState.TOMBSTONE, self._clock())
            self._tombstones[call_id] = record
            self._trim_tombstones()
        return record

    def _find(self, call_id: str) -> CallRecord | None:
        return self._finished.get(call_id) or self._tombstones.get(call_id)

    def _put_finished(self, call_id: str, answer: HttpResponse | None) -> None:
        """Add a finished call and remove old ones."""
        now = self._clock()
        self._finished[call_id] = CallRecord(InquiryState.FINISHED, now, answer)
        oldest = now - FINISHED_RETENTION_S
        while self._finished:
            first = next(iter(self._finished.values()))
            if first.recorded_at >= oldest and not self._is_full():
                return
            _, removed = self._finished.popitem(last=False)
            if removed.answer is not None:
                self._answer_bytes -= len(removed.answer.body)

    def _trim_tombstones(self) -> None:
        """Remove expired tombstones and the oldest above ``MAX_CALLS``."""
        oldest = self._clock() - TOMBSTONE_RETENTION_S
        while self._tombstones:
            first = next(iter(self._tombstones.values()))
            is_full = len(self._tombstones) > MAX_CALLS
            if first.recorded_at >= oldest and not is_full:
                return
            self._tombstones.popitem(last=False)

    def _is_full(self) -> bool:
        """Return whether finished calls exceed their number or size."""
        return (
            len(self._finished) > MAX_CALLS
            or self._answer_bytes > MAX_ANSWER_BYTES
        )
