"""Bounds on retries: of one request over its call tree, and of a node."""

from typing import Final

#: First attempts over which the node's retry share is counted.
BUDGET_WINDOW: Final = 10.0
#: Retries that a node may always make, so that low traffic can retry too.
BUDGET_FLOOR: Final = 3.0

#: Part of a budget that is kept for urgent calls.
URGENT_SHARE: Final = 0.5


class RetryAccount:
    """Retries left to one call and everything below it.

    A share leaves the account with each child call. What the child did not
    spend comes back with its answer; when the answer is lost the share is
    gone. The sum over all hops and branches thus never exceeds what the
    request started with, whatever is lost.
    """

    def __init__(self, balance: int) -> None:
        self._balance = balance

    @property
    def balance(self) -> int:
        """Retries that can still be spent or lent here."""
        return self._balance

    def spend(self) -> bool:
        """Take one retry; return False when none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def reserve_share(self) -> int:
        """Take a share for a child call: half, rounded up."""
        share = (self._balance + 1) // 2
        self._balance -= share
        return share

    def reserve_all(self) -> int:
        """Take everything, for a call that is the only one."""
        share = self._balance
        self._balance = 0
        return share

    def refund(self, share: int, returned: int) -> int:
        """Take back what a child did not spend.

        :param share: what was lent to the child.
        :param returned: what the child says is left.
        :returns: what was taken back, never more than was lent.
        """
        accepted = max(0, min(share, returned))
        self._balance += accepted
        return accepted


class RetryBudget:
    """Token bucket that keeps a node's retries to a share of its traffic."""

    def __init__(self, share: float, base_per_s: float = 0.0) -> None:
        self.share = share
        #: Retries a second that are allowed besides.
        self.base_per_s = base_per_s
        self._tokens = BUDGET_FLOOR
        self._refilled_at: float | None = None

    def record_attempt(self) -> None:
        """Credit the budget for one first attempt."""
        self._tokens = min(self._ceiling, self._tokens + self.share)

    def spend(
        self, now: float, cost: float = 1.0, *, is_urgent: bool = True
    ) -> bool:
        """Take one retry; return False when the share is used up.

        :param cost: calls that the retry will make in all.
        :param is_urgent: whether the last part of the budget may be used.
        """
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self.base_per_s
            self._tokens = min(self._ceiling, self._tokens + refill)
        self._refilled_at = now
        needed = min(cost, self._ceiling)
        if not is_urgent:
            needed = max(needed, self._ceiling * URGENT_SHARE)
        if self._tokens < needed:
            return False
        self._tokens -= cost
        return True

    @property
    def _ceiling(self) -> float:
        return BUDGET_FLOOR + BUDGET_WINDOW * self.share


class RetryBudgets:
    """The budgets of a node, one for each service."""

    def __init__(self) -> None:
        self._share = 0.1
        self._base_per_s = 0.0
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, share: float, base_per_s: float) -> None:
        """Set the share of retries and the rate that is allowed besides.

        :param base_per_s: the node's part of what all nodes may do.
        """
        self._share = share
        self._base_per_s = base_per_s
        for budget in self._budgets.values():
            budget.share = share
            budget.base_per_s = base_per_s

    def find(self, service: str) -> RetryBudget:
        """Return the budget for calls to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._share, self._base_per_s)
            self._budgets[service] = budget
        return budget
