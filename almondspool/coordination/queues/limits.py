"""Adaptive limits on concurrent exchanges and requests."""

from __future__ import annotations

import math

# Time constant with which the minimum latency rises again after faster samples.
MIN_LATENCY_DECAY_S = 30.0
# Weight of a new sample in the smoothed latency.
LATENCY_SAMPLE_WEIGHT = 0.1
# After this long without samples the minimum latency may be out of date.
MIN_LATENCY_VALID_S = 1.0
# Smoothed latency up to this multiple of the minimum shows no overload.
LATENCY_TOLERANCE = 1.5
CUT_FACTOR = 0.7
MIN_CUT_INTERVAL_S = 0.02

# Initial and lowest value of a DeadlineLimit, as shares of its maximum.
INITIAL_LIMIT_SHARE = 0.25
MIN_LIMIT_SHARE = 1.0 / 16.0
# A limit grows only while more than this share of it is in use.
MIN_IN_USE_SHARE = 0.5
# A limit is cut while more than this smoothed share of the requests ran too long.
MAX_MISSED_SHARE = 0.05
MISSED_SAMPLE_WEIGHT = 0.05
MISSED_CUT_FACTOR = 0.8


class AdaptiveLimit:
    """Limit of runs in flight at one upstream: additive increase, multiplicative cut.

    The limit grows while latency stays near its minimum and is cut otherwise. It
    starts at the upstream's slots and stays between 1 and the granted connections.
    Latency alone doesn't cut it below the slots: with a lower limit the upstream would
    idle between exchanges, whatever made it slow.

    Attributes:
        min_latency_s: Decayed minimum latency, in seconds; 0 before the first sample.
    """

    def __init__(self, slots: int, granted: int) -> None:
        """Initialize the limit to the slots, at most the granted connections."""
        self._slots = slots
        self._granted = granted
        self._raw_limit = float(max(1, min(slots, granted)))
        self._latency_s = 0.0
        self._sampled_at = 0.0
        self._cut_at = -math.inf
        self.min_latency_s = 0.0

    @property
    def limit(self) -> int:
        """Return how many runs may be in flight at once; 0 without a grant."""
        return min(int(self._raw_limit), self._granted)

    @property
    def latency_s(self) -> float:
        """Return the smoothed latency in seconds; 0 before the first sample."""
        return self._latency_s

    def recent_min_latency_s(self, now: float) -> float:
        """Return the minimum latency in seconds; 0 without a recent sample.

        An old minimum is not used, since refusing legs by it would prevent new samples.
        """
        return (
            self.min_latency_s if now - self._sampled_at <= MIN_LATENCY_VALID_S else 0.0
        )

    def set_granted(self, granted: int) -> None:
        """Set the granted connections, the upper bound of the limit."""
        self._granted = granted
        self._raw_limit = max(1.0, min(self._raw_limit, float(granted)))

    def on_latency(self, now: float, latency_s: float, in_flight: int) -> None:
        """Record the latency of an exchange.

        Args:
            now: Monotonic seconds.
            latency_s: Time from the send to the first result, in seconds.
            in_flight: Runs in flight when the exchange was sent, including its own.
        """
        self._record_sample(now, latency_s)
        if self._latency_s > LATENCY_TOLERANCE * self.min_latency_s:
            self._cut(now, float(max(1, min(self._slots, self._granted))))
        elif in_flight >= self.limit:
            # A limit that is not reached doesn't show how much the upstream can take.
            self._raw_limit = min(
                float(self._granted), self._raw_limit + 1.0 / self._raw_limit
            )
            self._raw_limit = max(1.0, self._raw_limit)

    def on_shed(self, now: float) -> None:
        """Handle a reply by which the upstream shed or refused load."""
        self._cut(now, 1.0)

    def _record_sample(self, now: float, latency_s: float) -> None:
        if not self.min_latency_s:
            self._latency_s = self.min_latency_s = latency_s
        decayed_min_s = self.min_latency_s * math.exp(
            (now - self._sampled_at) / MIN_LATENCY_DECAY_S
        )
        if self._sampled_at:
            self._latency_s += LATENCY_SAMPLE_WEIGHT * (latency_s - self._latency_s)
        # The minimum rises towards the smoothed latency, never above it.
        self.min_latency_s = min(
            latency_s, decayed_min_s, max(self.min_latency_s, self._latency_s)
        )
        self._sampled_at = now

    def _cut(self, now: float, lower_bound: float) -> None:
        # At most one cut per round trip: results in flight don't reflect the last cut.
        if now - self._cut_at < max(MIN_CUT_INTERVAL_S, self._latency_s):
            return
        self._cut_at = now
        self._raw_limit = min(
            self._raw_limit, max(lower_bound, self._raw_limit * CUT_FACTOR)
        )


class DeadlineLimit:
    """Limit of concurrent requests that is cut while too many of them run too long.

    Unlike a limit on latency it doesn't mistake a mix of short and long requests for
    load. It never falls below a share of the maximum, since a lost upstream also
    causes misses, which a lower limit would not prevent.
    """

    def __init__(self, max_limit: int) -> None:
        """Initialize the limit to a share of the maximum.

        Args:
            max_limit: Upper bound of the limit.
        """
        self._max_limit = float(max_limit)
        self._min_limit = max(1.0, max_limit * MIN_LIMIT_SHARE)
        self._raw_limit = max(1.0, max_limit * INITIAL_LIMIT_SHARE)
        self._missed_share = 0.0
        self._cut_at = -math.inf

    @property
    def limit(self) -> int:
        """Return how many requests may run concurrently."""
        return int(self._raw_limit)

    def on_finished(
        self, now: float, missed: bool, service_time_s: float, in_use: int
    ) -> None:
        """Record the end of a request.

        Args:
            now: Monotonic seconds.
            missed: Whether it ran longer than allowed within its deadline.
            service_time_s: How long it ran, in seconds.
            in_use: Requests running just before, including itself.
        """
        self._missed_share += MISSED_SAMPLE_WEIGHT * (
            float(missed) - self._missed_share
        )
        if self._missed_share <= MAX_MISSED_SHARE:
            if in_use > MIN_IN_USE_SHARE * self._raw_limit:
                self._raw_limit = min(
                    self._max_limit, self._raw_limit + 1.0 / self._raw_limit
                )
        elif now - self._cut_at >= service_time_s:
            self._cut_at = now
            self._raw_limit = max(self._min_limit, self._raw_limit * MISSED_CUT_FACTOR)
