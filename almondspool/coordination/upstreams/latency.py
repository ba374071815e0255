"""Latency statistics of one upstream: a decaying peak and a small histogram.

An HDR histogram with two digits takes about 20 kB for each upstream, 40 MB for
2,000 of them; the buckets here take under 400 bytes.
"""

from __future__ import annotations

import array
import math

# Upper edge of the first bucket.
FIRST_BUCKET_EDGE_S = 0.0005
BUCKET_COUNT = 68
BUCKETS_PER_DOUBLING = 4
PEAK_DECAY_S = 0.25
BASELINE_DECAY_S = 30.0
BASELINE_SAMPLE_WEIGHT = 0.2
MIN_BASELINE_S = 0.0005
# Weighted samples of a histogram at which all its counts are halved.
MAX_SAMPLES = 512.0
QUANTILE_REFRESH_SAMPLES = 16


class LatencyHistogram:
    """Histogram of latencies whose buckets grow by the fourth root of two.

    All counts are halved at MAX_SAMPLES, so that old samples lose weight.

    Attributes:
        weighted_samples: Sum of the counts.
    """

    __slots__ = (
        "_cached_quantile_s",
        "_counts",
        "_samples_since_refresh",
        "weighted_samples",
    )

    def __init__(self) -> None:
        """Initialize without samples."""
        self._counts = array.array("f", bytes(4 * BUCKET_COUNT))
        self.weighted_samples = 0.0
        self._cached_quantile_s = 0.0
        self._samples_since_refresh = QUANTILE_REFRESH_SAMPLES

    def add(self, latency_s: float) -> None:
        """Add one latency in seconds."""
        self._counts[_bucket_of(latency_s)] += 1.0
        self.weighted_samples += 1.0
        self._samples_since_refresh += 1
        if self.weighted_samples >= MAX_SAMPLES:
            self._halve()

    def recent_quantile_s(self, share: float) -> float:
        """Return a cached quantile, up to QUANTILE_REFRESH_SAMPLES samples old.

        The share must be the same at each call.
        """
        if self._samples_since_refresh >= QUANTILE_REFRESH_SAMPLES:
            self._cached_quantile_s = self.quantile_s(share)
            self._samples_since_refresh = 0
        return self._cached_quantile_s

    def quantile_s(self, share: float) -> float:
        """Return the upper edge, in seconds, of the bucket that contains a quantile."""
        wanted = share * self.weighted_samples
        seen = 0.0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= wanted:
                return _edge_of(bucket)
        return _edge_of(BUCKET_COUNT - 1)

    def _halve(self) -> None:
        for bucket in range(BUCKET_COUNT):
            self._counts[bucket] /= 2.0
        self.weighted_samples = sum(self._counts)


def _bucket_of(latency_s: float) -> int:
    if latency_s <= FIRST_BUCKET_EDGE_S:
        return 0
    doublings = math.log2(latency_s / FIRST_BUCKET_EDGE_S)
    return min(BUCKET_COUNT - 1, math.ceil(doublings * BUCKETS_PER_DOUBLING))


def _edge_of(bucket: int) -> float:
    return FIRST_BUCKET_EDGE_S * 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class DecayedPeak:
    """Peak latency that rises at once and decays exponentially to a baseline.

    The effect of a single straggler has decayed after a few times its decay time. A
    persistently slow upstream raises its baseline, which without new samples decays
    over BASELINE_DECAY_S, so that the upstream is tried again.
    """

    __slots__ = ("_baseline_s", "_decay_s", "_excess_s", "_updated_at")

    def __init__(self, now: float, value: float) -> None:
        """Initialize with a latency in seconds at a monotonic second."""
        self._updated_at = now
        self._baseline_s = value
        self._excess_s = 0.0
        # Decay time of the excess: that of the latency which raised it last.
        self._decay_s = PEAK_DECAY_S

    def add(self, now: float, latency_s: float, decay_s: float = PEAK_DECAY_S) -> None:
        """Add one latency.

        Args:
            now: Monotonic seconds.
            latency_s: The latency, in seconds.
            decay_s: Time in which its effect decays to a third, in seconds; at least
                PEAK_DECAY_S.
        """
        self._decay(now)
        # The change is limited to the baseline itself, so that a single straggler has
        # little effect on the baseline.
        change = min(latency_s - self._baseline_s, self._baseline_s)
        self._baseline_s = max(
            MIN_BASELINE_S, self._baseline_s + change * BASELINE_SAMPLE_WEIGHT
        )
        self._raise_excess(latency_s - self._baseline_s, decay_s)

    def raise_to(
        self, now: float, latency_s: float, decay_s: float = PEAK_DECAY_S
    ) -> None:
        """Add a lower bound of a latency that was not fully measured; see add()."""
        self._decay(now)
        self._raise_excess(latency_s - self._baseline_s, decay_s)

    def value(self, now: float) -> float:
        """Return the peak in seconds, decayed since the last latency."""
        age_s = max(0.0, now - self._updated_at)
        baseline_s = self._baseline_s * math.exp(-age_s / BASELINE_DECAY_S)
        return baseline_s + self._excess_s * math.exp(-age_s / self._decay_s)

    def _raise_excess(self, excess_s: float, decay_s: float) -> None:
        if excess_s >= self._excess_s:
            self._excess_s = excess_s
            self._decay_s = max(PEAK_DECAY_S, decay_s)

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self._updated_at)
        self._baseline_s *= math.exp(-age_s / BASELINE_DECAY_S)
        self._excess_s *= math.exp(-age_s / self._decay_s)
        self._updated_at = max(now, self._updated_at)
