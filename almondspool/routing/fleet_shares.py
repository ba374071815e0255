"""This instance's shares of the limits that hold for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.routing.quota import ShareAllocation, connection_quota

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica

# How long a lost instance still counts: it may be partitioned and keep running.
LOST_INSTANCE_TTL_S = 12.0
# Time without a new instance after which the fleet counts as known; the membership of
# a fleet of some hundreds converges within it.
CONVERGENCE_S = 2.0
# Until then, limits are divided among at least this many instances: after a restart of
# the whole fleet each instance knows only itself.
MIN_ASSUMED_INSTANCES = 64


class FleetShares:
    """Tracks the instances of the fleet and computes this instance's shares."""

    def __init__(self, instance: str, zone: str, now: float) -> None:
        """Start with this instance as the only known one."""
        self._instance = instance
        self._zone_by_instance = {instance: zone}
        self._last_seen_at_by_instance: dict[str, float] = {instance: now}
        self._converges_at = now + CONVERGENCE_S
        self._was_converged = False
        self._serving: frozenset[str] = frozenset()

    def set_serving_set(self, serving: frozenset[str]) -> bool:
        """Set the serving set; empty if all instances serve.

        Returns:
            Whether shares have changed.
        """
        has_changed = serving != self._serving
        self._serving = serving
        return has_changed

    def update(self, now: float, zone_by_live_instance: Mapping[str, str]) -> bool:
        """Update the instances that are not known to be dead, with their zones.

        Returns:
            Whether shares have changed.
        """
        known_count = len(self._last_seen_at_by_instance)
        for instance in (*zone_by_live_instance, self._instance):
            self._last_seen_at_by_instance[instance] = now
        if (
            not self.is_converged(now)
            and len(self._last_seen_at_by_instance) > known_count
        ):
            # Discovery of the fleet is still in progress.
            self._converges_at = now + CONVERGENCE_S
        self._last_seen_at_by_instance = {
            instance: last_seen_at
            for instance, last_seen_at in self._last_seen_at_by_instance.items()
            if now - last_seen_at < LOST_INSTANCE_TTL_S
        }
        previous = self._zone_by_instance, self._was_converged
        zones = {**self._zone_by_instance, **zone_by_live_instance}
        self._zone_by_instance = {
            instance: zones[instance]
            for instance in sorted(self._last_seen_at_by_instance)
        }
        self._was_converged = self.is_converged(now)
        return previous != (self._zone_by_instance, self._was_converged)

    def update_from_records(
        self, now: float, zone_by_recorded_instance: Mapping[str, str]
    ) -> bool:
        """Update the instances from their records in the store.

        They tell a restarted instance the size of its fleet before it has heard from
        any other; records of instances that are gone only make its share smaller.

        Returns:
            Whether shares have changed.
        """
        if zone_by_recorded_instance.keys() - {self._instance}:
            self._converges_at = min(self._converges_at, now)
        return self.update(now, zone_by_recorded_instance)

    def is_converged(self, now: float) -> bool:
        """Return whether discovery of the fleet has ended."""
        return now >= self._converges_at

    def instance_count(self, now: float) -> int:
        """Return among how many instances a limit is divided."""
        if self.is_converged(now):
            return len(self._zone_by_instance)
        return max(MIN_ASSUMED_INSTANCES, len(self._zone_by_instance))

    def share_divisor(self, now: float) -> float:
        """Return the divisor that gives this instance's share of a divisible limit."""
        return 1.0 / self._allocation(now).fraction(self._instance)

    def max_connections(self, now: float, limit: int, replica: Replica) -> int:
        """Return how many connections this instance may open to a replica.

        Args:
            now: Monotonic seconds.
            limit: Connections the replica accepts from all instances together.
            replica: The replica.
        """
        return connection_quota(limit, self._instance, self._allocation(now), replica)

    def _allocation(self, now: float) -> ShareAllocation:
        # Until the fleet is known, the serving set is not known either.
        serving = self._serving if self.is_converged(now) else frozenset()
        return ShareAllocation(
            self._zone_by_instance, self.instance_count(now), serving
        )
