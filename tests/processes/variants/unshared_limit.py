"""Lets each instance use the whole limit of each upstream."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.shares.shares import Shares

LIMIT = 4


def _whole_limit(shares, upstream_id):
    return LIMIT


def _all_whole(shares):
    return dict.fromkeys(shares._upstream_ids, LIMIT)


def _own_only(shares, upstream_id):
    return (shares._instance,)


def _all_ids(shares):
    # Also upstreams of which the ranking wants others as holders.
    return set(shares._upstream_ids)


Shares._relevant_ids = _all_ids
Shares.allowed = _whole_limit
Shares.allowed_by_upstream_id = _all_whole
Shares.holders = _own_only

if __name__ == "__main__":
    daemon.run()
