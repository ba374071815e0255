"""Backlog monitoring: warns before a queue reaches its limit."""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.coordination.queues.rates import DecayedRate

# Time constant of the arrival and service rates.
RATE_DECAY_S = 300.0
# Predictions raise no warning while the faster average of a queue's length is below
# this share of its limit.
MIN_PREDICTED_WARNING_SHARE = 0.1
# Without a prediction, a warning starts once a queue has had this share of its limit
# for this long, or at once at the limit.
NEAR_FULL_SHARE = 0.8
NEAR_FULL_AFTER_S = 10.0
# A warning clears only after the length has been below this share of the limit for this
# long.
CLEAR_SHARE = 0.4
CLEAR_AFTER_S = 600.0
# A warning clears only when the predicted time to the limit exceeds the warning
# horizon by this factor.
CLEAR_HORIZON_FACTOR = 2.0


class TrendScale(NamedTuple):
    """Parameters of growth measurement on one time scale.

    Growth is derived from the difference between two moving averages of the length.

    Attributes:
        fast_decay_s: Time constant of the faster average, in seconds.
        slow_decay_s: Time constant of the slower average, in seconds.
        horizon_s: Warn if the limit is predicted within this time, in seconds.
        warn_after_s: Minimum duration of the prediction before a warning, in seconds.
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
    """Identifies a monitored queue."""

    team: str
    service: str


class QueueStats(NamedTuple):
    """State of one queue; times in seconds, infinity for never, rates per second.

    Attributes:
        team: The team.
        service: Its service.
        length: Number of waiting requests or legs.
        limit: Maximum length.
        oldest_age_s: Longest wait of an entry still in the queue.
        arrivals_per_s: Decayed arrival rate.
        served_per_s: Decayed service rate.
        growth_per_s: Growth of the length, on the time scale of time_to_limit_s.
        time_to_limit_s: Predicted time until the limit is reached.
        time_to_drain_s: Time until the queue is empty, without further arrivals.
        warning: Whether a warning is active.
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
    """A queue is close to its limit or predicted to reach it."""

    stats: QueueStats


class BacklogCleared(NamedTuple):
    """The condition of an earlier warning no longer holds."""

    stats: QueueStats


Action = BacklogWarning | BacklogCleared


class _MovingAverage:
    """Exponential average that starts at the first value and so needs no warm-up."""

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
    """Growth of a queue on one time scale, and since when the limit is predicted."""

    def __init__(self, scale: TrendScale) -> None:
        self._scale = scale
        self._fast = _MovingAverage(scale.fast_decay_s)
        self._slow = _MovingAverage(scale.slow_decay_s)
        self._predicted_since: float | None = None

    def add(self, now: float, length: int) -> None:
        self._fast.add(now, float(length))
        self._slow.add(now, float(length))

    def growth_per_s(self) -> float:
        # An exponential average lags a linear ramp by its time constant.
        lag_s = self._scale.slow_decay_s - self._scale.fast_decay_s
        return (self._fast.value - self._slow.value) / lag_s

    def time_to_limit_s(self, length: int, limit: int) -> float:
        growth_per_s = self.growth_per_s()
        if length >= limit:
            return 0.0
        return (limit - length) / growth_per_s if growth_per_s > 0 else math.inf

    def predicts_limit(self, length: int, limit: int) -> bool:
        return self.time_to_limit_s(length, limit) <= self._scale.horizon_s

    def is_warning_due(self, now: float, length: int, limit: int) -> bool:
        if (
            not self.predicts_limit(length, limit)
            or self._fast.value < MIN_PREDICTED_WARNING_SHARE * limit
        ):
            self._predicted_since = None
            return False
        if self._predicted_since is None:
            self._predicted_since = now
        return now - self._predicted_since >= self._scale.warn_after_s

    def is_clear(self, length: int, limit: int) -> bool:
        horizon_s = CLEAR_HORIZON_FACTOR * self._scale.horizon_s
        return self.time_to_limit_s(length, limit) > horizon_s


class _QueueState:
    """State and estimates of one queue."""

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

    def update(self, now: float, length: int, limit: int, oldest_age_s: float) -> None:
        self.length = length
        self.limit = limit
        self.oldest_age_s = oldest_age_s
        for trend in self.trends:
            trend.add(now, length)

    def fastest_predicting_trend(self) -> _Trend:
        """Return the fastest trend that predicts the limit within its horizon.

        If none does, return the slowest one.
        """
        for trend in self.trends:
            if trend.predicts_limit(self.length, self.limit):
                return trend
        return self.trends[-1]

    def time_to_drain_s(self, now: float) -> float:
        if not self.length:
            return 0.0
        served = self.served.per_s(now)
        return self.length / served if served > 0 else math.inf

    def is_transition_due(self, now: float) -> bool:
        """Return whether a warning starts or the active one ends."""
        if self.warning:
            return self._is_clear_due(now)
        # Evaluate every trend: each one tracks since when its prediction holds.
        due = [
            trend.is_warning_due(now, self.length, self.limit) for trend in self.trends
        ]
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

    def _is_clear_due(self, now: float) -> bool:
        is_short = self.length < CLEAR_SHARE * self.limit
        if not is_short or not all(
            trend.is_clear(self.length, self.limit) for trend in self.trends
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
    """Estimates the growth of each queue; starts and ends warnings."""

    def __init__(self) -> None:
        """Initialize without queues."""
        self._states_by_key: dict[BacklogKey, _QueueState] = {}

    def add_arrivals(self, now: float, key: BacklogKey, count: int = 1) -> None:
        """Count requests or legs that joined a queue."""
        self._state_of(now, key).arrivals.add(now, count)

    def add_served(self, now: float, key: BacklogKey, count: int = 1) -> None:
        """Count requests or legs that left a queue to be run."""
        self._state_of(now, key).served.add(now, count)

    def observe(
        self, now: float, key: BacklogKey, length: int, limit: int, oldest_age_s: float
    ) -> list[Action]:
        """Update the state of a queue and return a warning that starts or ends.

        To be called at a constant interval.

        Args:
            now: Monotonic seconds.
            key: Identifies the queue.
            length: Number of waiting requests or legs.
            limit: Maximum length.
            oldest_age_s: Longest wait of an entry still in the queue, in seconds.
        """
        state = self._state_of(now, key)
        state.update(now, length, limit, oldest_age_s)
        if not state.is_transition_due(now):
            return []
        state.warning = not state.warning
        stats = self._queue_stats(now, key, state)
        return [BacklogWarning(stats) if state.warning else BacklogCleared(stats)]

    def stats(self, now: float) -> tuple[QueueStats, ...]:
        """Return the state of every queue, ordered by team and service."""
        return tuple(
            self._queue_stats(now, key, state)
            for key, state in sorted(self._states_by_key.items())
        )

    def remove(self, key: BacklogKey) -> None:
        """Remove a queue that is no longer configured."""
        self._states_by_key.pop(key, None)

    def _state_of(self, now: float, key: BacklogKey) -> _QueueState:
        state = self._states_by_key.get(key)
        if state is None:
            state = self._states_by_key[key] = _QueueState(now)
        return state

    def _queue_stats(
        self, now: float, key: BacklogKey, state: _QueueState
    ) -> QueueStats:
        trend = state.fastest_predicting_trend()
        return QueueStats(
            key.team,
            key.service,
            state.length,
            state.limit,
            state.oldest_age_s,
            state.arrivals.per_s(now),
            state.served.per_s(now),
            trend.growth_per_s(),
            trend.time_to_limit_s(state.length, state.limit),
            state.time_to_drain_s(now),
            state.warning,
        )
