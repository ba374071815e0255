"""Daemon on the platform: loads settings, starts the application, handles signals."""

from __future__ import annotations

import os

# All addresses are numeric: the DNS resolver would only cost memory and load time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
os.environ.setdefault("EVENTLET_HUB", "epolls")

import gc  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402

from almondspool.codes import ResultCode, exit_code  # noqa: E402
from almondspool.errors import (  # noqa: E402
    AlmondspoolError,
    SettingsError,
    start_failure_code,
)
from almondspool.platform.application import (  # noqa: E402
    PlatformApplication,
    make_platform_application,
)
from almondspool.platform.settings import (  # noqa: E402
    SETTINGS_VARIABLE,
    load_platform_settings,
)
from almondspool.transport.hub_timers import HubTimers  # noqa: E402
from almondspool.transport.log_stream import (  # noqa: E402
    EventRate,
    RateLimitedEventLog,
)

_SIGNAL_POLL_INTERVAL_S = 0.1
# The settings file may also change without a signal; each check costs one system call.
_SETTINGS_POLL_INTERVAL_S = 2.0
# Number of new objects after which garbage collection runs. The number is large because
# a full collection takes 20 ms or more and nearly all objects live as long as the
# process.
_GC_THRESHOLD_OBJECTS = 50_000
# Lines per second and burst by log event. Failed, refused and partial requests get a
# larger rate than successful ones, as they are more useful for diagnosis.
_RATES_BY_EVENT = {
    "request.answered": EventRate(20.0, 40.0),
    "request.failed": EventRate(100.0, 200.0),
    "request.partial": EventRate(50.0, 100.0),
    "leg.failed": EventRate(50.0, 100.0),
}


class _SignalFlags:
    """Flags set by signal handlers and polled by the main green thread."""

    def __init__(self) -> None:
        self.is_stop_requested = False
        self.is_reload_requested = False
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)

    def _on_stop(self, number: int, frame: object) -> None:
        self.is_stop_requested = True

    def _on_reload(self, number: int, frame: object) -> None:
        self.is_reload_requested = True


class _SettingsFile:
    """Detects changes of the settings file by modification time and size."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._mtime_and_size = self._read_mtime_and_size()

    def has_changed(self) -> bool:
        mtime_and_size = self._read_mtime_and_size()
        has_changed = mtime_and_size != self._mtime_and_size
        self._mtime_and_size = mtime_and_size
        return has_changed

    def _read_mtime_and_size(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            # The file is being replaced or unreadable; loading it reports the error.
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)


def main() -> int:
    """Run one instance until its graceful shutdown after a stop signal has ended.

    Returns:
        The exit code: 0 after a graceful shutdown, else that of the result code with
        which the start failed.
    """
    signals = _SignalFlags()
    timers = HubTimers()
    log = RateLimitedEventLog(sys.stdout.fileno(), timers, _RATES_BY_EVENT)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_platform_settings(path)
        application = make_platform_application(settings, timers, log)
        application.start()
    except (OSError, AlmondspoolError) as error:
        return _report_failed_start(log, str(error), start_failure_code(error))
    log.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_OBJECTS, 20, 100)
    _run(application, signals, _SettingsFile(path), timers, log)
    log.write("daemon.stopped", code=ResultCode.OK.name)
    log.flush()
    return 0


def _report_failed_start(
    log: RateLimitedEventLog, detail: str, code: ResultCode
) -> int:
    log.write("daemon.refused", code=code.name, detail=detail)
    log.flush()
    return exit_code(code)


def _run(
    application: PlatformApplication,
    signals: _SignalFlags,
    settings_file: _SettingsFile,
    timers: HubTimers,
    log: RateLimitedEventLog,
) -> None:
    last_check_at = timers.now()
    while not application.is_stopped:
        if signals.is_stop_requested:
            application.begin_shutdown()
        is_check_due = timers.now() - last_check_at >= _SETTINGS_POLL_INTERVAL_S
        if signals.is_reload_requested or is_check_due:
            last_check_at = timers.now()
            if settings_file.has_changed() or signals.is_reload_requested:
                _reload(application, settings_file.path, log)
            signals.is_reload_requested = False
        eventlet.sleep(_SIGNAL_POLL_INTERVAL_S)


def _reload(
    application: PlatformApplication, path: str, log: RateLimitedEventLog
) -> None:
    try:
        application.reload(load_platform_settings(path))
    except SettingsError as error:
        log.write("instance.reload_refused", code=error.code.name, reason=error)


if __name__ == "__main__":
    # Skip the interpreter's shutdown, which takes half a second of the grace time on a
    # slow machine.
    os._exit(main())
