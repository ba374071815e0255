"""Whether a search can be answered in time behind what waits at the upstreams.

Answers a burst of callers, or the loss of many upstreams: without a bound the queues
at the upstreams grow until every search is late, and none is served in time.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.routing.route_times import FIRST_USUAL_GOAL_SHARE

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from almondspool.state.routes import Route

# Part of the tightest goal of the routes that queue together which a search may wait.
# A longer queue serves no more searches, as the upstreams are busy with this one; the
# rest of the goal covers ways, run, pauses and the spread over the shards. From trials
# of 0.4 to 0.8 on bursts, with and without a third of the searchers lost.
WAIT_GOAL_SHARE = 0.65
# Less urgent searches leave the end of the queue to more urgent ones: about one of
# the six turns that the queue of a searcher holds.
LESS_URGENT_SHARE = 0.85
# Weight of one leg in the mean time of a turn: a hundred searches of ten shards.
TURN_WEIGHT = 0.001
# Below a queue of this many turns nothing is refused: what is late then is late for
# another reason, which refusing would not mend.
MIN_TURNS = 0.5
# From this part of the allowed wait on the queue is worth a line in the log.
WARNING_SHARE = 0.5


class Verdict(NamedTuple):
    """Whether a search is taken, with what decided it.

    Attributes:
        is_admitted: Whether to run it.
        wait_s: Expected wait of the slowest leg that is needed, in seconds.
        allowed_s: What it may wait, in seconds.
        is_backlogged: Whether the wait nears what is allowed.
    """

    is_admitted: bool
    wait_s: float
    allowed_s: float
    is_backlogged: bool


class _Queue:
    """What is known of one set of shards, whose routes queue together."""

    __slots__ = ("most_urgent", "tightest_goal_s", "turn_s")

    def __init__(self, routes: Sequence[Route], known: _Queue | None) -> None:
        self.tightest_goal_s = min(route.goal_s for route in routes)
        self.most_urgent = min(route.priority for route in routes)
        # Until legs were seen, a turn is taken for a usual leg.
        first_s = self.tightest_goal_s * FIRST_USUAL_GOAL_SHARE
        self.turn_s = known.turn_s if known else first_s


class SearchAdmission:
    """Predicts the wait of a search's legs from the queues in front of them.

    A turn is the time in which an upstream ends as many legs as it runs at once.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._queues_by_shards: dict[tuple[str, ...], _Queue] = {}

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Take the routes of a configuration; what was learned of shards stays."""
        routes_by_shards = collections.defaultdict(list)
        for route in routes:
            if route.is_search:
                routes_by_shards[route.shards].append(route)
        known = self._queues_by_shards
        self._queues_by_shards = {
            shards: _Queue(together, known.get(shards))
            for shards, together in routes_by_shards.items()
        }

    def note_unqueued_leg(self, route: Route, leg_s: float) -> None:
        """Learn the time of a turn from a leg that found a slot free.

        Args:
            route: The leg's route.
            leg_s: Its time, in seconds.
        """
        queue = self._queues_by_shards.get(route.shards)
        if queue is not None:
            queue.turn_s += TURN_WEIGHT * (leg_s - queue.turn_s)

    def has_room(self, route: Route, queued_turns: float) -> bool:
        """Return whether one more leg behind so many turns can come in time."""
        return self.judge(route, (queued_turns,), 1).is_admitted

    def judge(
        self, route: Route, queued_turns: Sequence[float], needed: int
    ) -> Verdict:
        """Decide whether a search is run.

        Args:
            route: A route with shards.
            queued_turns: For each shard that can be asked, the turns ahead; at least
                as many as are needed.
            needed: How many shards must answer.
        """
        queue = self._queues_by_shards.get(route.shards)
        if queue is None:
            return Verdict(True, 0.0, 0.0, False)
        turns = sorted(queued_turns)[needed - 1]
        wait_s = turns * queue.turn_s
        allowed_s = WAIT_GOAL_SHARE * queue.tightest_goal_s
        if route.priority > queue.most_urgent:
            allowed_s *= LESS_URGENT_SHARE
        is_queue = turns >= MIN_TURNS
        return Verdict(
            not is_queue or wait_s <= allowed_s,
            wait_s,
            allowed_s,
            is_queue and wait_s > WARNING_SHARE * allowed_s,
        )
