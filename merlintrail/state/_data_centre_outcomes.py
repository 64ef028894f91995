"""How requests of a kind fare in each data centre."""

from typing import Final, NamedTuple

#: Weight of a new outcome in the share of requests that fail.
OUTCOME_WEIGHT: Final = 0.1
#: Seconds in which the share is halved by itself, so that a data centre that
#: was left is tried again.
HALF_LIFE_S: Final = 4.0
#: Load that a share of failing requests of one stands for.
FAILING_LOAD: Final = 2.0
#: Pairs of kind and data centre that are remembered.
MAX_PAIRS: Final = 4096


class _Share(NamedTuple):
    """Share of requests that failed, as of a time."""

    failing: float
    known_at: float


class DataCentreOutcomes:
    """Failing requests by kind and data centre.

    A request fails where a service below it is missing, slow or far away,
    although the server that takes the request itself is well. With the
    request all of its calls move.
    """

    def __init__(self) -> None:
        self._shares: dict[tuple[str, str], _Share] = {}

    def record(
        self, kind: str, data_centre: str, *, has_failed: bool, now: float
    ) -> None:
        """Take the outcome of a request that ran in a data centre."""
        if not has_failed and (kind, data_centre) not in self._shares:
            return
        if len(self._shares) > MAX_PAIRS:
            self._shares.clear()
        share = self._read_share(kind, data_centre, now)
        outcome = 1.0 if has_failed else 0.0
        self._shares[kind, data_centre] = _Share(
            share + (outcome - share) * OUTCOME_WEIGHT, now
        )

    def compute_load(self, kind: str, data_centre: str, now: float) -> float:
        """Return the load that the failing requests stand for."""
        if not self._shares:
            return 0.0
        return self._read_share(kind, data_centre, now) * FAILING_LOAD

    def _read_share(self, kind: str, data_centre: str, now: float) -> float:
        known = self._shares.get((kind, data_centre))
        if known is None:
            return 0.0
        age_s = now - known.known_at
        faded: float = known.failing * 0.5 ** (age_s / HALF_LIFE_S)
        return faded
