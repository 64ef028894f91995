"""Bound on the attempts beyond the first ones of calls, over a fleet."""

from merlintrail.state.repeats._allowance import (
    RepeatAllowance,
    RepeatAllowances,
)
from merlintrail.state.repeats._base import (
    BASE_VALIDITY_S,
    RepeatBase,
    SlotRight,
    compute_part,
)
from merlintrail.state.repeats._spent_shares import SpentShares

__all__ = (
    'BASE_VALIDITY_S',
    'RepeatAllowance',
    'RepeatAllowances',
    'RepeatBase',
    'SlotRight',
    'SpentShares',
    'compute_part',
)
