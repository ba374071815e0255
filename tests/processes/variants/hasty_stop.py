"""Exits at the first stop signal, without a graceful shutdown."""

from __future__ import annotations

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.coordination.shutdown.shutdown import Exit, Shutdown, ShutdownPhase


def _exit_immediately(shutdown, settings, now):
    shutdown.phase = ShutdownPhase.STOPPED
    return [Exit(ResultCode.OK)]


Shutdown.begin = _exit_immediately

if __name__ == "__main__":
    daemon.run()
