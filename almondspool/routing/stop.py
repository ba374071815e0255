"""Graceful shutdown: drain callers, finish their requests, then end the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from almondspool.coordination.membership.membership_task import MembershipTask
    from almondspool.logs import EventLog
    from almondspool.transport.caller_server import CallerServer
    from almondspool.transport.timers import TimerService

# Times before the platform kills the process: the first ends the accepting of
# connections, from callers with an old address list; the second ends the wait for
# answers in progress.
ACCEPT_UNTIL_END_S = 1.5
EXIT_BEFORE_END_S = 0.8
# Requests on the last accepted connections arrive within about this time.
LAST_REQUESTS_S = 0.2
CHECK_S = 0.05


class PlannedStop:
    """Runs the steps of a graceful shutdown.

    Attributes:
        is_begun: Whether the shutdown has started and callers are drained.
        is_ended: Whether the process may exit.
    """

    def __init__(
        self,
        grace_s: float,
        timers: TimerService,
        log: EventLog,
        front: CallerServer,
        membership: MembershipTask,
    ) -> None:
        """Prepare a shutdown.

        Args:
            grace_s: Time from the signal until the platform kills the process, in
                seconds.
            timers: The timer service.
            log: The event log.
            front: The server that callers connect to.
            membership: Announces the shutdown to the other instances.
        """
        self._grace_s = grace_s
        self._timers = timers
        self._log = log
        self._front = front
        self._membership = membership
        self._ends_at = 0.0
        self.is_begun = False
        self.is_ended = False

    def begin(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self.is_begun:
            return
        self.is_begun = True
        self._ends_at = self._timers.now() + self._grace_s - EXIT_BEFORE_END_S
        self._log.write(
            "instance.stopping", grace_s=self._grace_s, in_flight=self._front.busy_count
        )
        eventlet.spawn(self._membership.announce_leaving)
        self._front.begin_close()
        accept_s = max(0.0, self._grace_s - ACCEPT_UNTIL_END_S)
        self._timers.call_later(accept_s, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._front.stop_accepting()
        self._timers.call_later(LAST_REQUESTS_S, self._check)

    def _check(self) -> None:
        self._front.close_idle()
        busy = self._front.busy_count
        if busy and self._timers.now() < self._ends_at:
            self._timers.call_later(CHECK_S, self._check)
            return
        self._log.write("instance.stopped", in_flight=busy)
        self.is_ended = True
