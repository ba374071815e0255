"""Child processes of a cluster, each signalled only through its own handle."""

from __future__ import annotations

import ctypes
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence

import urllib3

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
LOG_TAIL_CHARACTERS = 2000
# Option of prctl(2): the signal that a process gets when its parent thread ends.
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


class StartError(Exception):
    """A child process exited or did not become ready after its start."""


class ChildProcess:
    """A child process that runs a Python module, with its log file.

    It receives SIGTERM when the thread that started it ends, so that a killed launcher
    leaves no process behind. It has its own process group, so that Ctrl-C reaches
    only the launcher.

    Attributes:
        name: Its name within the cluster.
        log_path: The file with its standard output and error.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        directory: str,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Prepare the command; start() runs it.

        Args:
            name: The child's name within its cluster.
            arguments: Arguments after ``python -m``: the module and its arguments.
            directory: Directory of its log, ``NAME.log``.
            environment: Variables added to those of this process.
        """
        self.name = name
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self._arguments = [sys.executable, "-W", "ignore", "-m", *arguments]
        self._environment = {**os.environ, **(environment or {})}
        self._process: subprocess.Popen[bytes] | None = None
        self._is_termination_sent = False

    @property
    def pid(self) -> int:
        """The process id.

        Raises:
            StartError: When it was never started.
        """
        if self._process is None:
            raise StartError(f"{self.name} was not started")
        return self._process.pid

    def start(self) -> None:
        """Start the process, or start it again, and append its output to the log."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment,
                process_group=0,
                preexec_fn=_terminate_with_parent,
            )
        self._is_termination_sent = False

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running():
            self._process.send_signal(signal_number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Return the exit code, or None when it still runs after timeout_s seconds."""
        try:
            return self._process.wait(timeout_s) if self._process else None
        except subprocess.TimeoutExpired:
            return None

    def terminate(self) -> None:
        """Send SIGTERM once; a second one would abort requests in flight."""
        if not self._is_termination_sent:
            self._is_termination_sent = True
            self.send_signal(signal.SIGTERM)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Stop the process gracefully, and kill it after timeout_s seconds.

        Returns:
            The exit code, negative for a signal; None if it was never started.
        """
        self.send_signal(signal.SIGCONT)
        self.terminate()
        if self.wait(timeout_s) is None:
            self.send_signal(signal.SIGKILL)
        return self.wait()

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait for a condition that the process fulfils after its start.

        Raises:
            StartError: With the end of the log, when it exits or times out.
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            if not self.is_running():
                raise StartError(
                    f"{self.name} exited before it was ready:\n{self.log_tail()}"
                )
            if time.monotonic() > deadline:
                raise StartError(
                    f"{self.name} not ready after {timeout_s} s:\n{self.log_tail()}"
                )
            time.sleep(POLL_S)

    def log_tail(self) -> str:
        """Return the last LOG_TAIL_CHARACTERS of the log."""
        return self.log_path.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]


def _terminate_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGTERM)


def answers_ok(http: urllib3.PoolManager, url: str) -> bool:
    """Return whether a GET of the URL is answered with 200."""
    try:
        return http.request("GET", url, timeout=1.0, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False
