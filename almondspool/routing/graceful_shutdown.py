"""Graceful shutdown: drain the callers, finish their requests, end the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondspool.coordination.membership.membership_task import MembershipTask
    from almondspool.logs import EventLog
    from almondspool.routing.router import Router
    from almondspool.transport.caller_server import CallerServer
    from almondspool.transport.timers import TimerService

# How long before the platform kills the process it stops accepting connections. Until
# then, callers with an old address list may still connect.
STOP_ACCEPTING_BEFORE_KILL_S = 1.5
# How long before the platform kills the process it exits, even if answers are not yet
# sent completely.
EXIT_BEFORE_KILL_S = 0.8
# How long before its exit every request is answered, so that the answers can be sent.
ANSWER_BEFORE_EXIT_S = 0.2
# The requests on the last accepted connections arrive within about this time.
LAST_REQUESTS_DELAY_S = 0.2
# Interval at which the number of unanswered requests is checked.
BUSY_POLL_INTERVAL_S = 0.05


class GracefulShutdown:
    """Runs the steps of a graceful shutdown.

    Attributes:
        is_started: Whether the shutdown has started. Each connection is then closed
            after its next answer.
        is_finished: Whether the process may exit.
    """

    def __init__(
        self,
        grace_s: float,
        timers: TimerService,
        log: EventLog,
        servers: Sequence[CallerServer],
        router: Router,
        membership: MembershipTask,
    ) -> None:
        """Prepare a shutdown.

        Args:
            grace_s: Time from the signal until the platform kills the process, in
                seconds.
            timers: The timer service.
            log: The event log.
            servers: The servers that callers and other instances connect to.
            router: Runs their requests.
            membership: Announces the shutdown to the other instances.
        """
        self._grace_s = grace_s
        self._timers = timers
        self._log = log
        self._servers = tuple(servers)
        self._router = router
        self._membership = membership
        self._exit_deadline_at = 0.0
        self.is_started = False
        self.is_finished = False

    def start(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self.is_started:
            return
        self.is_started = True
        self._exit_deadline_at = self._timers.now() + self._grace_s - EXIT_BEFORE_KILL_S
        self._log.write(
            "instance.stopping",
            grace_s=self._grace_s,
            in_flight=self._busy_count(),
        )
        eventlet.spawn(self._membership.announce_leaving)
        for server in self._servers:
            server.begin_drain()
        self._router.begin_shutdown(self._exit_deadline_at - ANSWER_BEFORE_EXIT_S)
        accept_duration_s = max(0.0, self._grace_s - STOP_ACCEPTING_BEFORE_KILL_S)
        self._timers.call_later(accept_duration_s, self._stop_accepting)

    def _stop_accepting(self) -> None:
        for server in self._servers:
            server.stop_accepting()
        self._timers.call_later(LAST_REQUESTS_DELAY_S, self._exit_when_idle)

    def _exit_when_idle(self) -> None:
        for server in self._servers:
            server.close_idle()
        busy_count = self._busy_count()
        if busy_count and self._timers.now() < self._exit_deadline_at:
            self._timers.call_later(BUSY_POLL_INTERVAL_S, self._exit_when_idle)
            return
        self._log.write("instance.stopped", in_flight=busy_count)
        self.is_finished = True

    def _busy_count(self) -> int:
        """Return the number of requests that are not answered yet."""
        return sum(server.busy_count for server in self._servers)
