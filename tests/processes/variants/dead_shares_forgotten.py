"""Gives away the connections of an instance as soon as it is thought dead."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.shares import shares

_tidy = shares.tidy


def _tidy_without_stale(known, context):
    return _tidy(known, context)._replace(stale=())


shares.tidy = _tidy_without_stale

if __name__ == "__main__":
    daemon.run()
