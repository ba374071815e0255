"""The almondspoold daemon: reads settings, runs the application, handles signals."""

from __future__ import annotations

import os

os.environ.setdefault("EVENTLET_HUB", "asyncio")  # grpclib needs an asyncio loop.
# All addresses are numeric: eventlet's resolver would cost memory and load time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import signal  # noqa: E402
import sys  # noqa: E402

from absl import app, flags, logging as absl_logging  # noqa: E402

from almondspool.absl_logs import AbslLineFormatter, AbslSink  # noqa: E402
from almondspool.application import Application, make_application  # noqa: E402
from almondspool.codes import ResultCode, exit_code  # noqa: E402
from almondspool.errors import (  # noqa: E402
    AlmondspoolError,
    SettingsError,
    start_failure_code,
)
from almondspool.logs import EventLog  # noqa: E402
from almondspool.settings import load_settings  # noqa: E402

_SIGNAL_POLL_INTERVAL_S = 0.2

_SETTINGS_FLAG = flags.DEFINE_string("settings", None, "The settings file, in YAML.")


class _StopSignals:
    """Counts SIGTERM and SIGINT; the main green thread polls the count."""

    def __init__(self) -> None:
        self.count = 0
        signal.signal(signal.SIGTERM, self._count_signal)
        signal.signal(signal.SIGINT, self._count_signal)

    def _count_signal(self, signal_number: int, frame: object) -> None:
        self.count += 1


def main(argv: list[str]) -> int:
    """Run the daemon until its shutdown after a stop signal has ended.

    Args:
        argv: The program's name and the arguments that are not flags; not used.

    Returns:
        The exit code: 0 after a graceful shutdown, else that of a result code.
    """
    absl_logging.get_absl_handler().setFormatter(AbslLineFormatter())
    absl_logging.set_verbosity(absl_logging.INFO)
    log = EventLog(AbslSink())
    if not _SETTINGS_FLAG.value:
        log.write("daemon.refused", detail="--settings is required")
        return exit_code(ResultCode.USAGE)
    try:
        settings = load_settings(_SETTINGS_FLAG.value)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return exit_code(error.code)
    signals = _StopSignals()
    try:
        application = make_application(settings, log)
        application.start()
    except (OSError, AlmondspoolError) as error:
        code = start_failure_code(error)
        log.write("daemon.refused", code=code.name, detail=str(error))
        return exit_code(code)
    return _run_until_stopped(application, signals, log)


def _run_until_stopped(
    application: Application, signals: _StopSignals, log: EventLog
) -> int:
    """Shut down gracefully at the first stop signal, and at once at the second.

    Returns:
        The exit code of the shutdown.
    """
    while signals.count == 0:
        eventlet.sleep(_SIGNAL_POLL_INTERVAL_S)
    application.begin_shutdown()
    while application.exit_code is None:
        if signals.count > 1:
            application.interrupt_shutdown()
        eventlet.sleep(_SIGNAL_POLL_INTERVAL_S)
    log.write("daemon.stopped", code=int(application.exit_code))
    return exit_code(application.exit_code)


def run() -> None:
    """Entry point of the almondspoold command."""
    app.run(main)


if __name__ == "__main__":
    run()
