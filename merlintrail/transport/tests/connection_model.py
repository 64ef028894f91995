"""Random histories of one connection, without sockets.

The model plays caller, server and kernel around a :class:`ConnectionState`
and checks after each step what ``docs/design/connections.md`` promises.
"""

from typing import Any, Final

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from merlintrail.transport._connection_state import (
    ConnectionPhase,
    ConnectionState,
    EndLimits,
)

_LIMITS: Final = EndLimits(
    stall_s=4.5, linger_s=2.0, max_linger_s=10.0, max_ignored_bytes=1000
)
_IDLE_S: Final = 5.0
_ANSWER_BYTES: Final = 300
_CHECK_S: Final = 0.5


class ConnectionModel(RuleBasedStateMachine):
    """One connection, its server and its caller."""

    #: Type of the state, which mutations replace.
    state_type: type[ConnectionState] = ConnectionState

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.state = self.state_type(self.now, _LIMITS)
        self.is_stopping = False
        #: Requests that were taken, and answers that were written.
        self.taken = 0
        self.answered = 0
        #: Bytes that the caller has not taken.
        self.untaken = 0
        self.progress_at = 0.0
        self.taken_at = 0.0
        #: Whether the answer that ends the connection was written.
        self.has_ended = False
        self.has_caller_ended = False
        self.must_end = False
        self.ended_at = 0.0
        self.input_at = 0.0
        self.ignored = 0

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self.state.phase == ConnectionPhase.CLOSED

    @precondition(lambda model: not model.is_closed)
    @rule(keeps_alive=strategies.booleans(), size=strategies.integers(1, 400))
    def send(self, keeps_alive: bool, size: int) -> None:
        """Send a request, or bytes of something that is refused."""
        was_open = not (self.must_end or self.has_ended)
        if not was_open:
            self.ignored += size
            self.input_at = self.now
            may_read_on = self.state.ignore_input(size, self.now)
            assert may_read_on == (self.ignored <= _LIMITS.max_ignored_bytes)
        is_taken = self.state.take_request(keeps_alive=keeps_alive)
        # (b) nothing is passed on behind the request that ends it.
        assert is_taken == was_open
        self.taken += is_taken
        self.must_end = self.must_end or (is_taken and not keeps_alive)

    @precondition(
        lambda model: model.taken > model.answered and not model.is_closed
    )
    @rule()
    def answer(self) -> None:
        """Write the next answer."""
        self.answered += 1
        is_last = self.state.record_answer(
            self.now, is_stopping=self.is_stopping
        )
        # (a) the last one is that behind which nothing waits.
        waits = self.taken > self.answered
        assert is_last == (not waits and (self.must_end or self.is_stopping))
        self.untaken += _ANSWER_BYTES
        self.progress_at = self.now
        if is_last:
            self._end()
        self._check()

    @rule()
    def stop(self) -> None:
        """Tell the server to close connections."""
        self.is_stopping = True

    @precondition(lambda model: model.untaken and not model.is_closed)
    @rule()
    def read_all(self) -> None:
        """Let the caller take everything."""
        self.read(self.untaken)

    @precondition(lambda model: model.untaken and not model.is_closed)
    @rule(count=strategies.integers(1, 2 * _ANSWER_BYTES))
    def read(self, count: int) -> None:
        """Let the caller take some bytes."""
        self.untaken = max(0, self.untaken - count)
        self.progress_at = self.now
        if not self.untaken:
            self.taken_at = self.now
        self._check()

    @precondition(lambda model: model.untaken > 1 and not model.is_closed)
    @rule(rounds=strategies.integers(1, 4))
    def read_slowly(self, rounds: int) -> None:
        """Let the caller take a byte every three seconds, then the rest."""
        for _ in range(rounds):
            self.wait(6)
            if self.is_closed:
                return
            self.read(1)
        self.read(self.untaken)
        self.wait(3)

    @rule(steps=strategies.integers(1, 12))
    def wait(self, steps: int) -> None:
        """Let time pass, with the checks that a connection makes in it."""
        for _ in range(steps):
            if not self.is_closed:
                self.now += _CHECK_S
                self._check()
                self._check_idle()

    @precondition(lambda model: not model.has_caller_ended)
    @rule()
    def close(self) -> None:
        """Let the caller close its end."""
        self.has_caller_ended = True
        self.state.record_caller_end()
        # Its requests are dropped.
        self.answered = self.taken
        if not self.untaken or self.is_closed:
            self.state.close()
        elif not self.has_ended:
            self.state.begin_end(self.now)
            self._end()
        self._check()

    @invariant()
    def is_busy_until_everything_is_taken(self) -> None:
        """Check (a), (c) and (d)."""
        if self.is_closed:
            return
        if self.taken > self.answered or (self.untaken and self.has_ended):
            assert self.state.is_busy

    @invariant()
    def ends_for_a_reason(self) -> None:
        """Check (a), (c), (d) and (f): what a connection ends for."""
        if not self.is_closed or self.has_caller_ended:
            return
        quiet_s = self.now - max(self.taken_at, self.input_at, self.ended_at)
        is_stalled = self.now - self.progress_at >= _LIMITS.stall_s
        assert self.has_ended or (self.untaken and is_stalled)
        if self.untaken:
            assert is_stalled
            return
        awaited_s = self.now - max(self.taken_at, self.ended_at)
        assert (
            quiet_s >= _LIMITS.linger_s
            or awaited_s >= _LIMITS.max_linger_s
            or self.ignored > _LIMITS.max_ignored_bytes
        )

    @invariant()
    def ends_in_time(self) -> None:
        """Check the bounds of (c): a caller holds up nothing for long."""
        if self.is_closed:
            return
        stalled_s = self.now - self.progress_at
        assert not self.untaken or stalled_s < _LIMITS.stall_s + _CHECK_S
        if self.has_ended and not self.untaken:
            awaited_s = self.now - max(self.taken_at, self.ended_at)
            assert awaited_s < _LIMITS.max_linger_s + 2 * _CHECK_S

    def _end(self) -> None:
        self.has_ended = True
        self.ended_at = self.now
        self.progress_at = self.now

    def _check(self) -> None:
        """Ask what the caller has taken, as a connection does."""
        is_watched = self.untaken or self.state.is_ending
        if not self.is_closed and is_watched:
            self.state.record_untaken(self.untaken, self.now)

    def _check_idle(self) -> None:
        """End an idle connection, and check (g)."""
        if self.state.phase != ConnectionPhase.RECEIVING or self.untaken:
            return
        if self.now - self.state.idle_since < _IDLE_S:
            return
        assert self.now - self.taken_at >= _IDLE_S * 4 / 5
        self.state.begin_end(self.now)
        self._end()
        self._check()


def build_model(state: type[ConnectionState]) -> Any:
    """Build the type of a model around a state."""
    return type('MutatedModel', (ConnectionModel,), {'state_type': state})
