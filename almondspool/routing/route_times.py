"""Times of the legs of each route: what is usual, and when to hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.upstreams.latency import LatencyHistogram

if TYPE_CHECKING:
    from almondspool.state.routes import Route

# A searcher pauses for 100 to 120 ms every 2.4 to 3 s: 4% of the legs, and those
# that wait behind them. Legs over this quantile have probably met a pause.
HEDGE_QUANTILE = 0.9
# Legs before the quantile is used; a search brings ten at once.
MIN_SAMPLES = 40
# Before that, a hedge leaves after this part of the route's goal.
FIRST_HEDGE_GOAL_SHARE = 0.3
# A hedge must leave early enough to be answered within the goal.
MAX_HEDGE_GOAL_SHARE = 0.45
MIN_HEDGE_GOAL_SHARE = 0.12
FIRST_USUAL_GOAL_SHARE = 0.12


class RouteTimes:
    """Histograms of the leg times by route."""

    def __init__(self) -> None:
        """Start without samples."""
        self._legs_by_route: dict[str, LatencyHistogram] = {}
        self._usual_by_route: dict[str, tuple[float, float]] = {}

    def note(self, route: Route, leg_s: float) -> None:
        """Take the time of one answered leg, in seconds."""
        histogram = self._legs_by_route.get(route.name)
        if histogram is None:
            histogram = self._legs_by_route[route.name] = LatencyHistogram()
        histogram.add(leg_s)

    def usual_s(self, route: Route) -> float:
        """Return the median time of a leg, in seconds."""
        histogram = self._legs_by_route.get(route.name)
        if histogram is None or histogram.total < MIN_SAMPLES:
            return route.goal_s * FIRST_USUAL_GOAL_SHARE
        known = self._usual_by_route.get(route.name)
        # The histogram caches one quantile, that of the hedges; the median moves
        # slowly and is kept here until a quarter more legs were seen.
        if known is None or abs(histogram.total - known[0]) > known[0] / 4:
            known = (histogram.total, histogram.quantile_s(0.5))
            self._usual_by_route[route.name] = known
        return known[1]

    def hedge_delay_s(self, route: Route) -> float:
        """Return how long to wait for a leg before a hedge, in seconds."""
        histogram = self._legs_by_route.get(route.name)
        if histogram is None or histogram.total < MIN_SAMPLES:
            return route.goal_s * FIRST_HEDGE_GOAL_SHARE
        delay_s = histogram.recent_quantile_s(HEDGE_QUANTILE)
        low_s = route.goal_s * MIN_HEDGE_GOAL_SHARE
        return max(low_s, min(delay_s, route.goal_s * MAX_HEDGE_GOAL_SHARE))

    def forget_absent(self, route_names: set[str]) -> None:
        """Drop the routes that left the configuration."""
        for name in self._legs_by_route.keys() - route_names:
            del self._legs_by_route[name]
            self._usual_by_route.pop(name, None)
