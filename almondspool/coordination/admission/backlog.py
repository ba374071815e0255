"""Watches queues and warns before they reach their limit."""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.coordination.queues.rates import DecayedRate

RATE_DECAY_S = 300.0
# A queue shorter than this share of its limit raises no predicted warning.
MIN_WARN_SHARE = 0.1
NEAR_FULL_SHARE = 0.8
NEAR_FULL_AFTER_S = 10.0
CLEAR_SHARE = 0.4
CLEAR_AFTER_S = 600.0
# A warning clears only when the limit is predicted this much later than it warns.
CLEAR_HORIZON_FACTOR = 2.0


class TrendScale(NamedTuple):
    """How growth is measured on one scale of time.

    The difference of two averages of the length shows growth on their scale.

    Attributes:
        fast_decay_s: Time constant of the faster average, in seconds.
        slow_decay_s: Time constant of the slower average, in seconds.
        horizon_s: Warn if the limit is predicted within this time, in seconds.
        warn_after_s: How long the prediction must stand, in seconds.
    """

    fast_decay_s: float
    slow_decay_s: float
    horizon_s: float
    warn_after_s: float


TREND_SCALES = (
    TrendScale(10.0, 40.0, 120.0, 10.0),
    TrendScale(300.0, 1200.0, 4 * 3600.0, 120.0),
)


class BacklogKey(NamedTuple):
    """One watched queue."""

    team: str
    service: str


class BacklogRow(NamedTuple):
    """State of one queue; times in seconds, infinity for never, rates per second.

    Attributes:
        team: The team.
        service: Its service.
        length: Requests or legs that wait.
        limit: Most that may wait.
        oldest_age_s: Age of the one that waits longest.
        arrivals_per_s: Decayed arrival rate.
        served_per_s: Decayed service rate.
        growth_per_s: Growth of the length, on the scale of time_to_limit_s.
        time_to_limit_s: Predicted time until the limit is reached.
        time_to_drain_s: Time to drain if nothing more arrived.
        warning: Whether a warning stands.
    """

    team: str
    service: str
    length: int
    limit: int
    oldest_age_s: float
    arrivals_per_s: float
    served_per_s: float
    growth_per_s: float
    time_to_limit_s: float
    time_to_drain_s: float
    warning: bool


class BacklogWarning(NamedTuple):
    """A queue is predicted to reach its limit, or is close to it."""

    row: BacklogRow


class BacklogCleared(NamedTuple):
    """The reason of an earlier warning is gone."""

    row: BacklogRow


Action = BacklogWarning | BacklogCleared


class _Average:
    """Exponential average that needs no warm-up."""

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._updated_at: float | None = None
        self.value = 0.0

    def add(self, now: float, value: float) -> None:
        if self._updated_at is None:
            self.value = value
        else:
            elapsed_s = now - self._updated_at
            weight = -math.expm1(-elapsed_s / self._decay_s)
            self.value += weight * (value - self.value)
        self._updated_at = now


class _Trend:
    """Growth of a length on one scale of time, and how long a warning is due."""

    def __init__(self, scale: TrendScale) -> None:
        self._scale = scale
        self._fast = _Average(scale.fast_decay_s)
        self._slow = _Average(scale.slow_decay_s)
        self._due_since: float | None = None

    def add(self, now: float, length: int) -> None:
        self._fast.add(now, float(length))
        self._slow.add(now, float(length))

    def growth_per_s(self) -> float:
        # Each average trails a steady ramp by its own time constant.
        lag_s = self._scale.slow_decay_s - self._scale.fast_decay_s
        return (self._fast.value - self._slow.value) / lag_s

    def time_to_limit_s(self, length: int, limit: int) -> float:
        growth = self.growth_per_s()
        if length >= limit:
            return 0.0
        return (limit - length) / growth if growth > 0 else math.inf

    def is_soon(self, length: int, limit: int) -> bool:
        return self.time_to_limit_s(length, limit) <= self._scale.horizon_s

    def warns(self, now: float, length: int, limit: int) -> bool:
        if not self.is_soon(length, limit) or self._fast.value < MIN_WARN_SHARE * limit:
            self._due_since = None
            return False
        if self._due_since is None:
            self._due_since = now
        return now - self._due_since >= self._scale.warn_after_s

    def clears(self, length: int, limit: int) -> bool:
        horizon_s = CLEAR_HORIZON_FACTOR * self._scale.horizon_s
        return self.time_to_limit_s(length, limit) > horizon_s


