"""Leg latencies of each route: the median, and the delay before a hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.upstreams.latency import LatencyHistogram

if TYPE_CHECKING:
    from almondspool.state.routes import Route

# A searcher pauses for 100 to 120 ms every 2.4 to 3 s, which delays 4% of the legs and
# those queued behind them. A leg slower than this quantile was probably delayed by one.
HEDGE_QUANTILE = 0.9
# Number of samples from which on the histogram is used; one search adds ten.
MIN_SAMPLES = 40
# Hedge delay until there are enough samples, as a share of the route's latency target.
INITIAL_HEDGE_TARGET_SHARE = 0.3
# Bounds on the hedge delay, as shares of the latency target: a hedge must be sent early
# enough to be answered within the target.
MAX_HEDGE_TARGET_SHARE = 0.45
MIN_HEDGE_TARGET_SHARE = 0.12
# Median assumed until there are enough samples, as a share of the latency target.
INITIAL_MEDIAN_TARGET_SHARE = 0.12


class RouteLatencies:
    """Histograms of the leg latencies, by route."""

    def __init__(self) -> None:
        """Start without samples."""
        self._histogram_by_route: dict[str, LatencyHistogram] = {}
        # Number of samples from which a median was computed, and the median in seconds.
        self._cached_median_by_route: dict[str, tuple[float, float]] = {}

    def record(self, route: Route, leg_s: float) -> None:
        """Record the latency of one answered leg, in seconds."""
        histogram = self._histogram_by_route.get(route.name)
        if histogram is None:
            histogram = self._histogram_by_route[route.name] = LatencyHistogram()
        histogram.add(leg_s)

    def median_s(self, route: Route) -> float:
        """Return the median latency of a leg, in seconds."""
        histogram = self._histogram_by_route.get(route.name)
        if histogram is None or histogram.weighted_samples < MIN_SAMPLES:
            return route.latency_target_s * INITIAL_MEDIAN_TARGET_SHARE
        cached = self._cached_median_by_route.get(route.name)
        # The histogram caches only one quantile, the one used for hedges. The median
        # changes slowly, so it is cached here until a quarter more legs are recorded.
        if (
            cached is None
            or abs(histogram.weighted_samples - cached[0]) > cached[0] / 4
        ):
            cached = (histogram.weighted_samples, histogram.quantile_s(0.5))
            self._cached_median_by_route[route.name] = cached
        return cached[1]

    def hedge_delay_s(self, route: Route) -> float:
        """Return the delay before a hedge is sent, in seconds."""
        histogram = self._histogram_by_route.get(route.name)
        if histogram is None or histogram.weighted_samples < MIN_SAMPLES:
            return route.latency_target_s * INITIAL_HEDGE_TARGET_SHARE
        delay_s = histogram.recent_quantile_s(HEDGE_QUANTILE)
        min_delay_s = route.latency_target_s * MIN_HEDGE_TARGET_SHARE
        return max(
            min_delay_s, min(delay_s, route.latency_target_s * MAX_HEDGE_TARGET_SHARE)
        )

    def forget_absent(self, route_names: set[str]) -> None:
        """Drop the routes that are no longer in the configuration."""
        for name in self._histogram_by_route.keys() - route_names:
            del self._histogram_by_route[name]
            self._cached_median_by_route.pop(name, None)
