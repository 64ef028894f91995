"""Concurrency limits for one backend server."""

import abc
import math
from typing import Final, NamedTuple

#: Factor by which a refusal of the backend server lowers the limit.
DECREASE_ON_REFUSAL: Final = 0.9
#: Share of the limit that must be in use for a refusal to show a lack of
#: slots rather than a fault of the backend server.
REFUSAL_LOAD: Final = 0.7
#: Share of many slots that is left free: a backend server that is nearly
#: full works more slowly.
RESERVE_SHARE: Final = 0.05
#: Slots from which on some are left free.
MIN_SLOTS_TO_RESERVE: Final = 8
#: Factor of one probe towards a lower limit.
DECREASE_ON_LATENCY: Final = 0.9
#: Ratio of latency to its baseline that starts a probe.
LATENCY_RATIO: Final = 2.0
#: Share of throughput that a probe may cost.
THROUGHPUT_TOLERANCE: Final = 0.05
#: Shortest window of observation in seconds.
MIN_WINDOW_S: Final = 0.2
#: Completions that a window needs.
MIN_WINDOW_COMPLETIONS: Final = 20
#: Seconds between probes after one that did not help, doubled each time.
PROBE_PAUSE_S: Final = 2.0
MAX_PROBE_PAUSE_S: Final = 60.0
#: Seconds for the baseline to forget a service time that no longer occurs.
BASELINE_MEMORY_S: Final = 60.0


class ConcurrencyLimit(abc.ABC):
    """Decides how many calls a backend server runs at a time."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Calls that may run now."""

    @abc.abstractmethod
    def record_success(
        self, now: float, latency_s: float, running: int
    ) -> None:
        """Take the backend server's own time for a completed call."""

    @abc.abstractmethod
    def record_refusal(self, now: float, running: int) -> None:
        """Take note that the backend server refused a call itself.

        :param running: calls in the backend server, this one included.
        """


class FixedLimit(ConcurrencyLimit):
    """A limit that never changes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit

    @property
    def limit(self) -> int:
        """Calls that may run now."""
        return self._limit

    def record_success(
        self, now: float, latency_s: float, running: int
    ) -> None:
        """Ignore the completed call."""

    def record_refusal(self, now: float, running: int) -> None:
        """Ignore the refusal."""


class _Window(NamedTuple):
    """Sums over one window of observation."""

    started_at: float
    completions: int = 0
    latency_sum_s: float = 0.0
    was_saturated: bool = False

    def compute_throughput(self, now: float) -> float:
        """Completions a second."""
        return self.completions / max(now - self.started_at, 1e-6)


class AdaptiveLimit(ConcurrencyLimit):
    """Limit that probes downwards when latency rises under saturation.

    A lower limit is kept only if throughput did not fall with it: a backend
    server that is slow because it is crowded gains from a lower limit, one
    that is slow for another reason loses. Its own refusals lower the limit
    at once. Saturation without trouble raises it, never above its slots.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._announced = slots
        self._slots = _leave_reserve(slots)
        self._limit = float(self._slots)
        self._baseline_s: float | None = None
        self._window = _Window(now)
        self._throughput_before: float | None = None
        self._limit_before = self._limit
        self._probe_pause_s = PROBE_PAUSE_S
        self._next_probe_at = now
        self._last_decrease_at = now - MIN_WINDOW_S

    @property
    def limit(self) -> int:
        """Calls that may run now."""
        return max(1, int(self._limit))

    def resize(self, slots: int) -> None:
        """Take the slots that the backend server announces."""
        if slots != self._announced:
            self._announced = slots
            self._slots = _leave_reserve(slots)
            self._limit = float(self._slots)

    def record_success(
        self, now: float, latency_s: float, running: int
    ) -> None:
        """Take the backend server's own time for a completed call."""
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
        """Lower the limit, once for each burst of refusals."""
        if running < self._limit * REFUSAL_LOAD:
            return
        if now - self._last_decrease_at >= MIN_WINDOW_S:
            self._last_decrease_at = now
            self._limit = max(1.0, self._limit * DECREASE_ON_REFUSAL)

    def _close_window(self, now: float) -> None:
        window = self._window
        self._window = _Window(now)
        latency_s = window.latency_sum_s / window.completions
        throughput = window.compute_throughput(now)
        if self._throughput_before is not None:
            self._judge_probe(now, throughput)
        elif window.was_saturated and self._is_slow(latency_s):
            self._start_probe(now, throughput)
        elif window.was_saturated:
            self._limit = min(float(self._slots), self._limit + 1)
        self._update_baseline(latency_s, now - window.started_at)

    def _is_slow(self, latency_s: float) -> bool:
        return (
            self._baseline_s is not None
            and latency_s > self._baseline_s * LATENCY_RATIO
        )

    def _start_probe(self, now: float, throughput: float) -> None:
        if now < self._next_probe_at or self._limit <= 1:
            return
        self._throughput_before = throughput
        self._limit_before = self._limit
        self._limit = max(1.0, self._limit * DECREASE_ON_LATENCY)

    def _judge_probe(self, now: float, throughput: float) -> None:
        before = self._throughput_before
        self._throughput_before = None
        assert before is not None
        if throughput >= before * (1 - THROUGHPUT_TOLERANCE):
            self._probe_pause_s = PROBE_PAUSE_S
            return
        self._limit = min(float(self._slots), self._limit_before)
        self._next_probe_at = now + self._probe_pause_s
        self._probe_pause_s = min(MAX_PROBE_PAUSE_S, self._probe_pause_s * 2)

    def _update_baseline(self, latency_s: float, elapsed_s: float) -> None:
        if self._baseline_s is None or latency_s < self._baseline_s:
            self._baseline_s = latency_s
            return
        step = min(1.0, elapsed_s / BASELINE_MEMORY_S)
        self._baseline_s += (latency_s - self._baseline_s) * step


def _leave_reserve(slots: int) -> int:
    if slots < MIN_SLOTS_TO_RESERVE:
        return slots
    return slots - math.ceil(slots * RESERVE_SHARE)


def create_limit(slots: int, now: float) -> AdaptiveLimit:
    """Create the limit of a backend server that announced its slots."""
    return AdaptiveLimit(slots, now)