class _Watch:
    """Estimates of one queue."""

    def __init__(self, now: float) -> None:
        self.arrivals = DecayedRate(RATE_DECAY_S, now)
        self.served = DecayedRate(RATE_DECAY_S, now)
        self.trends = [_Trend(scale) for scale in TREND_SCALES]
        self.length = 0
        self.limit = 0
        self.oldest_age_s = 0.0
        self.warning = False
        self._near_full_since: float | None = None
        self._clear_since: float | None = None

    def take_length(
        self, now: float, length: int, limit: int, oldest_age_s: float
    ) -> None:
        self.length = length
        self.limit = limit
        self.oldest_age_s = oldest_age_s
        for trend in self.trends:
            trend.add(now, length)

    def leading_trend(self) -> _Trend:
        """Return the fastest scale that sees the limit within its own horizon."""
        for trend in self.trends:
            if trend.is_soon(self.length, self.limit):
                return trend
        return self.trends[-1]

    def time_to_drain_s(self, now: float) -> float:
        if not self.length:
            return 0.0
        served = self.served.per_s(now)
        return self.length / served if served > 0 else math.inf

    def changes(self, now: float) -> bool:
        """Return whether a warning starts, or the standing one ends."""
        if self.warning:
            return self._clears(now)
        # Every trend is asked, since each keeps its own time.
        due = [trend.warns(now, self.length, self.limit) for trend in self.trends]
        return any(due) or self._is_near_full(now)

    def _is_near_full(self, now: float) -> bool:
        if self.length < NEAR_FULL_SHARE * self.limit:
            self._near_full_since = None
            return False
        if self._near_full_since is None:
            self._near_full_since = now
        if self.length >= self.limit:
            return True
        return now - self._near_full_since >= NEAR_FULL_AFTER_S

    def _clears(self, now: float) -> bool:
        is_short = self.length < CLEAR_SHARE * self.limit
        if not is_short or not all(
            trend.clears(self.length, self.limit) for trend in self.trends
        ):
            self._clear_since = None
            return False
        if self._clear_since is None:
            self._clear_since = now
        if now - self._clear_since < CLEAR_AFTER_S:
            return False
        self._clear_since = None
        return True


class BacklogMonitor:
    """Keeps the estimates of every queue and decides on warnings."""

    def __init__(self) -> None:
        """Start without queues."""
        self._watches_by_key: dict[BacklogKey, _Watch] = {}

    def arrived(self, now: float, key: BacklogKey, count: int = 1) -> None:
        """Count requests or legs that joined a queue."""
        self._watch(now, key).arrivals.add(now, count)

    def served(self, now: float, key: BacklogKey, count: int = 1) -> None:
        """Count requests or legs that left a queue to be run."""
        self._watch(now, key).served.add(now, count)

    def observe(
        self, now: float, key: BacklogKey, length: int, limit: int, oldest_age_s: float
    ) -> list[Action]:
        """Take the state of a queue; call this at a steady interval.

        Args:
            now: Monotonic seconds.
            key: The queue.
            length: Requests or legs that wait.
            limit: Most that may wait.
            oldest_age_s: Age of the one that waits longest, in seconds.
        """
        watch = self._watch(now, key)
        watch.take_length(now, length, limit, oldest_age_s)
        if not watch.changes(now):
            return []
        watch.warning = not watch.warning
        row = self._row(now, key, watch)
        return [BacklogWarning(row) if watch.warning else BacklogCleared(row)]

    def rows(self, now: float) -> tuple[BacklogRow, ...]:
        """Return the state of every queue, ordered by team and service."""
        return tuple(
            self._row(now, key, watch)
            for key, watch in sorted(self._watches_by_key.items())
        )

    def forget(self, key: BacklogKey) -> None:
        """Drop a queue that the document no longer has."""
        self._watches_by_key.pop(key, None)

    def _watch(self, now: float, key: BacklogKey) -> _Watch:
        watch = self._watches_by_key.get(key)
        if watch is None:
            watch = self._watches_by_key[key] = _Watch(now)
        return watch

    def _row(self, now: float, key: BacklogKey, watch: _Watch) -> BacklogRow:
        trend = watch.leading_trend()
        return BacklogRow(
            key.team,
            key.service,
            watch.length,
            watch.limit,
            watch.oldest_age_s,
            watch.arrivals.per_s(now),
            watch.served.per_s(now),
            trend.growth_per_s(),
            trend.time_to_limit_s(watch.length, watch.limit),
            watch.time_to_drain_s(now),
            watch.warning,
        )
