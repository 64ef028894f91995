"""Share of the first attempts at a backend server that may be repeats.

Repeats are attempts beyond the first of their call. The bound over a fleet is
the sum of what the nodes beside its backend servers hand over: each allows a
share of the first attempts that it has handed over itself, so that the sum
holds whatever nodes know of each other and however often they restart.
"""

import math
from collections import deque
from collections.abc import Callable, Sequence
from itertools import accumulate, repeat
from typing import Final

#: Parts into which a window is divided for counting.
BUCKETS_PER_WINDOW: Final = 40
#: Part of the share that is kept for urgent calls.
URGENT_PART: Final = 0.5
#: Windows of first attempts over which a share is averaged: the window itself,
#: the one before it and the one half a window before.
_AVERAGED_WINDOWS: Final = 3


class RepeatAllowance:
    """Decides which repeats of calls to one service are handed over.

    For every window that ends now, the repeats in it stay within the share of
    the mean number of first attempts in that window, in the one before it and
    in the one half a window before. The mean is linear in the counts, so that
    the bound of several nodes is the sum of theirs.
    """

    def __init__(
        self,
        share: float,
        window_s: float,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        """Initialize the allowance, which nothing has been counted for.

        :param boot_clock: clock that also counts while the machine is
            suspended; it is read once in each bucket.
        """
        self._share = share
        self._clock = clock
        self._boot_clock = boot_clock
        #: Clock time at which to look for the next bucket.
        self._bucket_ends_at = -math.inf
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        #: Counts by bucket, the current one last.
        self._firsts = _create_counts(2 * BUCKETS_PER_WINDOW + 1)
        self._repeats = _create_counts(BUCKETS_PER_WINDOW + 1)
        self._bucket: int | None = None
        #: Repeats that may still be handed over, at least.
        self._room = 0.0
        #: Repeats that the share of the last window allows in all.
        self._capacity = 0.0

    def configure(self, share: float, window_s: float) -> None:
        """Set the share of the first attempts and the length of the window."""
        self._share = share
        bucket_s = window_s / BUCKETS_PER_WINDOW
        if bucket_s != self._bucket_s:
            self._bucket_s = bucket_s
            self._bucket = None
            self._bucket_ends_at = -math.inf

    def record_first(self) -> None:
        """Count a first attempt that is handed over."""
        self._advance()
        self._firsts[-1] += 1
        # Each window that ends now contains it, most of the others too.
        self._room += self._share / _AVERAGED_WINDOWS

    def cancel_first(self) -> None:
        """Take back a first attempt that did not reach the backend server."""
        if self._firsts[-1]:
            self._firsts[-1] -= 1
            self._room -= self._share

    def try_repeat(self, *, is_urgent: bool) -> bool:
        """Count a repeat if it may be handed over, and return whether it may.

        :param is_urgent: if not, a part of the share stays for urgent calls.
        """
        if not self.has_room(is_urgent=is_urgent):
            return False
        self._repeats[-1] += 1
        self._room -= 1
        return True

    def has_room(self, *, is_urgent: bool = True) -> bool:
        """Return whether a repeat may be handed over."""
        self._advance()
        reserved = 0.0 if is_urgent else self._capacity * URGENT_PART
        return self._room - reserved >= 1

    def read_room(self) -> float:
        """Return the number of repeats that could be handed over last.

        It changes nothing, so that any thread may call it.
        """
        return max(0.0, self._room)

    def _advance(self) -> None:
        """Move to the bucket of the current time."""
        now = self._clock()
        if now < self._bucket_ends_at:
            return
        boot_time = self._boot_clock()
        bucket = int(boot_time // self._bucket_s)
        self._bucket_ends_at = now + (bucket + 1) * self._bucket_s - boot_time
        if self._bucket is None:
            self._bucket = bucket
            self._clear()
        if bucket <= self._bucket:
            return
        passed = min(bucket - self._bucket, len(self._firsts))
        self._bucket = bucket
        self._firsts.extend(repeat(0, passed))
        self._repeats.extend(repeat(0, passed))
        self._compute_room()

    def _clear(self) -> None:
        self._firsts = _create_counts(len(self._firsts))
        self._repeats = _create_counts(len(self._repeats))
        self._compute_room()

    def _compute_room(self) -> None:
        """Compute the room of the fullest window that ends now."""
        size = BUCKETS_PER_WINDOW
        firsts = [0, *accumulate(self._firsts)]
        repeats = [0, *accumulate(self._repeats)]
        end = len(self._firsts)
        rooms = []
        for start in range(size, end):
            half = start + size // 2
            counted = (
                (firsts[start] - firsts[start - size])
                + (firsts[min(half, end)] - firsts[half - size])
                + (firsts[min(start + size, end)] - firsts[start])
            )
            handed_over = repeats[-1] - repeats[start - size]
            allowed = counted * self._share / _AVERAGED_WINDOWS
            rooms.append(allowed - handed_over)
        self._room = min(rooms)
        self._capacity = (firsts[end] - firsts[end - size]) * self._share


def _create_counts(buckets: int) -> deque[int]:
    """Create counts of 0 that keep the latest buckets."""
    return deque(repeat(0, buckets), buckets)


class RepeatAllowances:
    """The allowances of a node, one for each service beside it."""

    def __init__(
        self, clock: Callable[[], float], boot_clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._boot_clock = boot_clock
        self._share = 0.0
        self._window_s = 1.0
        self._allowances: dict[str, RepeatAllowance] = {}

    def configure(self, share: float, window_s: float) -> None:
        """Set the share of the first attempts and the length of the window."""
        self._share = share
        self._window_s = window_s
        for allowance in self._allowances.values():
            allowance.configure(share, window_s)

    def list_all(self) -> Sequence[tuple[str, RepeatAllowance]]:
        """Return the allowances by service."""
        return tuple(self._allowances.items())

    def find(self, service: str) -> RepeatAllowance:
        """Return the allowance of a service, creating it if needed."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = RepeatAllowance(
                self._share, self._window_s, self._clock, self._boot_clock
            )
            self._allowances[service] = allowance
        return allowance
