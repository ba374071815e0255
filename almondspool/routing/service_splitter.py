"""Weighted split of a route's requests among its services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from almondspool.state.routes import Route, WeightedService


class ServiceSplitter:
    """Chooses the service of each request by smooth weighted round robin.

    On every instance, the number of requests that a service has received is at any time
    within one request of its share, so that the shares hold over all instances as well.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without routes.

        Args:
            rng: Source of the random position at which each route's rotation starts,
                so that instances differ.
        """
        self._rng = rng
        # The weighted services of each route, and the current credit of each service.
        self._credits_by_route: dict[
            str, tuple[tuple[WeightedService, ...], list[float]]
        ]
        self._credits_by_route = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        candidates = route.weighted_services
        if len(candidates) == 1:
            return candidates[0].service
        state = self._credits_by_route.get(route.name)
        if state is None or state[0] != candidates:
            state = (
                candidates,
                [self._rng.random() * candidate.weight for candidate in candidates],
            )
            self._credits_by_route[route.name] = state
        credits = state[1]
        for index, candidate in enumerate(candidates):
            credits[index] += candidate.weight
        best = max(range(len(candidates)), key=credits.__getitem__)
        credits[best] -= sum(candidate.weight for candidate in candidates)
        return candidates[best].service

    def forget_absent(self, route_names: set[str]) -> None:
        """Drop the routes that are no longer in the configuration."""
        for name in self._credits_by_route.keys() - route_names:
            del self._credits_by_route[name]
