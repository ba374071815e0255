"""Runs every request, even if it has crashed searchers."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.search.quarantine import Quarantine, QuarantineState

Quarantine.state_of = lambda quarantine, now_ms, fingerprint: QuarantineState.CLEAR

if __name__ == "__main__":
    daemon.run()
