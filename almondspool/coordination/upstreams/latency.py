"""Latency statistics of one upstream: a decaying peak and a small histogram.

An HDR histogram with two digits takes about 20 kB for each upstream, 40 MB for
2,000 of them; the buckets here take under 400 bytes.
"""

from __future__ import annotations

import array
import math

FIRST_EDGE_S = 0.0005
BUCKETS = 68
BUCKETS_PER_DOUBLING = 4
PEAK_DECAY_S = 0.25
BASE_DECAY_S = 30.0
BASE_WEIGHT = 0.2
MIN_BASE_S = 0.0005
MAX_SAMPLES = 512.0
QUANTILE_REFRESH_SAMPLES = 16


class LatencyHistogram:
    """Histogram of latencies whose buckets grow by the fourth root of two.

    All counts are halved at MAX_SAMPLES, so that old samples lose weight.
    """

    __slots__ = ("_counts", "_quantile", "_stale_samples", "total")

    def __init__(self) -> None:
        """Initialize without samples."""
        self._counts = array.array("f", bytes(4 * BUCKETS))
        self.total = 0.0
        self._quantile = 0.0
        self._stale_samples = QUANTILE_REFRESH_SAMPLES

    def add(self, latency_s: float) -> None:
        """Add one latency in seconds."""
        self._counts[_bucket_of(latency_s)] += 1.0
        self.total += 1.0
        self._stale_samples += 1
        if self.total >= MAX_SAMPLES:
            self._halve()

    def recent_quantile_s(self, share: float) -> float:
        """Return a quantile that is up to QUANTILE_REFRESH_SAMPLES samples old.

        The share must be the same at each call.
        """
        if self._stale_samples >= QUANTILE_REFRESH_SAMPLES:
            self._quantile = self.quantile_s(share)
            self._stale_samples = 0
        return self._quantile

    def quantile_s(self, share: float) -> float:
        """Return the upper edge, in seconds, of the bucket that contains a quantile."""
        wanted = share * self.total
        seen = 0.0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= wanted:
                return _edge_of(bucket)
        return _edge_of(BUCKETS - 1)

    def _halve(self) -> None:
        for bucket in range(BUCKETS):
            self._counts[bucket] /= 2.0
        self.total = sum(self._counts)


def _bucket_of(latency_s: float) -> int:
    if latency_s <= FIRST_EDGE_S:
        return 0
    doublings = math.log2(latency_s / FIRST_EDGE_S)
    return min(BUCKETS - 1, math.ceil(doublings * BUCKETS_PER_DOUBLING))


def _edge_of(bucket: int) -> float:
    return FIRST_EDGE_S * 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class DecayedPeak:
    """Peak latency that rises at once and decays exponentially to a baseline.

    The effect of a single straggler is gone after a few PEAK_DECAY_S; a persistently
    slow upstream raises its baseline, which decays over BASE_DECAY_S without new
    samples, so that the upstream is tried again.
    """

    __slots__ = ("_base", "_excess", "_updated_at")

    def __init__(self, now: float, value: float) -> None:
        """Initialize with a latency in seconds at a monotonic second."""
        self._updated_at = now
        self._base = value
        self._excess = 0.0

    def add(self, now: float, latency_s: float) -> None:
        """Add one latency, in seconds, at a monotonic second."""
        self._decay(now)
        # A change is limited to the baseline itself, so that a single straggler has
        # little effect on it.
        change = min(latency_s - self._base, self._base)
        self._base = max(MIN_BASE_S, self._base + change * BASE_WEIGHT)
        self._excess = max(self._excess, latency_s - self._base)

    def raise_to(self, now: float, latency_s: float) -> None:
        """Add a lower bound, in seconds, of a latency that was not fully measured."""
        self._decay(now)
        self._excess = max(self._excess, latency_s - self._base)

    def value(self, now: float) -> float:
        """Return the peak in seconds, decayed since the last latency."""
        age_s = max(0.0, now - self._updated_at)
        base = self._base * math.exp(-age_s / BASE_DECAY_S)
        return base + self._excess * math.exp(-age_s / PEAK_DECAY_S)

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self._updated_at)
        self._base *= math.exp(-age_s / BASE_DECAY_S)
        self._excess *= math.exp(-age_s / PEAK_DECAY_S)
        self._updated_at = max(now, self._updated_at)
