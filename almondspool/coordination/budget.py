"""Budget of extra legs: hedges and retries as a share of first legs."""

from __future__ import annotations

import math
from typing import NamedTuple

WINDOW_S = 10
MINIMUM_EXTRA_LEGS = 10
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


class _Second(NamedTuple):
    number: int
    first: int
    extra: int


_EMPTY_SECOND = _Second(-1, 0, 0)


class ExtraLegBudget:
    """Caps hedges and retries over a sliding window of WINDOW_S seconds.

    In each window, extra legs stay within the share of the first legs plus
    MINIMUM_EXTRA_LEGS, which let an instance with little traffic hedge. A leg that
    has only just become slow may use HEDGE_PART of it, one that was refused a hedge
    before OVERDUE_HEDGE_PART: it is more likely to be a straggler. The rest is kept
    for retries, which save coverage.
    """

    def __init__(self, share: float) -> None:
        """Allow extra legs up to this share of first legs."""
        self._share = share
        self._seconds = [_EMPTY_SECOND] * WINDOW_S
        self._window = _EMPTY_SECOND
        self._counts = BudgetCounts(0, 0, 0)

    @property
    def counts(self) -> BudgetCounts:
        """Return the legs counted so far."""
        return self._counts

    def note_first(self, now: float, legs: int = 1) -> None:
        """Count first legs, sent at a monotonic second."""
        self._add(now, legs, 0)
        self._counts = self._counts._replace(first=self._counts.first + legs)

    def take_retry(self, now: float) -> bool:
        """Return whether one retry may be sent, and count it if so."""
        return self._take(now, 1.0)

    def take_hedge(self, now: float, is_overdue: bool = False) -> bool:
        """Return whether one hedge may be sent, and count it if so.

        Args:
            now: Monotonic seconds.
            is_overdue: Whether the leg was refused a hedge before.
        """
        return self._take(now, OVERDUE_HEDGE_PART if is_overdue else HEDGE_PART)

    def allows_hedge(self, now: float, is_overdue: bool = False) -> bool:
        """Return whether take_hedge would allow one now; a refusal is counted."""
        part = OVERDUE_HEDGE_PART if is_overdue else HEDGE_PART
        if self._allows(now, part):
            return True
        self._counts = self._counts._replace(denied=self._counts.denied + 1)
        return False

    def _allows(self, now: float, part: float) -> bool:
        first, extra = self._sums(now)
        allowed = (self._share * first + MINIMUM_EXTRA_LEGS) * part
        return self._share > 0 and extra + 1 <= allowed

    def _take(self, now: float, part: float) -> bool:
        if not self._allows(now, part):
            self._counts = self._counts._replace(denied=self._counts.denied + 1)
            return False
        self._add(now, 0, 1)
        self._counts = self._counts._replace(extra=self._counts.extra + 1)
        return True

    def _sums(self, now: float) -> tuple[int, int]:
        number = math.floor(now)
        if self._window.number != number:
            self._window = self._sum_window(number)
        return self._window.first, self._window.extra

    def _sum_window(self, number: int) -> _Second:
        """Return the sums of the window that ends with a second, under its number."""
        oldest = number - WINDOW_S + 1
        recent = [second for second in self._seconds if second.number >= oldest]
        first = sum(second.first for second in recent)
        return _Second(number, first, sum(second.extra for second in recent))

    def _add(self, now: float, first: int, extra: int) -> None:
        number = math.floor(now)
        place = number % WINDOW_S
        second = self._seconds[place]
        if second.number != number:
            second = _Second(number, 0, 0)
        self._seconds[place] = _counted(second, first, extra)
        if self._window.number == number:
            self._window = _counted(self._window, first, extra)


def _counted(second: _Second, first: int, extra: int) -> _Second:
    return _Second(second.number, second.first + first, second.extra + extra)
