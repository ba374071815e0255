"""Budget for hedges and retries, shared by all instances.

The limit on these extra sends holds for each service, over all instances, in any window
of a given length. Every instance may make extra sends up to a ratio of its own requests
plus its share of a fixed slack. The sum over all instances thus stays within the limit
without messages between them.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

# Share of its allowance that an instance uses. The rest covers instances that join or
# leave, and requests that instances count at opposite edges of the window.
USABLE_ALLOWANCE_SHARE = 0.9
# Length of the time slices in which requests and extra sends are counted. Extra sends
# are counted for this much longer than a window, as a slice has the time of its first
# send.
COUNT_SLICE_S = 0.5


class RetryBudgetLimits(NamedTuple):
    """Limit on extra sends, as set by the operators.

    Attributes:
        ratio: Number of extra sends allowed per request.
        slack: Number of further extra sends allowed in one window, over all instances.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class _Counts:
    """Counts of one service, as lists of [time of the first send, count] per slice."""

    __slots__ = ("extras", "extras_sum", "requests", "requests_sum")

    def __init__(self) -> None:
        self.extras: collections.deque[list[float]] = collections.deque()
        self.requests: collections.deque[list[float]] = collections.deque()
        self.extras_sum = 0.0
        self.requests_sum = 0.0


class RetryBudget:
    """Counts requests and extra sends by service, in slices of a sliding window."""

    def __init__(self, limits: RetryBudgetLimits) -> None:
        """Start without counts, and with the whole slack for this instance."""
        self._limits = limits
        self._share_divisor = 1.0
        self._counts_by_service: dict[str, _Counts] = {}

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Set the limits; the counts are kept."""
        self._limits = limits

    def set_share_divisor(self, divisor: float) -> None:
        """Set by what the slack is divided for this instance's share."""
        self._share_divisor = max(1.0, divisor)

    def record_request(self, now: float, service: str) -> None:
        """Count a caller's request to a service."""
        counts = self._counts(service)
        _count_one(counts.requests, now)
        counts.requests_sum += 1

    def available(self, now: float, service: str) -> float:
        """Return how many extra sends to a service are allowed now; may be negative."""
        counts = self._counts(service)
        earliest_start_at = now - self._limits.window_s - COUNT_SLICE_S
        counts.extras_sum -= _drop_slices_before(counts.extras, earliest_start_at)
        # Requests are counted for no longer than a window, so that they never allow too
        # many extra sends.
        counts.requests_sum -= _drop_slices_before(
            counts.requests, now - self._limits.window_s
        )
        slack = self._limits.slack / self._share_divisor
        earned = self._limits.ratio * counts.requests_sum
        return USABLE_ALLOWANCE_SHARE * (slack + earned) - counts.extras_sum

    def try_acquire(self, now: float, service: str) -> bool:
        """Count an extra send and return True, or return False if none is allowed."""
        if self.available(now, service) < 1.0:
            return False
        counts = self._counts(service)
        _count_one(counts.extras, now)
        counts.extras_sum += 1
        return True

    def min_available(self, now: float) -> float:
        """Return how many extra sends are allowed to the service with the fewest."""
        available_sends = [
            self.available(now, service) for service in self._counts_by_service
        ]
        return min(available_sends, default=0.0)

    def forget_absent(self, services: set[str]) -> None:
        """Drop the services that are no longer in the configuration."""
        for service in self._counts_by_service.keys() - services:
            del self._counts_by_service[service]

    def _counts(self, service: str) -> _Counts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = _Counts()
        return counts


def _count_one(slices: collections.deque[list[float]], now: float) -> None:
    if slices and now - slices[-1][0] < COUNT_SLICE_S:
        slices[-1][1] += 1
    else:
        slices.append([now, 1])


def _drop_slices_before(
    slices: collections.deque[list[float]], earliest_start_at: float
) -> float:
    dropped_count = 0.0
    while slices and slices[0][0] < earliest_start_at:
        dropped_count += slices.popleft()[1]
    return dropped_count
