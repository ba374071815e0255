"""Admission control for searches, by their expected wait in the upstreams' queues.

Queues without a limit would grow during a burst of searches or after the loss of many
upstreams, until no search is answered in time.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.routing.route_latencies import INITIAL_MEDIAN_TARGET_SHARE

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from almondspool.state.routes import Route

# Longest expected queue wait of an admitted search, as a share of the shortest latency
# target among the routes with the same shards. A longer queue would not increase the
# throughput, as the upstreams are never idle with this one. The rest of the target
# covers network, execution, pauses and the variation between shards.
MAX_WAIT_TARGET_SHARE = 0.5
# Share of that wait allowed to searches of less urgent routes. It reserves the end of
# the queue for the most urgent ones: about one of the six rounds (see SearchAdmission)
# that a searcher's queue holds.
LESS_URGENT_WAIT_SHARE = 0.85
# Weight of one leg in the moving average of the duration of a round. The average thus
# covers about a thousand legs, or a hundred searches of ten shards.
ROUND_AVERAGE_LEG_WEIGHT = 0.001
# No search is refused because of a queue shorter than this number of rounds: if it is
# late, the cause is another one, which a refusal would not remove.
MIN_QUEUE_ROUNDS = 0.5
# Expected waits above this share of the allowed wait are logged.
BACKLOG_WARNING_SHARE = 0.5


class AdmissionDecision(NamedTuple):
    """Whether a search is admitted, and the waits that were compared.

    Attributes:
        is_admitted: Whether to run the search.
        wait_s: Expected queue wait of the slowest leg that is needed, in seconds.
        allowed_s: Longest wait that is allowed, in seconds.
        is_backlogged: Whether the wait is long enough to be logged.
    """

    is_admitted: bool
    wait_s: float
    allowed_s: float
    is_backlogged: bool


class _Queue:
    """Queue of one set of shards, shared by the routes that search them.

    Attributes:
        min_latency_target_s: The shortest latency target of these routes, in seconds.
        most_urgent_priority: The priority of the most urgent of these routes.
        round_s: Moving average of the duration of a round, in seconds.
    """

    __slots__ = ("most_urgent_priority", "min_latency_target_s", "round_s")

    def __init__(self, routes: Sequence[Route], previous: _Queue | None) -> None:
        self.min_latency_target_s = min(route.latency_target_s for route in routes)
        self.most_urgent_priority = min(route.priority for route in routes)
        # Until a leg is observed, a round is assumed to take the initial median.
        initial_round_s = self.min_latency_target_s * INITIAL_MEDIAN_TARGET_SHARE
        self.round_s = previous.round_s if previous else initial_round_s


class SearchAdmission:
    """Predicts the wait of a search's legs from the queues ahead of them.

    Queues are measured in rounds. In one round an upstream completes as many legs as
    it has slots.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._queue_by_shards: dict[tuple[str, ...], _Queue] = {}

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Set the routes; the round durations of shard sets that stay are kept."""
        routes_by_shards = collections.defaultdict(list)
        for route in routes:
            if route.is_search:
                routes_by_shards[route.shards].append(route)
        previous = self._queue_by_shards
        self._queue_by_shards = {
            shards: _Queue(routes_of_shards, previous.get(shards))
            for shards, routes_of_shards in routes_by_shards.items()
        }

    def is_most_urgent(self, route: Route) -> bool:
        """Return whether no route that uses the same upstreams is more urgent."""
        queue = self._queue_by_shards.get(route.shards)
        return queue is None or route.priority <= queue.most_urgent_priority

    def record_unqueued_leg(self, route: Route, leg_s: float) -> None:
        """Update the duration of a round from a leg that found a free slot.

        Args:
            route: The leg's route.
            leg_s: The leg's latency, in seconds.
        """
        queue = self._queue_by_shards.get(route.shards)
        if queue is not None:
            queue.round_s += ROUND_AVERAGE_LEG_WEIGHT * (leg_s - queue.round_s)

    def decide(
        self, route: Route, queue_rounds: Sequence[float], required_count: int
    ) -> AdmissionDecision:
        """Decide whether to run a search.

        Args:
            route: A route with shards.
            queue_rounds: Queue at the replica chosen for each reachable shard, in
                rounds.
            required_count: Number of shards that must reply. If fewer are reachable,
                the search is decided on by their queues: it is also what finds out
                that the others are back.
        """
        queue = self._queue_by_shards.get(route.shards)
        if queue is None or not queue_rounds:
            return AdmissionDecision(True, 0.0, 0.0, False)
        rounds = sorted(queue_rounds)[min(required_count, len(queue_rounds)) - 1]
        wait_s = rounds * queue.round_s
        allowed_s = MAX_WAIT_TARGET_SHARE * queue.min_latency_target_s
        if route.priority > queue.most_urgent_priority:
            allowed_s *= LESS_URGENT_WAIT_SHARE
        is_queued = rounds >= MIN_QUEUE_ROUNDS
        return AdmissionDecision(
            not is_queued or wait_s <= allowed_s,
            wait_s,
            allowed_s,
            is_queued and wait_s > BACKLOG_WARNING_SHARE * allowed_s,
        )
