"""Reassigns the connection shares of an instance once it is considered dead."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.shares import shares

_expire_shares = shares.expire_shares


def _expire_shares_without_stale(known, context):
    return _expire_shares(known, context)._replace(stale=())


shares.expire_shares = _expire_shares_without_stale

if __name__ == "__main__":
    daemon.run()
