"""The bound on retries over a whole call tree."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from merlintrail.state import RetryAccount, RetryBudget


class _Tree:
    """Random call trees whose calls fail, get lost and are tried again."""

    def __init__(self, source: random.Random, bound: int) -> None:
        self._source = source
        self.retries = 0
        self.account = RetryAccount(bound)

    def call(self, account: RetryAccount, depth: int) -> None:
        """Make the calls of one level, each until no retry is left."""
        for _ in range(self._source.randint(0, 3) if depth else 0):
            while not self._attempt(account, depth):
                if not account.spend():
                    break
                self.retries += 1

    def _attempt(self, account: RetryAccount, depth: int) -> bool:
        share = account.reserve_share()
        child = RetryAccount(share)
        self.call(child, depth - 1)
        fate = self._source.choice(('answer', 'failure', 'lost', 'forged'))
        returned = {'lost': 0, 'forged': 1000}.get(fate, child.balance)
        account.refund(share, min(returned, child.balance))
        return fate == 'answer'


class RetryAccountTest(unittest.TestCase):
    """Whatever is lost, the sum stays within what the request began with."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(seed=st.integers(0, 2**32), bound=st.integers(0, 8))
    def test_sum_over_tree_is_bounded(self, seed: int, bound: int) -> None:
        """Random trees, losses and orders."""
        tree = _Tree(random.Random(seed), bound)
        tree.call(tree.account, depth=5)
        self.assertLessEqual(tree.retries, bound)
        self.assertGreaterEqual(tree.account.balance, 0)

    def test_returns_no_more_than_lent(self) -> None:
        """A peer cannot make retries by claiming that some are left."""
        account = RetryAccount(4)
        share = account.reserve_share()
        self.assertEqual(account.refund(share, 1000), share)
        self.assertEqual(account.balance, 4)

    def test_lost_answer_spends_the_share(self) -> None:
        """What left with a lost call does not come back."""
        account = RetryAccount(1)
        self.assertEqual(account.reserve_share(), 1)
        account.refund(1, 0)
        self.assertFalse(account.spend())


class RetryBudgetTest(unittest.TestCase):
    """The node's own share."""

    def test_retries_stay_a_share_of_attempts(self) -> None:
        """Ten thousand attempts that all want a retry."""
        budget = RetryBudget(0.1)
        granted = 0
        for _ in range(10000):
            budget.record_attempt()
            granted += budget.spend(0.0)
        self.assertLessEqual(granted, 10000 * 0.1 + 3)
        self.assertGreater(granted, 900)
