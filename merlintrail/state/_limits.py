"""Concurrency limits of a backend server."""

import abc
import math
from typing import Final, NamedTuple

#: Factor by which a refusal of the backend server lowers the limit.
REFUSAL_DECREASE_FACTOR: Final = 0.9
#: Share of the limit that must be in use for a refusal to indicate a lack
#: of slots rather than a fault of the backend server.
MIN_REFUSAL_UTILIZATION: Final = 0.7
#: Share of the slots that is kept free, because a backend server that is
#: nearly full works more slowly.
RESERVED_SHARE: Final = 0.05
#: Number of slots from which on a share of them is kept free.
MIN_SLOTS_TO_RESERVE: Final = 8
#: Factor by which a probe lowers the limit.
PROBE_DECREASE_FACTOR: Final = 0.9
#: Ratio of the latency to its baseline above which a probe is started.
MAX_LATENCY_RATIO: Final = 2.0
#: Largest relative loss of throughput with which a probe is accepted.
THROUGHPUT_TOLERANCE: Final = 0.05
#: Shortest sampling window in seconds.
MIN_WINDOW_S: Final = 0.2
#: Smallest number of completed calls in a sampling window.
MIN_WINDOW_COMPLETIONS: Final = 20
#: Pause in seconds after a rejected probe. It doubles with each further one,
#: up to the maximum, and an accepted probe resets it.
PROBE_PAUSE_S: Final = 2.0
MAX_PROBE_PAUSE_S: Final = 60.0
#: Time constant in seconds with which the baseline rises when the backend
#: server has become slower for good.
BASELINE_TIME_CONSTANT_S: Final = 60.0


class ConcurrencyLimit(abc.ABC):
    """Limits the number of calls that a backend server runs at a time."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Number of calls that may run at a time."""

    @abc.abstractmethod
    def record_success(
        self, now: float, latency_s: float, running: int
    ) -> None:
        """Record a completed call.

        :param latency_s: time in seconds that the backend server spent on
            the call itself.
        :param running: number of calls in the backend server, including
            this one.
        """

    @abc.abstractmethod
    def record_refusal(self, now: float, running: int) -> None:
        """Record that the backend server itself refused a call.

        :param running: number of calls in the backend server, including
            this one.
        """


