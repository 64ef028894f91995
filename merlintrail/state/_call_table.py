"""Calls that a node has seen: running, finished, or refused for ever."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.protocol import InquiryState
from merlintrail.transport import HttpResponse

#: Seconds for which the answer to a finished call can be asked for.
FINISHED_RETENTION_S: Final = 15.0
#: Seconds for which a call that was asked for in vain is refused.
TOMBSTONE_RETENTION_S: Final = 120.0
#: Bytes of answers that are kept for inquiries.
MAX_ANSWER_BYTES: Final = 4194304
#: Calls of each sort that are remembered; the oldest make room.
MAX_CALLS: Final = 20000


class CallRecord(NamedTuple):
    """What is remembered of one call."""

    state: InquiryState
    recorded_at: float
    answer: HttpResponse | None = None


class CallTable:
    """Remembers calls by id, so that a call runs once and can be asked for."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._running: set[str] = set()
        self._finished: OrderedDict[str, CallRecord] = OrderedDict()
        self._tombstones: OrderedDict[str, CallRecord] = OrderedDict()
        self._answer_bytes = 0

    def begin(self, call_id: str) -> InquiryState | None:
        """Record the start of a call.

        :returns: ``None`` when the call may run, else why it may not.
        """
        if call_id in self._running:
            return InquiryState.RUNNING
        known = self._find(call_id)
        if known is not None:
            return known.state
        self._running.add(call_id)
        return None

    def finish(self, call_id: str, answer: HttpResponse) -> None:
        """Keep the answer for a later inquiry."""
        self._running.discard(call_id)
        self._answer_bytes += len(answer.body)
        self._put_finished(call_id, answer)

    def abandon(self, call_id: str) -> None:
        """Forget a running call that was cancelled; it may have run."""
        self._running.discard(call_id)
        self._put_finished(call_id, None)

    def find_or_tombstone(self, call_id: str) -> CallRecord:
        """Say what became of a call; an unknown one gets a tombstone."""
        if call_id in self._running:
            return CallRecord(InquiryState.RUNNING, self._clock())
        known = self._find(call_id)
        if known is None:
            known = CallRecord(InquiryState.TOMBSTONE, self._clock())
            self._tombstones[call_id] = known
            self._trim_tombstones()
        return known

    def _find(self, call_id: str) -> CallRecord | None:
        return self._finished.get(call_id) or self._tombstones.get(call_id)

    def _put_finished(self, call_id: str, answer: HttpResponse | None) -> None:
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
        oldest = self._clock() - TOMBSTONE_RETENTION_S
        while self._tombstones:
            first = next(iter(self._tombstones.values()))
            is_full = len(self._tombstones) > MAX_CALLS
            if first.recorded_at >= oldest and not is_full:
                return
            self._tombstones.popitem(last=False)

    def _is_full(self) -> bool:
        return (
            len(self._finished) > MAX_CALLS
            or self._answer_bytes > MAX_ANSWER_BYTES
        )
