"""Adaptive limit of concurrent exchanges with one upstream."""

from __future__ import annotations

import math

# The decayed minimum forgets a faster past with this time constant.
FLOOR_DECAY_S = 30.0
LATENCY_WEIGHT = 0.1
# Without samples for this long the minimum may be out of date.
FLOOR_VALID_S = 1.0
# Latency up to this multiple of the minimum counts as unloaded.
TOLERANCE = 2.0
CUT_FACTOR = 0.7
MIN_CUT_INTERVAL_S = 0.02


class AdaptiveLimit:
    """Additive increase while latency stays near its minimum, else multiplicative cut.

    Starts at the upstream's slots and stays within 1 and the granted connections.

    Attributes:
        floor_s: Decayed minimum latency, in seconds; 0 before the first sample.
    """

    def __init__(self, slots: int, granted: int) -> None:
        """Start at the slots, within the granted connections."""
        self._granted = granted
        self._exact = float(max(1, min(slots, granted)))
        self._latency_s = 0.0
        self._sampled_at = 0.0
        self._cut_at = -math.inf
        self.floor_s = 0.0

    @property
    def limit(self) -> int:
        """Return how many exchanges may run at a time; 0 without a grant."""
        return min(int(self._exact), self._granted)

    @property
    def latency_s(self) -> float:
        """Return the smoothed latency in seconds; 0 before the first sample."""
        return self._latency_s

    def shortest_s(self, now: float) -> float:
        """Return the least time an exchange takes, in seconds; 0 if not known lately.

        An old minimum is not used: legs refused by it would bring no new samples.
        """
        return self.floor_s if now - self._sampled_at <= FLOOR_VALID_S else 0.0

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
        if self._latency_s > TOLERANCE * self.floor_s:
            self._cut(now)
        elif in_flight >= self.limit:
            # An idle limit says nothing about what the upstream would bear.
            self._exact = min(float(self._granted), self._exact + 1.0 / self._exact)
            self._exact = max(1.0, self._exact)

    def on_shed(self, now: float) -> None:
        """Take a reply by which the upstream shed or refused load."""
        self._cut(now)

    def _smooth(self, now: float, latency_s: float) -> None:
        if not self.floor_s:
            self._latency_s = self.floor_s = latency_s
        grown = self.floor_s * math.exp((now - self._sampled_at) / FLOOR_DECAY_S)
        if self._sampled_at:
            self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        # The minimum grows towards what is seen now, never past it.
        self.floor_s = min(latency_s, grown, max(self.floor_s, self._latency_s))
        self._sampled_at = now

    def _cut(self, now: float) -> None:
        # One cut for each round trip: results already under way tell nothing new.
        if now - self._cut_at < max(MIN_CUT_INTERVAL_S, self._latency_s):
            return
        self._cut_at = now
        self._exact = max(1.0, self._exact * CUT_FACTOR)
