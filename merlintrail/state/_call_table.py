"""Calls that a node has seen: running, finished, or refused for ever."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from merlintrail.protocol import InquiryState
from merlintrail.transport import HttpResponse

#: Seconds for which finished calls and tombstones are remembered.
RETENTION_S: Final = 60.0
#: Bytes of answers that are kept for inquiries.
MAX_ANSWER_BYTES: Final = 4194304
#: Calls that are remembered; the oldest make room.
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
        self._records: OrderedDict[str, CallRecord] = OrderedDict()
        self._running: set[str] = set()
        self._answer_bytes = 0

    def begin(self, call_id: str) -> InquiryState | None:
        """Record the start of a call.

        :returns: ``None`` when the call may run, else why it may not.
        """
        if call_id in self._running:
            return InquiryState.RUNNING
        known = self._records.get(call_id)
        if known is not None:
            return known.state
        self._running.add(call_id)
        return None

    def finish(self, call_id: str, answer: HttpResponse) -> None:
        """Keep the answer for a later inquiry."""
        self._running.discard(call_id)
        self._put(
            call_id,
            CallRecord(InquiryState.FINISHED, self._clock(), answer),
        )

    def abandon(self, call_id: str) -> None:
        """Forget a running call that was cancelled; it may have run."""
        self._running.discard(call_id)
        self._put(call_id, CallRecord(InquiryState.FINISHED, self._clock()))

    def inquire(self, call_id: str) -> CallRecord:
        """Say what became of a call; an unknown one gets a tombstone."""
        if call_id in self._running:
            return CallRecord(InquiryState.RUNNING, self._clock())
        known = self._records.get(call_id)
        if known is None:
            known = CallRecord(InquiryState.TOMBSTONE, self._clock())
            self._put(call_id, known)
        return known

    def _put(self, call_id: str, record: CallRecord) -> None:
        self._records[call_id] = record
        if record.answer is not None:
            self._answer_bytes += len(record.answer.body)
        oldest = self._clock() - RETENTION_S
        while self._records:
            first = next(iter(self._records))
            is_old = self._records[first].recorded_at < oldest
            if not (is_old or self._is_full()):
                return
            self._remove(first)

    def _is_full(self) -> bool:
        return (
            len(self._records) > MAX_CALLS
            or self._answer_bytes > MAX_ANSWER_BYTES
        )

    def _remove(self, call_id: str) -> None:
        removed = self._records.pop(call_id)
        if removed.answer is not None:
            self._answer_bytes -= len(removed.answer.body)
