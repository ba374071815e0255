"""This instance's shares of the limits that hold for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.routing.quota import Sharers, connection_quota

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica

# How long a lost instance still counts: it may be partitioned and keep running.
MEMORY_S = 12.0
# Time without a new instance after which the fleet counts as known; the membership of
# a fleet of some hundreds converges within it.
SETTLE_S = 2.0
# Until then, limits are divided among at least this many instances: after a restart of
# the whole fleet each instance knows only itself.
ASSUMED_INSTANCES = 64


class FleetShares:
    """Tracks the instances of the fleet and computes this instance's shares."""

    def __init__(self, instance: str, zone: str, now: float) -> None:
        """Start with this instance as the only known one."""
        self._instance = instance
        self._zone_by_instance = {instance: zone}
        self._seen_at_by_instance: dict[str, float] = {instance: now}
        self._settles_at = now + SETTLE_S
        self._was_settled = False
        self._serving: frozenset[str] = frozenset()

    def set_serving(self, serving: frozenset[str]) -> bool:
        """Set the serving set; empty if all instances serve.

        Returns:
            Whether shares have changed.
        """
        has_changed = serving != self._serving
        self._serving = serving
        return has_changed

    def update(self, now: float, zone_by_present: Mapping[str, str]) -> bool:
        """Update the instances that are not known to be dead, with their zones.

        Returns:
            Whether shares have changed.
        """
        known = len(self._seen_at_by_instance)
        for instance in (*zone_by_present, self._instance):
            self._seen_at_by_instance[instance] = now
        if not self.is_settled(now) and len(self._seen_at_by_instance) > known:
            # Discovery of the fleet is still in progress.
            self._settles_at = now + SETTLE_S
        self._seen_at_by_instance = {
            instance: seen_at
            for instance, seen_at in self._seen_at_by_instance.items()
            if now - seen_at < MEMORY_S
        }
        former = self._zone_by_instance, self._was_settled
        zones = {**self._zone_by_instance, **zone_by_present}
        self._zone_by_instance = {
            instance: zones[instance] for instance in sorted(self._seen_at_by_instance)
        }
        self._was_settled = self.is_settled(now)
        return former != (self._zone_by_instance, self._was_settled)

    def take_records(self, now: float, zone_by_recorded: Mapping[str, str]) -> bool:
        """Update the instances from their records in the store.

        They tell a restarted instance the size of its fleet before it has heard from
        any other; records of instances that are gone only make its share smaller.

        Returns:
            Whether shares have changed.
        """
        if zone_by_recorded.keys() - {self._instance}:
            self._settles_at = min(self._settles_at, now)
        return self.update(now, zone_by_recorded)

    def is_settled(self, now: float) -> bool:
        """Return whether discovery of the fleet has ended."""
        return now >= self._settles_at

    def count(self, now: float) -> int:
        """Return among how many instances a limit is divided."""
        if self.is_settled(now):
            return len(self._zone_by_instance)
        return max(ASSUMED_INSTANCES, len(self._zone_by_instance))

    def sharers(self, now: float) -> float:
        """Return the divisor that gives this instance's share of a divisible limit."""
        return 1.0 / self._sharers(now).part(self._instance)

    def connections(self, now: float, limit: int, replica: Replica) -> int:
        """Return how many connections this instance may open to a replica.

        Args:
            now: Monotonic seconds.
            limit: Connections the replica accepts from all instances together.
            replica: The replica.
        """
        return connection_quota(limit, self._instance, self._sharers(now), replica)

    def _sharers(self, now: float) -> Sharers:
        # Until the fleet is known, the serving set is not known either.
        serving = self._serving if self.is_settled(now) else frozenset()
        return Sharers(self._zone_by_instance, self.count(now), serving)
