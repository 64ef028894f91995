"""Order in which requests of customers are shed: max-min fair.

The load that this answers: room is short, and one customer sends several times
as much as the others.
"""

from bisect import bisect_right
from typing import NamedTuple

from merlintrail.protocol import SUBLEVELS
from merlintrail.state.customers._quota import QuotaAnswer


class _Step(NamedTuple):
    """A demand at which the slope of the ordering changes."""

    demand: float
    #: Sum over all customers of what lies below this demand.
    below: float
    #: Customers with a higher demand.
    larger: int


class FairOrder:
    """Assigns sublevels such that shedding by level is max-min fair.

    A request stands at a random part of its customer's demand, and the requests
    of all customers are ordered by where they stand: what a customer asks
    beyond the others is shed first. The sublevels stay evenly filled.
    """

    def __init__(self) -> None:
        self._demands: dict[str, float] = {}
        self._other_demand = 0.0
        self._steps: list[_Step] = []
        self._total = 0.0

    def update(self, answer: QuotaAnswer) -> None:
        """Take over the demands of the customers over the fleet."""
        self._demands = dict(answer.demands)
        self._other_demand = answer.others_demand / max(1, answer.others)
        demands = sorted(
            (
                *self._demands.values(),
                *(self._other_demand for _ in range(answer.others)),
            )
        )
        self._total = sum(demands)
        self._steps = []
        below = 0.0
        previous = 0.0
        for index, demand in enumerate(demands):
            below += (demand - previous) * (len(demands) - index)
            previous = demand
            self._steps.append(_Step(demand, below, len(demands) - index - 1))

    def choose_sublevel(self, customer: str, draw: float) -> int | None:
        """Return the sublevel of a request.

        :param draw: number from 0 to 1 that the request's identifier gives.
        :returns: ``None`` if there are no customers to compare.
        """
        if len(self._steps) < 2 or self._total <= 0:
            return None
        demand = self._demands.get(customer, self._other_demand)
        share_below = self._sum_below(draw * demand) / self._total
        return min(SUBLEVELS - 1, int((1 - share_below) * SUBLEVELS))

    def _sum_below(self, position: float) -> float:
        """Return the demand of all customers that stands below a position."""
        index = bisect_right(self._steps, position, key=_get_demand)
        if index == len(self._steps):
            return self._total
        if index == 0:
            return position * len(self._steps)
        step = self._steps[index - 1]
        return step.below + (position - step.demand) * step.larger


def _get_demand(step: _Step) -> float:
    return step.demand
