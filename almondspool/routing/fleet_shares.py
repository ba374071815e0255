"""How many instances share the limits that hold for all of them together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.routing.quota import Sharers, connection_quota

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica

# How long an instance that was lost still counts: it may be cut off and go on.
MEMORY_S = 12.0
# News of the last instance reach a fleet of some hundreds within this time.
SETTLE_S = 2.0
# Until the fleet is known, limits are shared as if there were so many instances:
# after all of them restarted each knows only itself.
ASSUMED_INSTANCES = 64


class FleetShares:
    """Keeps the instances that count, and works out the own part of a limit."""

    def __init__(self, instance: str, zone: str, now: float) -> None:
        """Start as an instance that knows no other."""
        self._instance = instance
        self._zone_by_instance = {instance: zone}
        self._seen_at_by_instance: dict[str, float] = {instance: now}
        self._settles_at = now + SETTLE_S
        self._was_settled = False
        self._serving: frozenset[str] = frozenset()

    def set_serving(self, serving: frozenset[str]) -> bool:
        """Take the instances that callers are sent to; empty where all serve.

        Returns:
            Whether shares have changed.
        """
        has_changed = serving != self._serving
        self._serving = serving
        return has_changed

    def update(self, now: float, zone_by_present: Mapping[str, str]) -> bool:
        """Take the instances that are not known to be dead, with their zones.

        Returns:
            Whether shares have changed.
        """
        known = len(self._seen_at_by_instance)
        for instance in (*zone_by_present, self._instance):
            self._seen_at_by_instance[instance] = now
        if not self.is_settled(now) and len(self._seen_at_by_instance) > known:
            # The fleet is still being discovered.
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
        """Take the instances that the store has records of.

        A restarted instance learns the size of its fleet from them before it has
        heard any other; records of instances that are gone only make its part smaller.

        Returns:
            Whether shares have changed.
        """
        if zone_by_recorded.keys() - {self._instance}:
            self._settles_at = min(self._settles_at, now)
        return self.update(now, zone_by_recorded)

    def is_settled(self, now: float) -> bool:
        """Return whether the fleet has been known for a while."""
        return now >= self._settles_at

    def count(self, now: float) -> int:
        """Return how many instances share a limit."""
        if self.is_settled(now):
            return len(self._zone_by_instance)
        return max(ASSUMED_INSTANCES, len(self._zone_by_instance))

    def sharers(self, now: float) -> float:
        """Return how many equal parts a divisible limit has, one of them the own."""
        return 1.0 / self._sharers(now).part(self._instance)

    def connections(self, now: float, limit: int, replica: Replica) -> int:
        """Return how many connections may be open to a replica."""
        return connection_quota(limit, self._instance, self._sharers(now), replica)

    def _sharers(self, now: float) -> Sharers:
        # Before the fleet is known, neither is who serves of it.
        serving = self._serving if self.is_settled(now) else frozenset()
        return Sharers(self._zone_by_instance, self.count(now), serving)
