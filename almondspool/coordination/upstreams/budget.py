"""Budget of extra legs: hedges and retries as a share of first legs."""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.coordination.queues.rates import DecayedRate

RATE_DECAY_S = 10.0
MINIMUM_EXTRA_LEGS = 10
MINIMUM_LOAN_LEGS = 30
HEDGE_COST = 1.25
RETRY_COST = 1.0
HEDGE_PART = 0.7
OVERDUE_HEDGE_PART = 0.85


class BudgetCounts(NamedTuple):
    """Legs counted since the start of the process.

    Attributes:
        first: Legs sent as a shard's first one.
        extra: Hedges and retries allowed.
        denied: Hedges and retries refused.
    """

    first: int
    extra: int
    denied: int


class ExtraLegBudget:
    """Caps hedges and retries by a credit that first legs earn.

    Each first leg earns the share, each extra leg costs about 1, so that extra legs
    stay within the share at any rate. At most a second's earnings are saved, and at
    least MINIMUM_EXTRA_LEGS, with which an instance starts.

    A leg that has only just become slow may use HEDGE_PART of what can be saved, one
    that was refused a hedge before OVERDUE_HEDGE_PART: it is more likely to be a
    straggler. The rest is kept for retries, which save coverage; hedges cost more, so
    that they leave a part of what is earned too. Retries of legs that were cut off may
    borrow a second's earnings, at least MINIMUM_LOAN_LEGS, since a lost upstream or
    zone cuts off many legs at once; nothing else is allowed until that is repaid.
    """

    def __init__(self, share: float) -> None:
        """Allow extra legs up to this share of first legs."""
        self._share = share
        self._first_rate = DecayedRate(RATE_DECAY_S, -math.inf)
        self._counts = BudgetCounts(0, 0, 0)
        self._credit = float(MINIMUM_EXTRA_LEGS)

    @property
    def counts(self) -> BudgetCounts:
        """Return the legs counted so far."""
        return self._counts

    def note_first(self, now: float, legs: int = 1) -> None:
        """Count first legs, sent at a monotonic second."""
        self._first_rate.add(now, legs)
        earned = self._credit + self._share * legs
        self._credit = min(earned, self._saved_most(now))
        self._counts = self._counts._replace(first=self._counts.first + legs)

    def take_retry(self, now: float) -> bool:
        """Return whether one retry may be sent, and count it if so."""
        return self._take(now, RETRY_COST, 0.0)

    def take_retry_after_loss(self, now: float) -> bool:
        """Return whether a leg that was cut off may be sent again; count it if so."""
        return self._take(now, RETRY_COST, -self.loan(now))

    def take_hedge(self, now: float, is_overdue: bool = False) -> bool:
        """Return whether one hedge may be sent, and count it if so.

        Args:
            now: Monotonic seconds.
            is_overdue: Whether the leg was refused a hedge before.
        """
        return self._take(now, HEDGE_COST, self._kept(now, is_overdue))

    def allows_hedge(self, now: float, is_overdue: bool = False) -> bool:
        """Return whether take_hedge would allow one now; a refusal is counted."""
        if self._allows(now, HEDGE_COST, self._kept(now, is_overdue)):
            return True
        self._counts = self._counts._replace(denied=self._counts.denied + 1)
        return False

    def loan(self, now: float) -> float:
        """Return how far the credit may fall below zero after a loss, in legs."""
        return max(float(MINIMUM_LOAN_LEGS), self._earned_per_s(now))

    def _kept(self, now: float, is_overdue: bool) -> float:
        """Return the credit that a hedge must leave."""
        part = OVERDUE_HEDGE_PART if is_overdue else HEDGE_PART
        return self._saved_most(now) * (1 - part)

    def _saved_most(self, now: float) -> float:
        return max(float(MINIMUM_EXTRA_LEGS), self._earned_per_s(now))

    def _earned_per_s(self, now: float) -> float:
        return self._share * self._first_rate.per_s(now)

    def _allows(self, now: float, cost: float, kept: float) -> bool:
        # What was saved at a higher rate is not spent at a lower one.
        credit = min(self._credit, self._saved_most(now))
        return self._share > 0 and credit - cost >= kept

    def _take(self, now: float, cost: float, kept: float) -> bool:
        if not self._allows(now, cost, kept):
            self._counts = self._counts._replace(denied=self._counts.denied + 1)
            return False
        self._credit -= cost
        self._counts = self._counts._replace(extra=self._counts.extra + 1)
        return True
