"""Bounds on retries: of one request over its call tree, and of a node."""

from typing import Final

#: First attempts over which the node's retry share is counted.
BUDGET_WINDOW: Final = 100.0
#: Retries that a node may always make, so that low traffic can retry too.
BUDGET_FLOOR: Final = 3.0


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

    def lend(self) -> int:
        """Take a share for a child call: half, rounded up."""
        share = (self._balance + 1) // 2
        self._balance -= share
        return share

    def lend_all(self) -> int:
        """Take everything, for a call that is the only one."""
        share = self._balance
        self._balance = 0
        return share

    def restore(self, share: int, returned: int) -> int:
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

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = BUDGET_FLOOR

    def record_attempt(self) -> None:
        """Credit the budget for one first attempt."""
        ceiling = BUDGET_FLOOR + BUDGET_WINDOW * self.share
        self._tokens = min(ceiling, self._tokens + self.share)

    def spend(self) -> bool:
        """Take one retry; return False when the share is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
