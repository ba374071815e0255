"""Lets each instance use the full connection limit of each upstream."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.shares.shares import Shares

# Equals CONNECTION_LIMIT in tests/processes/test_connection_limits.py.
CONNECTION_LIMIT = 4


def _full_limit(shares, upstream_id):
    return CONNECTION_LIMIT


def _all_full_limits(shares):
    return dict.fromkeys(shares._upstream_ids, CONNECTION_LIMIT)


def _own_instance_only(shares, upstream_id):
    return (shares._instance,)


def _all_upstream_ids(shares):
    # Includes upstreams whose ranking selects other instances as holders.
    return set(shares._upstream_ids)


Shares._relevant_ids = _all_upstream_ids
Shares.allowed = _full_limit
Shares.allowed_by_upstream_id = _all_full_limits
Shares.holders = _own_instance_only

if __name__ == "__main__":
    daemon.run()
