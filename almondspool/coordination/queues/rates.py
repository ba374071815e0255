"""Decayed estimates of rates and durations."""

from __future__ import annotations

import math

# Weight of a new sample once 20 samples were added; the first ones weigh more.
MIN_SAMPLE_WEIGHT = 0.05


class DecayedRate:
    """Exponentially decayed rate of events per second."""

    def __init__(self, decay_s: float, start: float) -> None:
        """Initialize without events.

        Args:
            decay_s: Time constant of the decay, in seconds.
            start: When counting begins, in monotonic seconds; minus infinity for an
                estimate that is not corrected for a short time of counting.
        """
        self._decay_s = decay_s
        self._start = start
        self._updated_at = start
        self._weight = 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """Count events at a monotonic second."""
        self._weight = self._weight_at(now) + count
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the rate, corrected for the time since counting began."""
        covered_s = self._decay_s * -math.expm1((self._start - now) / self._decay_s)
        if covered_s <= 0:
            return 0.0
        return self._weight_at(now) / covered_s

    def _weight_at(self, now: float) -> float:
        return self._weight * math.exp((self._updated_at - now) / self._decay_s)


class DurationEstimate:
    """Smoothed estimate of a duration.

    Attributes:
        mean_s: Smoothed mean, in seconds.
        deviation_s: Smoothed mean absolute deviation from it, in seconds.
    """

    def __init__(self, initial_s: float) -> None:
        """Initialize with a mean that the first sample replaces."""
        self.mean_s = initial_s
        self.deviation_s = 0.0
        self._samples = 0

    def add(self, duration_s: float) -> None:
        """Add a sample, in seconds."""
        self._samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._samples)
        error_s = duration_s - self.mean_s
        self.mean_s += weight * error_s
        if self._samples > 1:
            self.deviation_s += weight * (abs(error_s) - self.deviation_s)

    def high_s(self) -> float:
        """Return the mean plus twice its deviation, which most samples stay below."""
        return self.mean_s + 2.0 * self.deviation_s
