"""Quota of connections that one instance may open to each replica.

Every instance computes the same shares from the live members, so that the sum over
all instances stays within each replica's limit without messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica

# Share of a limit that belongs to the serving set; the other instances divide the
# rest, for callers that still use an old address list.
SERVING_SET_SHARE = 2.0 / 3.0
# While the serving set changes, the old and the new one hold connections together.
CONCURRENT_SERVING_SETS = 2


class ShareAllocation(NamedTuple):
    """Division of a fleet-wide limit among the instances.

    Attributes:
        zone_by_instance: Availability zones of all live instances.
        count: How many instances to assume where not all are known.
        serving: The serving set; empty if all instances serve.
    """

    zone_by_instance: Mapping[str, str]
    count: int = 0
    serving: frozenset[str] = frozenset()

    def instance_count(self) -> int:
        """Return the number of instances to assume."""
        return max(1, self.count, len(self.zone_by_instance))

    def fraction(self, instance: str) -> float:
        """Return the fraction of a divisible limit that belongs to an instance."""
        if not self.serving:
            return 1.0 / self.instance_count()
        if instance in self.serving:
            return SERVING_SET_SHARE / (CONCURRENT_SERVING_SETS * len(self.serving))
        return (1.0 - SERVING_SET_SHARE) / self.instance_count()


def connection_quota(
    max_connections: int, instance: str, allocation: ShareAllocation, replica: Replica
) -> int:
    """Return how many connections an instance may open to a replica.

    With fewer connections than instances, instances in the replica's availability
    zone come first, as they send it most of their legs, then those of the highest
    rendezvous weight, so that few connections are reassigned when an instance joins
    or leaves.

    Args:
        max_connections: Connections the replica accepts from all instances together.
        instance: The instance whose quota is computed.
        allocation: Division of the limit among the instances.
        replica: The replica.
    """
    remaining = max_connections
    if allocation.serving:
        reserved = int(max_connections * SERVING_SET_SHARE)
        serving_quota = reserved // (CONCURRENT_SERVING_SETS * len(allocation.serving))
        if serving_quota > 0 and instance in allocation.serving:
            return serving_quota
        if serving_quota > 0:
            remaining -= reserved
    share = remaining // allocation.instance_count()
    if share > 0:
        return share
    zone_by_instance = allocation.zone_by_instance

    def rank(name: str) -> tuple[bool, int]:
        is_local = zone_by_instance[name] == replica.zone
        return is_local, weight(replica.replica_id, name)

    own = rank(instance)
    ahead = sum(rank(other) > own for other in zone_by_instance)
    return 1 if ahead < remaining else 0
