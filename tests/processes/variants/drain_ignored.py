"""Selects drained upstreams too."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.upstreams.replicas import ReplicaChooser


def _allow_all(chooser, section, replicas, tried):
    return [replica for replica in replicas if replica not in tried]


ReplicaChooser._allowed = _allow_all

if __name__ == "__main__":
    daemon.run()
