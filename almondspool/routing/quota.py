"""Quota of connections that one instance may open to each replica.

Every instance computes the same shares from the live members. The sum over all
instances thus stays within each replica's limit without messages between them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from almondspool.state.routes import Replica

# Share of a limit for the instances of the serving set. The rest is for the others,
# whose callers still use an old address list.
SERVING_SET_SHARE = 2.0 / 3.0
# While the serving set changes, the old and the new one both have connections, so each
# gets only its part of the share.
OVERLAPPING_SERVING_SETS = 2


class ShareAllocation(NamedTuple):
    """Division of a fleet-wide limit among the instances.

    Attributes:
        zone_by_instance: Availability zones of all live instances, by name.
        min_instance_count: Number of instances to assume at least, as not all may be
            known.
        serving: The serving set; empty if all instances serve.
    """

    zone_by_instance: Mapping[str, str]
    min_instance_count: int = 0
    serving: frozenset[str] = frozenset()

    def instance_count(self) -> int:
        """Return the number of instances among which a limit is divided."""
        return max(1, self.min_instance_count, len(self.zone_by_instance))

    def fraction(self, instance: str) -> float:
        """Return the fraction of a divisible limit that belongs to an instance."""
        if not self.serving:
            return 1.0 / self.instance_count()
        if instance in self.serving:
            return SERVING_SET_SHARE / (OVERLAPPING_SERVING_SETS * len(self.serving))
        return (1.0 - SERVING_SET_SHARE) / self.instance_count()


def connection_quota(
    max_connections: int, instance: str, allocation: ShareAllocation, replica: Replica
) -> int:
    """Return how many connections an instance may open to a replica.

    If there are fewer connections than instances, one connection each goes to instances
    in the replica's availability zone first, as they send it most of their legs, and
    then to those with the highest rendezvous weight, so that few connections are
    reassigned when an instance joins or leaves. What is left by the serving set is
    divided among the other instances alone: callers that still use an old address list
    need a replica of every shard there.

    Args:
        max_connections: Number of connections that the replica accepts from all
            instances together.
        instance: The instance whose quota is computed.
        allocation: Division of the limit among the instances.
        replica: The replica.
    """
    remaining = max_connections
    instance_count = allocation.instance_count()
    # Instances with a quota of their own.
    reserved: frozenset[str] = frozenset()
    if allocation.serving:
        serving_set_limit = int(max_connections * SERVING_SET_SHARE)
        serving_set_quota = serving_set_limit // (
            OVERLAPPING_SERVING_SETS * len(allocation.serving)
        )
        if serving_set_quota > 0 and instance in allocation.serving:
            return serving_set_quota
        if serving_set_quota > 0:
            remaining -= serving_set_limit
            reserved = allocation.serving
    share = remaining // max(1, instance_count - len(reserved))
    if share > 0:
        return share
    candidates = allocation.zone_by_instance.keys() - reserved
    rank = holder_rank(instance, candidates, allocation, replica)
    return 1 if rank < remaining else 0


def holder_rank(
    instance: str,
    candidates: Collection[str],
    allocation: ShareAllocation,
    replica: Replica,
) -> int:
    """Return how many candidates precede an instance as holders of a replica's limit.

    Those in the replica's availability zone come first, and then those with the highest
    rendezvous weight.

    Args:
        instance: The instance.
        candidates: Names of the instances among which the limit is divided.
        allocation: Division of limits, with the zones of the live instances.
        replica: The replica.
    """
    zone_by_instance = allocation.zone_by_instance

    def precedence(name: str) -> tuple[bool, int]:
        is_local = zone_by_instance.get(name) == replica.zone
        return is_local, weight(replica.replica_id, name)

    own_precedence = precedence(instance)
    return sum(precedence(other) > own_precedence for other in candidates)
