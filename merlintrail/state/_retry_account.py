"""Bound on the retries of one request and its call tree."""


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
