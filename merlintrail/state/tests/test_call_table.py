"""Proofs that a call did not run, in random orders of events."""

import random
import unittest
from collections.abc import Callable
from typing import Final

from merlintrail.protocol import InquiryState
from merlintrail.state import CallTable
from merlintrail.transport import HttpResponse

_HISTORIES: Final = 10_000
_EVENTS: Final = 30
_CALLS: Final = 6
_MAX_CALLS: Final = 3
#: Body of an answer of which the table keeps three at most.
_BODY: Final = bytes(2_600_000)
_DEADLINES_S: Final = (0.5, 6.0, 60.0)


class _Clock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


class _Call:
    """A call that another node sends, with what is known of it."""

    def __init__(self, call_id: str, deadline: float) -> None:
        self.call_id = call_id
        self.deadline = deadline
        #: Incarnation of the node to which it is sent.
        self.incarnation: int | None = None
        self.runs = 0
        #: Whether it runs in the present process.
        self.is_running = False
        #: Whether an inquiry proved that it never ran and never will.
        self.is_proved = False


class _History:
    """Random events at one node that receives calls and inquiries."""

    def __init__(self, seed: int) -> None:
        self.now = 100.0
        self._rng = random.Random(seed)
        self._incarnation = 1
        self._table = self._create_table()
        self.calls = [
            _Call(f'c{number}', self.now + self._rng.choice(_DEADLINES_S))
            for number in range(_CALLS)
        ]

    def play(self) -> None:
        """Play the events."""
        events = (self._arrive, self._arrive, self._finish, self._inquire)
        for _ in range(_EVENTS):
            self.now += self._rng.expovariate(2.0)
            call = self._rng.choice(self.calls)
            event = self._rng.choice(events)
            chance = self._rng.randrange(50)
            if chance == 0:
                self._restart()
            elif call.is_running and chance < 6:
                self._cancel(call)
            else:
                event(call)

    def _create_table(self) -> CallTable:
        return CallTable(lambda: self.now, _MAX_CALLS)

    def _arrive(self, call: _Call) -> None:
        """Receive a call, early or late, but once in each process."""
        if call.incarnation is None:
            call.incarnation = self._incarnation
        if call.incarnation != self._incarnation or call.runs:
            return
        remaining_s = max(0.0, call.deadline - self.now)
        if self._table.begin(call.call_id, remaining_s) is None:
            call.runs += 1
            call.is_running = True

    def _finish(self, call: _Call) -> None:
        if call.is_running:
            call.is_running = False
            body = self._rng.choice((b'', _BODY))
            self._table.finish(call.call_id, HttpResponse(200, (), body))

    def _cancel(self, call: _Call) -> None:
        call.is_running = False
        self._table.abandon(call.call_id)

    def _inquire(self, call: _Call) -> None:
        """Ask about a call, as its sender does until the deadline."""
        if call.incarnation is None:
            call.incarnation = self._incarnation
        if call.incarnation != self._incarnation or self.now > call.deadline:
            return
        record = self._table.find_or_tombstone(call.call_id)
        if record.state == InquiryState.TOMBSTONE:
            call.is_proved = True

    def _restart(self) -> None:
        """Start a process that knows nothing and has another incarnation."""
        self._incarnation += 1
        self._table = self._create_table()
        for call in self.calls:
            call.is_running = False


def _state_reader(table: CallTable) -> Callable[[str], InquiryState]:
    return lambda call_id: table.find_or_tombstone(call_id).state


class CallTableTest(unittest.TestCase):
    """A call that ran is never reported as one that never arrived."""

    def test_finished_call_whose_answer_was_dropped_counts_as_not_arrived(
        self,
    ) -> None:
        """Many answers have taken the room since."""
        table = CallTable(_Clock())
        names = [f'c{number}' for number in range(20)]
        for name in names:
            self.assertIsNone(table.begin(name, 6.0))
            table.finish(name, HttpResponse(200, (), _BODY))
        states = set(map(_state_reader(table), names))
        self.assertEqual(states, {InquiryState.FINISHED})

    def test_finished_call_with_a_long_deadline_counts_as_not_arrived(
        self,
    ) -> None:
        """Its sender was paused for a while and asks within the deadline."""
        clock = _Clock()
        table = CallTable(clock)
        table.begin('long', 60.0)
        table.finish('long', HttpResponse(200, (), b''))
        clock.now = 50.0
        table.begin('other', 1.0)
        table.finish('other', HttpResponse(200, (), b''))
        state = table.find_or_tombstone('long').state
        self.assertEqual(state, InquiryState.FINISHED)

    def test_forgotten_call_counts_as_not_arrived(self) -> None:
        """It is unknown until no forgotten one may be asked about."""
        clock = _Clock()
        table = CallTable(clock, _MAX_CALLS)
        for number in range(_MAX_CALLS + 1):
            table.begin(f'c{number}', 6.0)
            table.finish(f'c{number}', HttpResponse(200, (), b''))
        state = table.find_or_tombstone('c0').state
        self.assertEqual(state, InquiryState.UNKNOWN)
        self.assertEqual(table.unknown_inquiries, 1)
        clock.now = 20.0
        state = table.find_or_tombstone('new').state
        self.assertEqual(state, InquiryState.TOMBSTONE)

    def test_tombstone_makes_room_for_another_and_its_call_runs(self) -> None:
        """A proof that was given stays true."""
        table = CallTable(_Clock(), _MAX_CALLS)
        for number in range(_MAX_CALLS):
            table.find_or_tombstone(f'c{number}')
        state = table.find_or_tombstone('another').state
        self.assertEqual(state, InquiryState.UNKNOWN)
        self.assertEqual(table.begin('c0', 6.0), InquiryState.TOMBSTONE)

    def test_call_that_is_proved_not_to_have_run_runs(self) -> None:
        """Random orders of arrival, answer, loss, inquiry and restart."""
        for seed in range(_HISTORIES):
            history = _History(seed)
            history.play()
            false_proofs = [
                call.call_id
                for call in history.calls
                if call.is_proved and call.runs
            ]
            self.assertEqual(false_proofs, [], seed)
            self.assertLessEqual(max(call.runs for call in history.calls), 1)


class KeptAnswersTest(unittest.TestCase):
    """Answers that are kept for inquiries."""

    def test_heads_of_kept_answers_take_all_memory(self) -> None:
        """They have 12,000 short lines and no body: few of them are kept."""
        table = CallTable(lambda: 100.0)
        headers = tuple((f'{number:x}', '') for number in range(12_000))
        for number in range(50):
            call_id = f'c{number}'
            table.begin(call_id, 1.0)
            table.finish(call_id, HttpResponse(200, headers, b''))
        kept = [
            index
            for index in range(50)
            if table.find_or_tombstone(f'c{index}').answer is not None
        ]
        self.assertEqual(kept, [48, 49])
