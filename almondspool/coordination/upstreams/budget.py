"""Budget of extra legs, hedges and retries: a limited share of the first legs."""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.coordination.queues.rates import DecayedRate

RATE_DECAY_S = 10.0
# Lower bounds of the maximum credit and of the maximum overdraft.
MIN_CREDIT_LIMIT_LEGS = 10
MIN_OVERDRAFT_LIMIT_LEGS = 30
# Credit that one hedge or retry costs.
HEDGE_COST_LEGS = 1.25
RETRY_COST_LEGS = 1.0
# Share of the maximum credit that hedges may use, and those denied before.
HEDGE_CREDIT_SHARE = 0.7
DENIED_HEDGE_CREDIT_SHARE = 0.85


class BudgetCounts(NamedTuple):
    """Legs counted since the start of the process.

    Attributes:
        first: Legs sent as the first one of their shard.
        extra: Hedges and retries that were allowed.
        denied: Attempts to hedge or retry that were denied.
    """

    first: int
    extra: int
    denied: int


class ExtraLegBudget:
    """Token bucket for hedges and retries that is filled by first legs.

    Each first leg earns the share as credit and each extra leg costs about 1, so that
    extra legs stay within the share at any request rate. The credit is capped at one
    second's earnings, but at least at MIN_CREDIT_LIMIT_LEGS, with which an instance
    starts.

    The first attempt to hedge a leg may use HEDGE_CREDIT_SHARE of the maximum credit.
    An attempt after a denial may use DENIED_HEDGE_CREDIT_SHARE of it, since that leg is
    more likely to be a straggler. The rest is reserved for retries, which preserve
    coverage. A hedge costs more than a retry, so that hedges leave a part of the
    earnings too. Retries of legs that were cut off may overdraw the credit by one
    second's earnings, at least MIN_OVERDRAFT_LIMIT_LEGS, since a lost upstream or zone
    cuts off many legs at once; nothing else is allowed until the overdraft is repaid.
    """

    def __init__(self, share: float) -> None:
        """Initialize with the share of first legs that extra legs may reach."""
        self._share = share
        self._first_leg_rate = DecayedRate(RATE_DECAY_S, -math.inf)
        self._counts = BudgetCounts(0, 0, 0)
        self._credit = float(MIN_CREDIT_LIMIT_LEGS)

    @property
    def counts(self) -> BudgetCounts:
        """Return the legs counted so far."""
        return self._counts

    def record_first(self, now: float, legs: int = 1) -> None:
        """Count first legs sent at a monotonic second."""
        self._first_leg_rate.add(now, legs)
        earned = self._credit + self._share * legs
        self._credit = min(earned, self._max_credit(now))
        self._counts = self._counts._replace(first=self._counts.first + legs)

    def try_retry(self, now: float) -> bool:
        """Return whether a retry may be sent, and count it if so."""
        return self._try_acquire(now, RETRY_COST_LEGS, 0.0)

    def try_retry_after_loss(self, now: float) -> bool:
        """Return whether a leg that was cut off may be retried, and count it if so."""
        return self._try_acquire(now, RETRY_COST_LEGS, -self.overdraft(now))

    def try_hedge(self, now: float, was_hedge_denied: bool = False) -> bool:
        """Return whether a hedge may be sent, and count it if so.

        Args:
            now: Monotonic seconds.
            was_hedge_denied: Whether a hedge of the leg was denied before.
        """
        return self._try_acquire(
            now, HEDGE_COST_LEGS, self._retry_reserve(now, was_hedge_denied)
        )

    def allows_hedge(self, now: float, was_hedge_denied: bool = False) -> bool:
        """Return whether try_hedge would allow a hedge now; a denial is counted."""
        if self._allows(
            now, HEDGE_COST_LEGS, self._retry_reserve(now, was_hedge_denied)
        ):
            return True
        self._counts = self._counts._replace(denied=self._counts.denied + 1)
        return False

    def overdraft(self, now: float) -> float:
        """Return how far the credit may fall below zero after a cut-off, in legs."""
        return max(float(MIN_OVERDRAFT_LIMIT_LEGS), self._earned_per_s(now))

    def _retry_reserve(self, now: float, was_hedge_denied: bool) -> float:
        """Return the credit that a hedge must leave for retries."""
        share = DENIED_HEDGE_CREDIT_SHARE if was_hedge_denied else HEDGE_CREDIT_SHARE
        return self._max_credit(now) * (1 - share)

    def _max_credit(self, now: float) -> float:
        return max(float(MIN_CREDIT_LIMIT_LEGS), self._earned_per_s(now))

    def _earned_per_s(self, now: float) -> float:
        return self._share * self._first_leg_rate.per_s(now)

    def _allows(self, now: float, cost: float, reserve: float) -> bool:
        # Credit earned at a higher rate must not be spent at a lower one.
        credit = min(self._credit, self._max_credit(now))
        return self._share > 0 and credit - cost >= reserve

    def _try_acquire(self, now: float, cost: float, reserve: float) -> bool:
        if not self._allows(now, cost, reserve):
            self._counts = self._counts._replace(denied=self._counts.denied + 1)
            return False
        self._credit -= cost
        self._counts = self._counts._replace(extra=self._counts.extra + 1)
        return True
