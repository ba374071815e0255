"""Selection of the instances that watch the store, and of the one that another follows.

Every watch is a billed call, and each change ends all pending watches. In a large fleet
only a few instances, the watchers, watch the store, and each of the others follows one
of them over a peer connection. The number of calls is thus proportional to an eighth of
the fleet.

Watchers are selected for each kind of object in the store, such as ``config``.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping

    from almondspool.state.members import Member

# In a fleet of at most this many instances each one watches the store itself: the calls
# cost less than the delay and the risk of an intermediate instance.
MAX_FLEET_SIZE_WITHOUT_FOLLOWERS = 16
INSTANCES_PER_WATCHER = 8
MIN_WATCHERS = 3
# Number of consecutive failed calls after which an instance reads from the store itself
# instead of a watcher.
MAX_PEER_FAILURES = 2
# Longest delay of the first read of a restarted instance, which learns of the members
# within some round trips, if there are any.
MAX_RESTART_DELAY_S = 0.4
# Longest delay of the first read in a fleet that starts as a whole. Its members know
# each other after two seconds, and the watchers then read first. Callers arrive some
# seconds later.
MAX_FIRST_START_DELAY_S = 4.0
# Interval at which a delayed first read checks whether it may start.
MEMBERS_POLL_INTERVAL_S = 0.02


def fallback_order(
    members: Iterable[Member], revision: Callable[[Member], int]
) -> list[Member]:
    """Return the members in the order in which to list a kind from them.

    An instance that cannot reach the store is often partitioned together with others,
    which have lost the store at the same time.

    Args:
        members: The other instances.
        revision: Returns the revision of the kind that a member is known to have.
    """
    return sorted(members, key=revision, reverse=True)


class InitialReadDelay(NamedTuple):
    """Delay of the first read of a kind with much data after the start of an instance.

    Limits the load on the store when a large fleet starts as a whole or in a rolling
    restart: an instance that waits until it knows its fleet can read from a watcher in
    its own zone instead of the store.

    Attributes:
        waited_s: How long the read has been delayed so far, in seconds.
        is_view_known: Whether the members are known.
        is_watcher: Whether this instance reads from the store in any case.
        is_new_fleet: Whether the whole fleet starts for the first time, so that
            callers have not arrived yet and watchers have yet to read.
        known_instance_count: Number of instances according to their records in the
            store; 0 if the records have not been read yet.
    """

    waited_s: float
    is_view_known: bool
    is_watcher: bool
    is_new_fleet: bool
    known_instance_count: int = 0

    def delay_s(self) -> float:
        """Return the remaining delay in seconds, or 0.0 to read now."""
        limit_s = MAX_FIRST_START_DELAY_S if self.is_new_fleet else MAX_RESTART_DELAY_S
        if self.waited_s >= limit_s:
            return 0.0
        if self.is_view_known and (self.is_watcher or not self.is_new_fleet):
            return 0.0
        # Nobody is followed in a small fleet, so there is no member to wait for.
        is_small = 0 < self.known_instance_count <= MAX_FLEET_SIZE_WITHOUT_FOLLOWERS
        if is_small and not self.is_new_fleet:
            return 0.0
        return min(MEMBERS_POLL_INTERVAL_S, limit_s - self.waited_s)


class WatcherSelector:
    """Computes the watchers from the live members, with the same result everywhere."""

    def __init__(self, instance: str, zone: str, rng: random.Random) -> None:
        """Start with no other instance known, so that this one watches the store.

        Args:
            instance: The name of this instance.
            zone: Its availability zone.
            rng: Source of the choice among watchers.
        """
        self._instance = instance
        self._zone = zone
        self._rng = rng
        self._zone_by_instance: Mapping[str, str] = {}

    def update(self, zone_by_instance: Mapping[str, str]) -> None:
        """Set the availability zones of the live and ready instances, by name."""
        self._zone_by_instance = dict(zone_by_instance)

    def watchers(self, kind: str) -> tuple[str, ...]:
        """Return the instances that watch a kind; empty if every instance does."""
        instance_count = len(self._zone_by_instance)
        if instance_count <= MAX_FLEET_SIZE_WITHOUT_FOLLOWERS:
            return ()
        watcher_count = max(
            MIN_WATCHERS, math.ceil(instance_count / INSTANCES_PER_WATCHER)
        )
        ranked_instances = sorted(
            self._zone_by_instance, key=lambda name: weight(kind, name), reverse=True
        )
        return tuple(ranked_instances[:watcher_count])

    def is_watcher(self, kind: str) -> bool:
        """Return whether this instance watches a kind in the store itself."""
        watchers = self.watchers(kind)
        return not watchers or self._instance in watchers

    def choose_source(self, kind: str, failures: int) -> str:
        """Return the instance to follow next, or an empty string for the store.

        Args:
            kind: The kind to follow.
            failures: Number of consecutive failed calls.
        """
        watchers = self.watchers(kind)
        if self.is_watcher(kind):
            return ""
        if failures >= MAX_PEER_FAILURES:
            return ""
        local = [
            name for name in watchers if self._zone_by_instance[name] == self._zone
        ]
        # After a failure any watcher may be chosen, as the own zone may be partitioned.
        return self._rng.choice(local if local and not failures else watchers)
