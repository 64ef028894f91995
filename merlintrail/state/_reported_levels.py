"""Shedding levels that other nodes report, and how long they are used."""

from collections.abc import Iterable
from typing import Final, NamedTuple

#: Seconds for which a reported level is used unchanged before it decays.
HOLD_S: Final = 0.3
#: Linear decay of a reported level after that, in priorities per second.
DECAY_PER_S: Final = 48.0
#: Table size above which entries that have decayed to 0 are removed.
MAX_ENTRIES: Final = 4096


class ReportedLevel(NamedTuple):
    """A shedding level reported by another node, and when it arrived."""

    level: int
    reported_at: float

    def compute_level(self, now: float) -> int:
        """Return the level after its decay.

        It holds for ``HOLD_S`` and then decreases by ``DECAY_PER_S``.
        """
        age_s = now - self.reported_at - HOLD_S
        if age_s <= 0:
            return self.level
        return max(0, self.level - int(age_s * DECAY_PER_S))


class SheddingLevelTable:
    """Shedding levels reported in answers of other nodes, by name."""

    def __init__(self) -> None:
        self._levels: dict[str, ReportedLevel] = {}

    def record(self, name: str, level: int, now: float) -> None:
        """Store a reported level, replacing the previous one for the name.

        Level 0 of an unknown name is not stored: it is the default.
        """
        if level <= 0 and name not in self._levels:
            return
        if len(self._levels) > MAX_ENTRIES:
            self._remove_stale(now)
        self._levels[name] = ReportedLevel(level, now)

    def read(self, name: str, now: float) -> int:
        """Return the current level for a name, or 0 for an unknown name."""
        entry = self._levels.get(name)
        return 0 if entry is None else entry.compute_level(now)

    def read_lowest(self, names: Iterable[str], now: float) -> int:
        """Return the lowest level among the names, or 0 for no names."""
        return min((self.read(name, now) for name in names), default=0)

    def _remove_stale(self, now: float) -> None:
        self._levels = {
            name: entry
            for name, entry in self._levels.items()
            if entry.compute_level(now) > 0
        }
