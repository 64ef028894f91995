"""Failure shares of request kinds by data centre."""

from typing import Final, NamedTuple

#: Weight of a new outcome in the moving average of the failure share.
OUTCOME_WEIGHT: Final = 0.1
#: Half-life in seconds of the failure share while no outcomes arrive. Because
#: of the decay, a data centre that was avoided is tried again.
HALF_LIFE_S: Final = 4.0
#: Load that is added at a failure share of 1.
FAILURE_LOAD: Final = 2.0
#: Number of pairs of kind and data centre above which all are discarded.
MAX_PAIRS: Final = 4096


class _FailureShare(NamedTuple):
    """Moving average of the share of failed requests."""

    share: float
    updated_at: float


class DataCentreOutcomes:
    """Failure shares of requests from outside, by kind and data centre.

    A request fails where one of the services that it depends on is missing,
    slow or distant, even though the server that takes the request itself is
    healthy. It therefore has to be routed by its own outcome, and all of its
    nested calls move with it.
    """

    def __init__(self) -> None:
        self._shares: dict[tuple[str, str], _FailureShare] = {}

    def record(
        self, kind: str, data_centre: str, *, has_failed: bool, now: float
    ) -> None:
        """Record the outcome of a request that ran in a data centre."""
        if not has_failed and (kind, data_centre) not in self._shares:
            return
        if len(self._shares) > MAX_PAIRS:
            self._shares.clear()
        share = self._read_share(kind, data_centre, now)
        outcome = 1.0 if has_failed else 0.0
        self._shares[kind, data_centre] = _FailureShare(
            share + (outcome - share) * OUTCOME_WEIGHT, now
        )

    def compute_load(self, kind: str, data_centre: str, now: float) -> float:
        """Return the load that is added for failed requests."""
        if not self._shares:
            return 0.0
        return self._read_share(kind, data_centre, now) * FAILURE_LOAD

    def _read_share(self, kind: str, data_centre: str, now: float) -> float:
        entry = self._shares.get((kind, data_centre))
        if entry is None:
            return 0.0
        age_s = now - entry.updated_at
        decayed: float = entry.share * 0.5 ** (age_s / HALF_LIFE_S)
        return decayed
