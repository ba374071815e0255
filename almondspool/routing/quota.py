"""Connections that one instance may open to each replica.

Every instance works out the same shares from the live members, so the sum over all
instances stays within each replica's limit without a message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica

# Part of a limit that belongs to the instances that callers are sent to; the others
# share the rest, for callers that keep an old list.
SERVING_SHARE = 2.0 / 3.0
# While a set changes, the former and the new one hold connections side by side.
SERVING_SETS = 2


class Sharers(NamedTuple):
    """Who shares the limits that hold for all instances together.

    Attributes:
        zone_by_instance: All live instances.
        count: How many there may be, where not all are known.
        serving: Those that callers are sent to; empty where all of them serve.
    """

    zone_by_instance: Mapping[str, str]
    count: int = 0
    serving: frozenset[str] = frozenset()

    def total(self) -> int:
        """Return how many instances there may be."""
        return max(1, self.count, len(self.zone_by_instance))

    def part(self, instance: str) -> float:
        """Return the part of a divisible limit that belongs to an instance."""
        if not self.serving:
            return 1.0 / self.total()
        if instance in self.serving:
            return SERVING_SHARE / (SERVING_SETS * len(self.serving))
        return (1.0 - SERVING_SHARE) / self.total()


def connection_quota(
    max_connections: int, instance: str, sharers: Sharers, replica: Replica
) -> int:
    """Return how many connections an instance may open to a replica.

    With fewer connections than instances, those of the replica's availability zone
    come first, as they send it most of their legs, then those of the highest
    rendezvous weight, so that few change hands when an instance comes or goes.

    Args:
        max_connections: What the replica accepts from all instances together.
        instance: The instance that asks.
        sharers: Who shares the limit.
        replica: The replica.
    """
    left = max_connections
    if sharers.serving:
        reserved = int(max_connections * SERVING_SHARE)
        each = reserved // (SERVING_SETS * len(sharers.serving))
        if each > 0 and instance in sharers.serving:
            return each
        if each > 0:
            left -= reserved
    share = left // sharers.total()
    if share > 0:
        return share
    zone_by_instance = sharers.zone_by_instance

    def rank(name: str) -> tuple[bool, int]:
        is_near = zone_by_instance[name] == replica.zone
        return is_near, weight(replica.replica_id, name)

    own = rank(instance)
    ahead = sum(rank(other) > own for other in zone_by_instance)
    return 1 if ahead < left else 0