class FixedLimit(ConcurrencyLimit):
    """A constant limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit

    @property
    def limit(self) -> int:
        """Number of calls that may run at a time."""
        return self._limit

    def record_success(
        self, now: float, latency_s: float, running: int
    ) -> None:
        """Ignore a completed call."""

    def record_refusal(self, now: float, running: int) -> None:
        """Ignore a refusal."""


class _Window(NamedTuple):
    """Totals of one sampling window."""

    started_at: float
    completions: int = 0
    latency_sum_s: float = 0.0
    #: Whether any of the calls was completed while the limit was reached.
    was_saturated: bool = False

    def compute_throughput(self, now: float) -> float:
        """Return the completed calls per second."""
        return self.completions / max(now - self.started_at, 1e-6)


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that adapts to the latency and refusals of a backend server.

    Like other gradient limits it compares the latency with a baseline. When
    the latency is high under saturation, the limit is lowered as a probe,
    and the lower limit is kept only if it did not reduce the throughput. A
    backend server that is slow because of contention gains from a lower
    limit, whereas one that is slow for another reason would lose throughput.

    Under saturation without high latency the limit increases additively, up
    to the announced slots less the reserved ones. Refusals of the backend
    server decrease it multiplicatively (AIMD).
    """

    def __init__(self, slots: int, now: float) -> None:
        self._announced_slots = slots
        self._max_limit = _subtract_reserve(slots)
        self._limit = float(self._max_limit)
        self._baseline_s: float | None = None
        self._window = _Window(now)
        #: Throughput before the current probe, ``None`` without a probe.
        self._throughput_before: float | None = None
        self._limit_before = self._limit
        self._probe_pause_s = PROBE_PAUSE_S
        self._next_probe_at = now
        self._last_decrease_at = now - MIN_WINDOW_S

    @property
    def limit(self) -> int:
        """Number of calls that may run at a time."""
        return max(1, int(self._limit))

    def resize(self, slots: int) -> None:
        """Set the slots that the backend server announces.

        A changed number resets the limit to its maximum.
        """
        if slots != self._announced_slots:
            self._announced_slots = slots
            self._max_limit = _subtract_reserve(slots)
            self._limit = float(self._max_limit)

    def record_success(
        self, now: float, latency_s: float, running: int
    ) -> None:
        """Record a completed call and adapt the limit at a window's end."""
        window = self._window
        self._window = window._replace(
            completions=window.completions + 1,
            latency_sum_s=window.latency_sum_s + latency_s,
            was_saturated=window.was_saturated or running >= self.limit,
        )
        is_due = now - window.started_at >= MIN_WINDOW_S
        if is_due and self._window.completions >= MIN_WINDOW_COMPLETIONS:
            self._close_window(now)

    def record_refusal(self, now: float, running: int) -> None:
        """Lower the limit, at most once per ``MIN_WINDOW_S``."""
        if running < self._limit * MIN_REFUSAL_UTILIZATION:
            return
        if now - self._last_decrease_at >= MIN_WINDOW_S:
            self._last_decrease_at = now
            self._limit = max(1.0, self._limit * REFUSAL_DECREASE_FACTOR)

    def _close_window(self, now: float) -> None:
        window = self._window
        self._window = _Window(now)
        latency_s = window.latency_sum_s / window.completions
        throughput = window.compute_throughput(now)
        if self._throughput_before is not None:
            self._evaluate_probe(now, throughput)
        elif window.was_saturated and self._is_slow(latency_s):
            self._start_probe(now, throughput)
        elif window.was_saturated:
            self._limit = min(float(self._max_limit), self._limit + 1)
        self._update_baseline(latency_s, now - window.started_at)

    def _is_slow(self, latency_s: float) -> bool:
        return (
            self._baseline_s is not None
            and latency_s > self._baseline_s * MAX_LATENCY_RATIO
        )

    def _start_probe(self, now: float, throughput: float) -> None:
        if now < self._next_probe_at or self._limit <= 1:
            return
        self._throughput_before = throughput
        self._limit_before = self._limit
        self._limit = max(1.0, self._limit * PROBE_DECREASE_FACTOR)

    def _evaluate_probe(self, now: float, throughput: float) -> None:
        """Keep the lower limit or restore the one before the probe."""
        before = self._throughput_before
        self._throughput_before = None
        assert before is not None
        if throughput >= before * (1 - THROUGHPUT_TOLERANCE):
            self._probe_pause_s = PROBE_PAUSE_S
            return
        self._limit = min(float(self._max_limit), self._limit_before)
        self._next_probe_at = now + self._probe_pause_s
        self._probe_pause_s = min(MAX_PROBE_PAUSE_S, self._probe_pause_s * 2)

    def _update_baseline(self, latency_s: float, elapsed_s: float) -> None:
        """Lower the baseline at once or raise it as a moving average."""
        if self._baseline_s is None or latency_s < self._baseline_s:
            self._baseline_s = latency_s
            return
        weight = min(1.0, elapsed_s / BASELINE_TIME_CONSTANT_S)
        self._baseline_s += (latency_s - self._baseline_s) * weight


def _subtract_reserve(slots: int) -> int:
    """Return the slots less the share that is kept free."""
    if slots < MIN_SLOTS_TO_RESERVE:
        return slots
    return slots - math.ceil(slots * RESERVED_SHARE)


def create_limit(slots: int, now: float) -> AdaptiveLimit:
    """Create the limit of a backend server that announced its slots."""
    return AdaptiveLimit(slots, now)
