"""Ends the process at the first stop signal."""

from __future__ import annotations

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.coordination.shutdown.shutdown import Exit, Shutdown, ShutdownPhase


def _end_at_once(shutdown, settings, now):
    shutdown.phase = ShutdownPhase.STOPPED
    return [Exit(ResultCode.OK)]


Shutdown.begin = _end_at_once

if __name__ == "__main__":
    daemon.run()
