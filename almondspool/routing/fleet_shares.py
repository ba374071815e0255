"""This instance's shares of the limits that hold for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.routing.quota import ShareAllocation, connection_quota
from almondspool.routing.rate_limit import rate_quota

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica

# How long an instance that is no longer live still counts, as it may be partitioned and
# still use its share.
LOST_INSTANCE_TTL_S = 12.0
# Time without a new instance after which the fleet counts as known. The membership of a
# fleet of some hundred instances converges within this time.
CONVERGENCE_S = 2.0
# Until the fleet is known, limits are divided among at least this many instances: after
# a restart of the whole fleet, each instance at first knows only itself.
MIN_ASSUMED_INSTANCES = 64


class FleetShares:
    """Tracks the instances of the fleet and computes this instance's shares."""

    def __init__(self, instance: str, zone: str, now: float) -> None:
        """Start with this instance as the only known one.

        Args:
            instance: The name of this instance.
            zone: Its availability zone.
            now: Monotonic seconds.
        """
        self._instance = instance
        self._zone_by_instance = {instance: zone}
        self._last_seen_at_by_instance: dict[str, float] = {instance: now}
        self._converges_at = now + CONVERGENCE_S
        self._was_converged = False
        self._serving_set: frozenset[str] = frozenset()

    def set_serving_set(self, serving: frozenset[str]) -> bool:
        """Set the names of the instances that serve; empty if all do.

        Returns:
            Whether shares have changed.
        """
        has_changed = serving != self._serving_set
        self._serving_set = serving
        return has_changed

    def update(self, now: float, zone_by_live_instance: Mapping[str, str]) -> bool:
        """Update the instances that are not known to be dead.

        Args:
            now: Monotonic seconds.
            zone_by_live_instance: Availability zones of these instances, by name.

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

        From the records a restarted instance knows the size of its fleet before it has
        heard from any other. Records of instances that are gone only make its share
        smaller.

        Args:
            now: Monotonic seconds.
            zone_by_recorded_instance: Availability zones of the instances with a
                record, by name.

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
        """Return the number of instances among which a limit is divided."""
        if self.is_converged(now):
            return len(self._zone_by_instance)
        return max(MIN_ASSUMED_INSTANCES, len(self._zone_by_instance))

    def share_divisor(self, now: float) -> float:
        """Return by what to divide a divisible limit for this instance's share."""
        return 1.0 / self._allocation(now).fraction(self._instance)

    def max_connections(self, now: float, limit: int, replica: Replica) -> int:
        """Return how many connections this instance may open to a replica.

        Args:
            now: Monotonic seconds.
            limit: Number of connections that the replica accepts from all instances
                together.
            replica: The replica.
        """
        return connection_quota(limit, self._instance, self._allocation(now), replica)

    def max_request_rate(
        self, now: float, rate_limit: float, replica: Replica
    ) -> float:
        """Return how many requests a second this instance may send to a replica.

        Args:
            now: Monotonic seconds.
            rate_limit: Requests a second that the replica accepts from all instances
                together.
            replica: The replica.
        """
        return rate_quota(rate_limit, self._instance, self._allocation(now), replica)

    def _allocation(self, now: float) -> ShareAllocation:
        # Until the fleet is known, the serving set is not known either.
        serving = self._serving_set if self.is_converged(now) else frozenset()
        return ShareAllocation(
            self._zone_by_instance, self.instance_count(now), serving
        )
