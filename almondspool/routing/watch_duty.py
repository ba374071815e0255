"""Which instances watch the store, and whom the others follow.

A waiting watch is a priced call, and each change ends the watches of all who wait. In
a large fleet a few instances watch, and the others follow those over connections of
their own; the number of calls then grows with an eighth of the fleet.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

# Up to this many instances each watches the store itself: the calls cost less than
# the delay and the risk of a step between.
DIRECT_FLEET = 16
FOLLOWERS_PER_WATCHER = 8
MIN_WATCHERS = 3
# Failures in a row after which a follower turns to the store itself.
MAX_PEER_FAILURES = 2
# An instance that restarts hears the members within some round trips, if any are there.
RESTART_WAIT_S = 0.4
# Members of a fleet that starts at once know each other after two seconds; those that
# watch then read first. Callers come some seconds later.
FIRST_START_WAIT_S = 4.0
VIEW_POLL_S = 0.02


class FirstRead(NamedTuple):
    """When an instance that started reads a large kind for the first time.

    Answers a large fleet that starts at once, and rolling restarts: an instance that
    knows its fleet reads from one that watches, in its own zone, instead of the store.

    Attributes:
        waited_s: For how long the read was put off.
        is_view_known: Whether the members are known.
        is_watcher: Whether this instance reads from the store in any case.
        is_new_fleet: Whether the whole fleet starts for the first time, when callers
            are still to come and watchers have yet to read.
    """

    waited_s: float
    is_view_known: bool
    is_watcher: bool
    is_new_fleet: bool

    def delay_s(self) -> float:
        """Return for how much longer to wait, in seconds; 0.0 to read now."""
        limit_s = FIRST_START_WAIT_S if self.is_new_fleet else RESTART_WAIT_S
        if self.waited_s >= limit_s:
            return 0.0
        if self.is_view_known and (self.is_watcher or not self.is_new_fleet):
            return 0.0
        return min(VIEW_POLL_S, limit_s - self.waited_s)


class WatchDuty:
    """Works out the watchers from the live members, alike on every instance."""

    def __init__(self, instance: str, zone: str, rng: random.Random) -> None:
        """Start as an instance that knows no other, and so watches itself."""
        self._instance = instance
        self._zone = zone
        self._rng = rng
        self._zone_by_instance: Mapping[str, str] = {}

    def update(self, zone_by_instance: Mapping[str, str]) -> None:
        """Take the instances that serve, with their zones."""
        self._zone_by_instance = dict(zone_by_instance)

    def watchers(self, kind: str) -> tuple[str, ...]:
        """Return the instances that watch a kind; empty if each does itself."""
        count = len(self._zone_by_instance)
        if count <= DIRECT_FLEET:
            return ()
        wanted = max(MIN_WATCHERS, math.ceil(count / FOLLOWERS_PER_WATCHER))
        ranked = sorted(
            self._zone_by_instance, key=lambda name: weight(kind, name), reverse=True
        )
        return tuple(ranked[:wanted])

    def is_watcher(self, kind: str) -> bool:
        """Return whether this instance watches a kind in the store itself."""
        watchers = self.watchers(kind)
        return not watchers or self._instance in watchers

    def pick(self, kind: str, failures: int) -> str:
        """Return the instance to follow next, or an empty name for the store.

        Args:
            kind: The kind that is followed.
            failures: How many calls in a row have failed.
        """
        watchers = self.watchers(kind)
        if self.is_watcher(kind):
            return ""
        if failures >= MAX_PEER_FAILURES:
            return ""
        near = [name for name in watchers if self._zone_by_instance[name] == self._zone]
        # After a failure any other may do, as a whole zone may be cut off.
        return self._rng.choice(near if near and not failures else watchers)
