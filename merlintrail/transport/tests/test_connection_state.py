"""The life of a connection, explored as a state machine."""

import os
import unittest
from typing import Final

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from merlintrail.transport._connection_state import (
    ConnectionPhase,
    ConnectionState,
)
from merlintrail.transport.tests.connection_model import (
    ConnectionModel,
    build_model,
)

#: Histories that are played, more by hand.
_HISTORIES: Final = int(os.environ.get('CONNECTION_HISTORIES', '300'))
_SETTINGS: Final = settings(
    max_examples=_HISTORIES,
    stateful_step_count=40,
    deadline=None,
    derandomize='CONNECTION_HISTORIES' not in os.environ,
    database=None,
)
_MUTATION_SETTINGS: Final = settings(
    _SETTINGS, max_examples=3000, phases=(Phase.generate,)
)


class _LosesRequest(ConnectionState):
    """Breaks (a): the first answer is the last while the server stops."""

    def record_answer(self, now: float, *, is_stopping: bool) -> bool:
        """Record an answer as the last one."""
        is_last = super().record_answer(now, is_stopping=is_stopping)
        if is_stopping and not is_last and self.is_open:
            self.begin_end(now)
            return True
        return is_last


class _TakesOn(ConnectionState):
    """Breaks (b): it takes requests behind the one that ends it."""

    def take_request(self, *, keeps_alive: bool) -> bool:
        """Take a request in any phase."""
        if self.phase == ConnectionPhase.ANSWERING:
            self.unanswered += 1
            return True
        return super().take_request(keeps_alive=keeps_alive)


class _IdlesEarly(ConnectionState):
    """Breaks (c): it is idle once the last answer is written."""

    @property
    def is_busy(self) -> bool:
        """Whether something is left to be answered."""
        return super().is_busy and not self.is_ending


class _NeverStalls(ConnectionState):
    """Breaks the bound of (c)."""

    def _check_stall(self, now: float, *, is_pressed: bool) -> None:
        """Wait for ever."""


class _ClosesEarly(ConnectionState):
    """Breaks (d): it closes some time after the last answer was written."""

    def record_untaken(
        self, untaken_bytes: int, now: float, *, is_pressed: bool = False
    ) -> None:
        """Close although something is left to be taken."""
        super().record_untaken(untaken_bytes, now, is_pressed=is_pressed)
        if self.phase == ConnectionPhase.HANDING_OVER:
            self.close()


class _EndsByError(ConnectionState):
    """Breaks (e): the answer to a request that failed ends the connection."""

    def record_answer(self, now: float, *, is_stopping: bool) -> bool:
        """Close with the second answer, as if it had failed."""
        is_last = super().record_answer(now, is_stopping=is_stopping)
        if self.unanswered:
            self.close()
        return is_last


class _IgnoresSenders(ConnectionState):
    """Breaks (f): it closes while the caller goes on sending."""

    def ignore_input(self, count: int, now: float) -> bool:
        """Forget when the input came."""
        arrived_at = self._input_at
        may_read_on = super().ignore_input(count, now)
        self._input_at = arrived_at
        return may_read_on


class _IdlesFromAnswer(ConnectionState):
    """Breaks (g): the idle time counts from the answer on."""

    def _check_stall(self, now: float, *, is_pressed: bool) -> None:
        """Keep the time from which the connection is idle."""
        idle_since = self.idle_since
        super()._check_stall(now, is_pressed=is_pressed)
        self.idle_since = idle_since


_MUTATIONS: Final = (
    _LosesRequest,
    _TakesOn,
    _IdlesEarly,
    _NeverStalls,
    _ClosesEarly,
    _EndsByError,
    _IgnoresSenders,
    _IdlesFromAnswer,
)


class ConnectionStateTest(unittest.TestCase):
    """Requests, slow callers, closes and stops in any order."""

    def test_histories(self) -> None:
        """The promises hold in each."""
        run_state_machine_as_test(ConnectionModel, settings=_SETTINGS)

    def test_mutations(self) -> None:
        """Each promise, broken on purpose, is found broken."""
        for mutation in _MUTATIONS:
            with (
                self.subTest(mutation.__name__),
                self.assertRaises(AssertionError),
            ):
                run_state_machine_as_test(
                    build_model(mutation), settings=_MUTATION_SETTINGS
                )
