"""Which instances watch the store, and whom the others follow.

A waiting watch is a priced call, and each change ends the watches of all who wait. In
a large fleet a few instances watch, and the others follow those over connections of
their own; the number of calls then grows with an eighth of the fleet.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

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

    def pick(self, kind: str, failures: int) -> str:
        """Return the instance to follow next, or an empty name for the store.

        Args:
            kind: The kind that is followed.
            failures: How many calls in a row have failed.
        """
        watchers = self.watchers(kind)
        if not watchers or self._instance in watchers:
            return ""
        if failures >= MAX_PEER_FAILURES:
            return ""
        near = [name for name in watchers if self._zone_by_instance[name] == self._zone]
        # After a failure any other may do, as a whole zone may be cut off.
        return self._rng.choice(near if near and not failures else watchers)
