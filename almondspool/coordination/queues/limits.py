"""Adaptive limits of concurrent exchanges and requests."""

from __future__ import annotations

import math

# The decayed minimum forgets a faster past with this time constant.
MIN_LATENCY_DECAY_S = 30.0
LATENCY_WEIGHT = 0.1
# Without samples for this long the minimum may be out of date.
MIN_LATENCY_VALID_S = 1.0
# Latency up to this multiple of the minimum counts as unloaded.
TOLERANCE = 1.5
CUT_FACTOR = 0.7
MIN_CUT_INTERVAL_S = 0.02

START_SHARE = 0.25
LEAST_SHARE = 1.0 / 16.0
# A limit grows only while more than this share of it is in use.
IN_USE_SHARE = 0.5
MISSED_SHARE = 0.05
MISSED_WEIGHT = 0.05
MISSED_CUT_FACTOR = 0.8


class AdaptiveLimit:
    """Additive increase while latency stays near its minimum, else multiplicative cut.

    Starts at the upstream's slots and stays within 1 and the granted connections.
    Latency alone cuts it no further than to the slots: with fewer the upstream would
    stand idle between exchanges, whatever made it slow.

    Attributes:
        min_latency_s: Decayed minimum latency, in seconds; 0 before the first sample.
    """

    def __init__(self, slots: int, granted: int) -> None:
        """Start at the slots, within the granted connections."""
        self._slots = slots
        self._granted = granted
        self._exact = float(max(1, min(slots, granted)))
        self._latency_s = 0.0
        self._sampled_at = 0.0
        self._cut_at = -math.inf
        self.min_latency_s = 0.0

    @property
    def limit(self) -> int:
        """Return how many exchanges may run at a time; 0 without a grant."""
        return min(int(self._exact), self._granted)

    @property
    def latency_s(self) -> float:
        """Return the smoothed latency in seconds; 0 before the first sample."""
        return self._latency_s

    def recent_min_latency_s(self, now: float) -> float:
        """Return the least time an exchange takes, in seconds; 0 if not known lately.

        An old minimum is not used: legs refused by it would bring no new samples.
        """
        return (
            self.min_latency_s if now - self._sampled_at <= MIN_LATENCY_VALID_S else 0.0
        )

    def set_granted(self, granted: int) -> None:
        """Change the upper bound."""
        self._granted = granted
        self._exact = max(1.0, min(self._exact, float(granted)))

    def on_latency(self, now: float, latency_s: float, in_flight: int) -> None:
        """Take the latency of an exchange.

        Args:
            now: Monotonic seconds.
            latency_s: Time from the send to the first result, in seconds.
            in_flight: Exchanges that ran when this one was sent, itself included.
        """
        self._smooth(now, latency_s)
        if self._latency_s > TOLERANCE * self.min_latency_s:
            self._cut(now, float(max(1, min(self._slots, self._granted))))
        elif in_flight >= self.limit:
            # An idle limit says nothing about what the upstream would bear.
            self._exact = min(float(self._granted), self._exact + 1.0 / self._exact)
            self._exact = max(1.0, self._exact)

    def on_shed(self, now: float) -> None:
        """Take a reply by which the upstream shed or refused load."""
        self._cut(now, 1.0)

    def _smooth(self, now: float, latency_s: float) -> None:
        if not self.min_latency_s:
            self._latency_s = self.min_latency_s = latency_s
        grown = self.min_latency_s * math.exp(
            (now - self._sampled_at) / MIN_LATENCY_DECAY_S
        )
        if self._sampled_at:
            self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        # The minimum grows towards what is seen now, never past it.
        self.min_latency_s = min(
            latency_s, grown, max(self.min_latency_s, self._latency_s)
        )
        self._sampled_at = now

    def _cut(self, now: float, least: float) -> None:
        # One cut for each round trip: results already under way tell nothing new.
        if now - self._cut_at < max(MIN_CUT_INTERVAL_S, self._latency_s):
            return
        self._cut_at = now
        self._exact = min(self._exact, max(least, self._exact * CUT_FACTOR))


class DeadlineLimit:
    """Concurrency of requests, cut while too many of them run for too long.

    Unlike a limit on latency it doesn't mistake a mix of short and long requests for
    load. It keeps a share of the most, since a lost upstream causes misses too that
    no lower limit mends.
    """

    def __init__(self, most: int) -> None:
        """Start at a share of the most.

        Args:
            most: Requests that may run at a time at all.
        """
        self._most = float(most)
        self._least = max(1.0, most * LEAST_SHARE)
        self._exact = max(1.0, most * START_SHARE)
        self._missed_share = 0.0
        self._cut_at = -math.inf

    @property
    def limit(self) -> int:
        """Return how many requests may run at a time."""
        return int(self._exact)

    def on_finished(
        self, now: float, missed: bool, service_s: float, in_use: int
    ) -> None:
        """Take the end of a request.

        Args:
            now: Monotonic seconds.
            missed: Whether it ran for too much of its time.
            service_s: Its time to run, in seconds.
            in_use: Requests that ran just before, itself included.
        """
        self._missed_share += MISSED_WEIGHT * (float(missed) - self._missed_share)
        if self._missed_share <= MISSED_SHARE:
            if in_use > IN_USE_SHARE * self._exact:
                self._exact = min(self._most, self._exact + 1.0 / self._exact)
        elif now - self._cut_at >= service_s:
            self._cut_at = now
            self._exact = max(self._least, self._exact * MISSED_CUT_FACTOR)
