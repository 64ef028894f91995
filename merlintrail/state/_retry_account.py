"""Bounds on retries: for one request and its call tree, and for a node."""

from typing import Final

#: Number of first attempts whose credit a budget can accumulate.
BUDGET_WINDOW_ATTEMPTS: Final = 10.0
#: Initial tokens of a budget, which its capacity holds in addition to the
#: credit of first attempts. They permit retries at low traffic too.
INITIAL_TOKENS: Final = 3.0

#: Share of a budget's capacity below which only urgent calls may retry.
URGENT_SHARE: Final = 0.5


class RetryAccount:
    """The retries left to one call, including its nested calls.

    A share of the balance is reserved for each child call and travels with
    it. The answer refunds what the child call did not spend; if the answer
    is lost, so is the share. The number of retries in the whole call tree
    therefore never exceeds the initial balance, whatever is lost.
    """

    def __init__(self, balance: int) -> None:
        self._balance = balance

    @property
    def balance(self) -> int:
        """Number of retries that can still be spent or reserved."""
        return self._balance

    def spend(self) -> bool:
        """Take one retry and return whether there was one left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def reserve_share(self) -> int:
        """Take half of the balance, rounded up, for a child call."""
        share = (self._balance + 1) // 2
        self._balance -= share
        return share

    def reserve_all(self) -> int:
        """Take the whole balance, for a call that has no siblings."""
        share = self._balance
        self._balance = 0
        return share

    def refund(self, share: int, returned: int) -> int:
        """Add the retries that a child call did not spend.

        :param share: number reserved for the child call.
        :param returned: number that its answer reports as unspent.
        :returns: number added, which never exceeds the share.
        """
        accepted = max(0, min(share, returned))
        self._balance += accepted
        return accepted


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    Each first attempt adds ``share`` tokens, and time adds ``base_per_s``
    tokens per second. A retry costs one token for each call that it is
    expected to make.
    """

    def __init__(self, share: float, base_per_s: float = 0.0) -> None:
        self.share = share
        #: Retries per second that are permitted regardless of traffic.
        self.base_per_s = base_per_s
        self._tokens = INITIAL_TOKENS
        self._refilled_at: float | None = None

    def record_attempt(self) -> None:
        """Add the tokens for one first attempt."""
        self._tokens = min(self._capacity, self._tokens + self.share)

    def spend(
        self, now: float, cost: float = 1.0, *, is_urgent: bool = True
    ) -> bool:
        """Take the tokens for a retry and return whether they sufficed.

        A cost above the capacity requires a full bucket, whose tokens then
        become negative.

        :param cost: number of calls that the retry is expected to make.
        :param is_urgent: if not, the bucket must also hold at least
            ``URGENT_SHARE`` of its capacity.
        """
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self.base_per_s
            self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_at = now
        required = min(cost, self._capacity)
        if not is_urgent:
            required = max(required, self._capacity * URGENT_SHARE)
        if self._tokens < required:
            return False
        self._tokens -= cost
        return True

    @property
    def _capacity(self) -> float:
        return INITIAL_TOKENS + BUDGET_WINDOW_ATTEMPTS * self.share


class RetryBudgets:
    """The retry budgets of a node, one for each service that it calls."""

    def __init__(self) -> None:
        self._share = 0.1
        self._base_per_s = 0.0
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, share: float, base_per_s: float) -> None:
        """Set the limits of all budgets.

        :param share: retries as a share of first attempts.
        :param base_per_s: this node's part of the retries per second that
            are permitted regardless of traffic.
        """
        self._share = share
        self._base_per_s = base_per_s
        for budget in self._budgets.values():
            budget.share = share
            budget.base_per_s = base_per_s

    def find(self, service: str) -> RetryBudget:
        """Return the budget for calls to a service, creating it if needed."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._share, self._base_per_s)
            self._budgets[service] = budget
        return budget
