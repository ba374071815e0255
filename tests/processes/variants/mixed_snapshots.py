"""Switches to the newest snapshot within a request instead of restarting it."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.search.search import SearchSession


def _switch_snapshot(session, now, run):
    session._snapshot = session._current_section().newest_snapshot().snapshot_id
    return False


SearchSession._restart = _switch_snapshot

if __name__ == "__main__":
    daemon.run()
