"""Latencies of one upstream: a decayed peak and a small decaying histogram.

An HDR histogram with two digits takes about 20 kB for each upstream, 40 MB for
2,000 of them; the buckets here take LATENCY_BYTES.
"""

from __future__ import annotations

import array
import math

FIRST_EDGE_S = 0.0005
BUCKETS = 34
BUCKETS_PER_DOUBLING = 2
# An array object of 80 bytes, its floats, and records of 16 slots with boxed floats.
LATENCY_BYTES = 80 + 4 * BUCKETS + 16 * 8 + 9 * 24
PEAK_DECAY_S = 3.0
MAX_SAMPLES = 512.0
QUANTILE_REFRESH_SAMPLES = 16


class LatencyHistogram:
    """Counts latencies in buckets that grow by the square root of two.

    All counts are halved at MAX_SAMPLES, so that old samples fade.
    """

    __slots__ = ("_counts", "_quantile", "_stale_samples", "total")

    def __init__(self) -> None:
        """Start empty."""
        self._counts = array.array("f", bytes(4 * BUCKETS))
        self.total = 0.0
        self._quantile = 0.0
        self._stale_samples = QUANTILE_REFRESH_SAMPLES

    def add(self, latency_s: float) -> None:
        """Count one latency in seconds."""
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
        """Return the upper edge, in seconds, of the bucket that holds a quantile."""
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
    """Follows rises at once and falls back exponentially (peak EWMA)."""

    __slots__ = ("_at", "_value")

    def __init__(self, now: float, value: float) -> None:
        """Start from a value in seconds at a monotonic second."""
        self._value = value
        self._at = now

    def add(self, now: float, latency_s: float) -> None:
        """Take one latency, in seconds, at a monotonic second."""
        weight = self._weight(now)
        faded = self._value * weight + latency_s * (1.0 - weight)
        self._value = max(latency_s, faded)
        self._at = now

    def raise_to(self, now: float, latency_s: float) -> None:
        """Take a lower bound, in seconds, of a latency that was not seen whole."""
        if latency_s > self.value(now):
            self._value = latency_s
            self._at = now

    def value(self, now: float) -> float:
        """Return the peak in seconds, faded since the last latency."""
        return self._value * self._weight(now)

    def _weight(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / PEAK_DECAY_S)
