"""Keeps connections however long they are silent, and reuses them."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.transport.http_pool import HttpPool

_release = HttpPool.release


def _release_reusable(pool, connection, is_reusable, may_still_run=False):
    _release(pool, connection, True, False)


SilentConnectionDetector.on_timeout = (
    lambda detector, now, upstream_id, serial, sent_at: 0
)
SilentConnectionDetector.newest_suspected = lambda detector, now, upstream_id: 0
HttpPool.release = _release_reusable

if __name__ == "__main__":
    daemon.run()
