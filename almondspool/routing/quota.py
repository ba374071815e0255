"""Connections that one instance may open to each replica.

Every instance works out the same shares from the live members, so the sum over all
instances stays within each replica's limit without a message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.routes import Replica


def connection_quota(
    max_connections: int,
    instance: str,
    zone_by_instance: Mapping[str, str],
    replica: Replica,
    count: int = 0,
) -> int:
    """Return how many connections an instance may open to a replica.

    With fewer connections than instances, those of the replica's availability zone
    come first, as they send it most of their legs, then those of the highest
    rendezvous weight, so that few change hands when an instance comes or goes.

    Args:
        max_connections: What the replica accepts from all instances together.
        instance: The instance that asks.
        zone_by_instance: All live instances.
        replica: The replica.
        count: How many instances there may be, where not all are known.
    """
    share = max_connections // max(1, count, len(zone_by_instance))
    if share > 0:
        return share

    def rank(name: str) -> tuple[bool, int]:
        is_near = zone_by_instance[name] == replica.zone
        return is_near, weight(replica.replica_id, name)

    own = rank(instance)
    ahead = sum(rank(other) > own for other in zone_by_instance)
    return 1 if ahead < max_connections else 0
