"""Budget for hedges and retries, shared by all instances.

The limit on these extra sends holds for each service, over all instances, in any
window. Every instance is allowed a ratio of its own requests and its part of a fixed
slack, so that the sum stays within the limit without messages between instances.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

# Share of the allowance of this instance that it uses. The rest covers instances that
# join or leave, and requests that instances count at opposite edges of the window.
USABLE_SHARE = 0.9
# Resolution of the counts. Extra sends are counted for this much longer than a window,
# as a slice has the time of its first send.
SLICE_S = 0.5


class RetryBudgetLimits(NamedTuple):
    """Limit on extra sends, as set by the operators.

    Attributes:
        ratio: Extra sends allowed per request.
        slack: Further extra sends allowed, over all instances in one window.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class _Counts:
    __slots__ = ("extras", "extras_sum", "requests", "requests_sum")

    def __init__(self) -> None:
        self.extras: collections.deque[list[float]] = collections.deque()
        self.requests: collections.deque[list[float]] = collections.deque()
        self.extras_sum = 0.0
        self.requests_sum = 0.0


class RetryBudget:
    """Counts requests and extra sends by service, in slices of a sliding window."""

    def __init__(self, limits: RetryBudgetLimits) -> None:
        """Start without counts, as if there were no other instance."""
        self._limits = limits
        self._share_divisor = 1.0
        self._counts_by_service: dict[str, _Counts] = {}

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Set the limits; the counts are kept."""
        self._limits = limits

    def set_share_divisor(self, divisor: float) -> None:
        """Set by how much the slack is divided for the part of this instance."""
        self._share_divisor = max(1.0, divisor)

    def record_request(self, now: float, service: str) -> None:
        """Count a caller's request to a service."""
        counts = self._counts(service)
        _add(counts.requests, now)
        counts.requests_sum += 1

    def available(self, now: float, service: str) -> float:
        """Return how many extra sends to a service are allowed now."""
        counts = self._counts(service)
        oldest = now - self._limits.window_s - SLICE_S
        counts.extras_sum -= _drop(counts.extras, oldest)
        # Only requests of the last window, so that the earned part is never too high.
        counts.requests_sum -= _drop(counts.requests, now - self._limits.window_s)
        slack = self._limits.slack / self._share_divisor
        earned = self._limits.ratio * counts.requests_sum
        return USABLE_SHARE * (slack + earned) - counts.extras_sum

    def try_acquire(self, now: float, service: str) -> bool:
        """Count an extra send and return True, or return False if none is allowed."""
        if self.available(now, service) < 1.0:
            return False
        counts = self._counts(service)
        _add(counts.extras, now)
        counts.extras_sum += 1
        return True

    def min_available(self, now: float) -> float:
        """Return the allowed extra sends of the service that has the fewest."""
        amounts = [self.available(now, service) for service in self._counts_by_service]
        return min(amounts, default=0.0)

    def forget_absent(self, services: set[str]) -> None:
        """Drop the services that are no longer in the configuration."""
        for service in self._counts_by_service.keys() - services:
            del self._counts_by_service[service]

    def _counts(self, service: str) -> _Counts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = _Counts()
        return counts


def _add(slices: collections.deque[list[float]], now: float) -> None:
    if slices and now - slices[-1][0] < SLICE_S:
        slices[-1][1] += 1
    else:
        slices.append([now, 1])


def _drop(slices: collections.deque[list[float]], oldest: float) -> float:
    dropped = 0.0
    while slices and slices[0][0] < oldest:
        dropped += slices.popleft()[1]
    return dropped
